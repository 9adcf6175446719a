// Command standin holds the small stand-ins for outside systems, and the tools
// that drive the product against them. The product never links any of it.
package main

import (
	"os"

	"filbertusher/internal/command"
	"filbertusher/internal/standin/commands"
)

func main() {
	os.Exit(command.MainWith("standin", "stand-ins for the platform, engines and services", commands.All(), os.Args[1:], os.Stdout, os.Stderr))
}
