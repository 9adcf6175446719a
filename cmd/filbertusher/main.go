// Command filbertusher is the request scheduler: the processes that serve
// requests and the commands that operators drive it by.
package main

import (
	"os"

	"filbertusher/internal/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr))
}
