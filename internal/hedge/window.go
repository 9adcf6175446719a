package hedge

import (
	"math"
	"slices"
	"time"
)

const (
	// observed is the number of recent requests of a kind from which quantiles are taken, and
	// minObserved the number below which there are none.
	observed    = 128
	minObserved = 10
	// sortEvery is the number of new requests after which the quantiles change.
	sortEvery = 8
	// maxKinds bounds the kinds. A window takes 2 KB.
	maxKinds = 512
)

// window holds how long the last requests of a kind took. times is written in rotation, and
// sorted holds the times in order as of the last sorting.
type window struct {
	times  [observed]time.Duration
	sorted []time.Duration
	count  int
	stale  int
	latest time.Time
}

func (w *window) add(took time.Duration, now time.Time) {
	w.times[w.count%observed] = took
	w.count++
	w.stale++
	w.latest = now
}

// quantile returns the time that the given part of the requests did not exceed.
func (w *window) quantile(q float64) time.Duration {
	if w.stale >= sortEvery || len(w.sorted) == 0 {
		w.sorted = append(w.sorted[:0], w.times[:min(w.count, observed)]...)
		slices.Sort(w.sorted)
		w.stale = 0
	}
	return w.sorted[max(0, min(len(w.sorted), int(math.Ceil(q*float64(len(w.sorted)))))-1)]
}

// dropOldest drops the kind that was not seen for the longest time.
func (p *Policy) dropOldest() {
	var oldest Kind
	var seen time.Time
	for kind, w := range p.kinds {
		if seen.IsZero() || w.latest.Before(seen) {
			oldest, seen = kind, w.latest
		}
	}
	delete(p.kinds, oldest)
}
