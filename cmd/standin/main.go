// Command standin runs stand-ins for the external systems that filbertusher
// depends on, and the tests, benchmarks and experiments that run against them. No
// code of it is linked into the filbertusher binary.
package main

import (
	"os"

	"filbertusher/internal/command"
	"filbertusher/internal/standin/commands"
)

func main() {
	os.Exit(command.MainWith("standin", "stand-ins for the platform, engines and services", commands.All(), os.Args[1:], os.Stdout, os.Stderr))
}
