package main

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"time"
)

// The times of removedMachines. forgetTime is how long the gateways that run need to forget
// machines that are gone, and recovery the bound recovery_s.
const (
	removedBatch = 12
	forgetTime   = 57 * time.Second
	recovery     = 12 * time.Second
	judged       = 9 * time.Second
)

// removedMachines: over time machines are added, and lost for good without SIGTERM. When nobody
// misses them any more, a configuration is acknowledged and all processes are killed. RECOVER:
// of the requests sent later than recovery_s after the machines are back, a quarter is served.
func removedMachines(dir string, trouble bool) bool {
	removed := 80
	if n, err := strconv.Atoi(os.Getenv("REMOVED")); err == nil {
		removed = n
	}
	w := newWorld(dir, 12, 14, 4)
	defer w.stopAll()
	w.startGateways(4)
	l := w.startLoad(1, 1)
	if trouble {
		for i := 0; i < removed; i += removedBatch {
			w.addAndLose(i, min(removedBatch, removed-i))
		}
	}
	time.Sleep(forgetTime)
	before := time.Now()
	time.Sleep(6 * time.Second)
	sent, served, statuses := l.count(before, before.Add(5*time.Second), nil)
	w.say("before the final fault: %d requests, %d served, statuses %v", sent, served, statuses)
	if trouble || os.Getenv("FINAL") == "1" {
		w.configure()
		for _, g := range w.gateways {
			g.kill()
		}
		w.say("all processes are killed after the acknowledgement of configuration %d", w.version)
		time.Sleep(600 * time.Millisecond)
		for _, g := range w.gateways {
			g.start(false)
		}
	}
	back := time.Now()
	w.say("the machines are back")
	time.Sleep(recovery + judged + time.Second)
	for s := range int((recovery + judged) / time.Second) {
		from := back.Add(time.Duration(s) * time.Second)
		sent, served, statuses := l.count(from, from.Add(time.Second), nil)
		w.say("second %d: %d requests, %d served, statuses %v", s, sent, served, statuses)
	}
	l.stop()
	afterSent, afterServed, statuses := l.count(back.Add(recovery), back.Add(recovery+judged), nil)
	w.say("later than %v after the machines are back: %d requests, %d served, statuses %v", recovery, afterSent, afterServed, statuses)
	if served*4 < sent {
		fail(errors.New("less than a quarter was served before the final fault"))
	}
	return afterServed*4 < afterSent
}

// startGateways starts the gateways of the deployment for the first time.
func (w *world) startGateways(count int) {
	for i := range count {
		w.gateways = append(w.gateways, w.newGateway(fmt.Sprintf("edge-%d", i+1)))
	}
	for _, g := range w.gateways {
		g.start(true)
	}
	if !awaitReady(w.gateways, 10*time.Second) {
		fail(errors.New("the gateways are not ready"))
	}
	w.say("%d gateways are ready", count)
}

// addAndLose adds machines, and then loses them for good without SIGTERM.
func (w *world) addAndLose(first, count int) {
	var added []*gateway
	for i := range count {
		added = append(added, w.newGateway(fmt.Sprintf("edge-added-%d", first+i)))
	}
	for _, g := range added {
		g.start(false)
	}
	if !awaitReady(added, 8*time.Second) {
		fail(errors.New("the added gateways are not ready"))
	}
	for _, g := range added {
		g.kill()
	}
	w.say("%d machines were added and lost without SIGTERM", count)
}
