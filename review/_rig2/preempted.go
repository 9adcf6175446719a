package main

import (
	"time"
)

// The streams of preemptedStreams, how long four of the twelve replicas preempt theirs, and how
// long after a request went on elsewhere the replica before may still work on it.
const (
	preemptedCount = 150
	preemptTime    = 3 * time.Second
	maxOverlap     = 400 * time.Millisecond
)

// preemptedStreams: four of twelve replicas are short of memory and preempt streams in their middle, and do
// not drop a request when its connection closes. TWICE: no request goes on at another replica
// while the replica before still works on it 400 ms later.
func preemptedStreams(dir string, trouble bool) bool {
	w := newWorld(dir, 12, 14, 4)
	defer w.stopAll()
	if trouble {
		for i := range 4 {
			w.replicas[3*i].preempts = preemptTime
		}
	}
	w.startGateways(4)
	l := w.newLoad(1)
	time.Sleep(10 * time.Second)
	for i := range preemptedCount {
		l.clients.Add(1)
		go l.request(&classes[0], &w.tenants[0], w.gateways[i%len(w.gateways)])
		time.Sleep(25 * time.Millisecond)
	}
	time.Sleep(10 * time.Second)
	l.stop()
	sent, served, statuses := l.count(w.began, time.Now(), nil)
	w.say("%d requests, %d served, statuses %v", sent, served, statuses)
	w.mu.Lock()
	runs := append([]*run(nil), w.runs...)
	w.mu.Unlock()
	moved, twice := 0, 0
	for _, first := range runs {
		for _, next := range runs {
			if next.id != first.id || next.replica == first.replica || !next.at.After(first.at) {
				continue
			}
			moved++
			w.mu.Lock()
			overlaps := (first.end.IsZero() || first.end.Sub(next.at) > maxOverlap) && (next.end.IsZero() || next.end.Sub(next.at) > maxOverlap)
			w.mu.Unlock()
			if overlaps {
				twice++
				w.logf("%s went on at %s while %s still worked on it for %d ms", first.id, next.replica, first.replica, first.end.Sub(next.at).Milliseconds())
			}
		}
	}
	w.say("%d requests went on at another replica, %d of them while the replica before still worked on them 400 ms later", moved, twice)
	return twice > 0
}
