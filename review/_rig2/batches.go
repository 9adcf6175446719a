package main

import (
	"time"
)

// The long prompts of batchesUnderQuota: the sheet's longest prompt and answer, how many are
// sent in a batch, one in each zone, and how often.
const (
	batchRate     = 24300
	batchInterval = 7600 * time.Millisecond
	batches       = 4
)

// batchesUnderQuota: the clients of a small tenant in four zones ask at the same moment for long
// generations, and again after a pause. QUOTA: in no window, more tokens of the tenant may run
// than its limit. Without the trouble the same requests come one after the other.
func batchesUnderQuota(dir string, trouble bool) bool {
	w := newWorld(dir, 12, 14, 4)
	defer w.stopAll()
	small := &w.tenants[4]
	w.rates = map[string]int{small.name: batchRate}
	w.configure()
	w.startGateways(4)
	l := w.newLoad(1)
	long := classes[0]
	long.prompt, long.answer = 54600, 3800
	time.Sleep(12 * time.Second)
	next := time.Now()
	for range batches {
		for _, g := range w.gateways {
			l.clients.Add(1)
			go l.request(&long, small, g)
			if !trouble {
				next = next.Add(batchInterval / time.Duration(len(w.gateways)))
				time.Sleep(time.Until(next))
			}
		}
		if trouble {
			next = next.Add(batchInterval)
			time.Sleep(time.Until(next))
		}
	}
	time.Sleep(2 * time.Second)
	l.stop()
	sent, served, statuses := l.count(w.began, time.Now(), nil)
	w.say("%d requests of %d tokens, %d served, statuses %v", sent, long.tokens(), served, statuses)
	limit := (batchRate*quotaWindow.Seconds()+batchRate)*(1+quotaOverage) + quotaSlack
	most, from := l.mostInWindow(small.name)
	w.say("quota %d tokens/s and as much burst: at most %.0f tokens run in a window of %v, from %.3f s on; the limit is %.0f", batchRate, most, quotaWindow, from.Sub(w.began).Seconds(), limit)
	return most > limit
}
