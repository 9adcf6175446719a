package waiting

import (
	"math"
	"sort"
	"time"

	"filbertusher/pkg/usher"
)

// demand learns how many places of the engine each tier needs: by Little's
// law, the expected time of what arrives in a second.
//
// A long request of a low tier holds its place for many times as long as an
// urgent one, and the engine can't be asked to give it back. Without places
// that are kept free, a moment without urgent requests would fill the engine
// with long ones, and the urgent ones after it would wait for their end.
type demand struct {
	tiers []tierDemand
}

type tierDemand struct {
	rank usher.Rank
	// work is the arrived work, decayed with demandMemory.
	work    float64
	updated time.Time
}

// demandMemory is how long an arrival counts for the demand of its tier.
const demandMemory = 2 * time.Second

func (d *demand) arrived(rank usher.Rank, work time.Duration, now time.Time) {
	at := sort.Search(len(d.tiers), func(i int) bool { return d.tiers[i].rank >= rank })
	if at == len(d.tiers) || d.tiers[at].rank != rank {
		d.tiers = append(d.tiers, tierDemand{})
		copy(d.tiers[at+1:], d.tiers[at:])
		d.tiers[at] = tierDemand{rank: rank, updated: now}
	}
	tier := &d.tiers[at]
	tier.work = tier.at(now) + float64(work)
	tier.updated = now
}

// at returns the decayed work at a later moment.
func (t *tierDemand) at(now time.Time) float64 {
	return t.work * math.Exp(-float64(now.Sub(t.updated))/float64(demandMemory))
}

// above returns how many places the tiers above rank need, rounded down, so
// that a tier which hardly asks for anything keeps no place free.
func (d *demand) above(rank usher.Rank, now time.Time) int {
	work := 0.0
	for i := range d.tiers {
		if d.tiers[i].rank < rank {
			work += d.tiers[i].at(now)
		}
	}
	return int(work / float64(demandMemory))
}
