// Command assay plays the cases of the third review that are scripts: it starts gateways as
// separate processes with the command of the deploy file, with stand-ins of the store, the
// replicas and the clients on loopback addresses.
//
//	assay CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With
// TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
)

// cases return whether the rule was broken.
var cases = map[string]func(w *world, trouble bool) (broken bool, err error){
	"blamed":    blamed,
	"darkcrash": darkCrash,
	"heldend":   heldEnd,
	"storm":     storm,
	"latecomer": latecomer,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: assay CASE RECORD")
		return 2
	}
	record, err := newJournal(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.file.Close()
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	broken, err := cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		record.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken:
		record.note("the rule is broken")
		return 1
	default:
		record.note("the rule holds")
		return 0
	}
}
