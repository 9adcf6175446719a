package admission

import (
	"math"
	"sort"
	"time"

	"filbertusher/pkg/usher"
)

// demandEstimator estimates how many slots of the engine each tier needs. By
// Little's law that is the expected running time of the requests that arrive in
// a second.
//
// A long request of a low tier holds its slot many times as long as an urgent
// one, and only some requests can be preempted. Without reserved slots, a
// short time without urgent requests would fill the engine with long ones, and
// later urgent requests would wait until those end.
type demandEstimator struct {
	tiers []tierDemand
}

// tierDemand is the recent demand of one tier.
type tierDemand struct {
	rank usher.Rank
	// work is the expected running time, in nanoseconds, of the requests that
	// arrived. It decays with demandTimeConstant.
	work    float64
	updated time.Time
}

// demandTimeConstant is the time constant with which the sum of the arrived work
// decays.
const demandTimeConstant = 2 * time.Second

func (d *demandEstimator) recordArrival(rank usher.Rank, work time.Duration, now time.Time) {
	index := sort.Search(len(d.tiers), func(i int) bool { return d.tiers[i].rank >= rank })
	if index == len(d.tiers) || d.tiers[index].rank != rank {
		d.tiers = append(d.tiers, tierDemand{})
		copy(d.tiers[index+1:], d.tiers[index:])
		d.tiers[index] = tierDemand{rank: rank, updated: now}
	}
	tier := &d.tiers[index]
	tier.work = tier.decayedWork(now) + float64(work)
	tier.updated = now
}

// decayedWork returns the work as decayed from the last update until now.
func (t *tierDemand) decayedWork(now time.Time) float64 {
	return t.work * math.Exp(-float64(now.Sub(t.updated))/float64(demandTimeConstant))
}

// slotsAbove returns how many slots the tiers more urgent than rank need. It
// rounds down, so that tiers with little demand reserve no slot.
func (d *demandEstimator) slotsAbove(rank usher.Rank, now time.Time) int {
	work := 0.0
	for i := range d.tiers {
		if d.tiers[i].rank < rank {
			work += d.tiers[i].decayedWork(now)
		}
	}
	return int(work / float64(demandTimeConstant))
}
