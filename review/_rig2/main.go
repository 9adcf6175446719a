package main

import (
	"fmt"
	"os"
)

// rig2 SCENARIO DIR; TROUBLE=0 leaves the disruption out, RECORD names record.txt.
func main() {
	scenarios := map[string]func(dir string, trouble bool) (broken bool){"removed": removedMachines, "quota": restartUnderQuota, "batches": batchesUnderQuota, "preempted": preemptedStreams}
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Println("usage: rig2 SCENARIO DIR")
		os.Exit(unavailable)
	}
	if scenarios[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0") {
		os.Exit(1)
	}
}
