package main

import (
	"fmt"
	"os"
)

// trials are the cases by name. Each plays its case, with the disruption if trouble is
// set, and reports whether the rule was broken.
var trials = map[string]func(recordPath string, trouble bool) (broken bool, err error){
	"stop":        playStop,
	"pause":       playPause,
	"reborn":      playReborn,
	"silence":     playSilence,
	"bodies":      playBodies,
	"descriptors": playDescriptors,
}

func main() {
	if len(os.Args) == 4 && os.Args[1] == "replica" {
		if err := serveReplica(os.Args[2], os.Args[3]); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
		os.Exit(2)
	}
	if len(os.Args) != 3 || trials[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: trial NAME RECORD.TXT")
		os.Exit(2)
	}
	broken, err := trials[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	case broken:
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}
