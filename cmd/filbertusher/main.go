// Command filbertusher is the request scheduler. Its subcommands start the
// processes that serve requests, and are the operators' tools.
package main

import (
	"os"

	"filbertusher/internal/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr))
}
