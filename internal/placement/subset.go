package placement

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// choose returns the endpoints of a service that this process uses.
//
// With few endpoints that is all of them. With many, each process uses a
// subset, so that the time of a decision, the reports that are kept fresh and
// the endpoints that are asked before a request is shed do not grow with the
// fleet. The own zone goes first; inside and outside of it endpoints are
// ordered by a hash of the process and the endpoint (rendezvous hashing), so
// the processes cover all endpoints evenly, and an endpoint that comes or goes
// changes at most one place of each subset.
//
// Example: 51 replicas in five zones and a subset of 32 are the 10 or 11 of the
// own zone and 21 or 22 others, other ones for each process.
func (p *Placer) choose(views []*view) []*view {
	if len(views) <= p.subset {
		return views
	}
	chosen := append([]*view(nil), views...)
	scores := make(map[*view]uint64, len(chosen))
	for _, v := range chosen {
		scores[v] = xxhash.Sum64String(p.seed + "\x00" + string(v.name))
	}
	sort.Slice(chosen, func(i, j int) bool {
		if local := chosen[i].zone == p.zone; local != (chosen[j].zone == p.zone) {
			return local
		}
		return scores[chosen[i]] > scores[chosen[j]]
	})
	return chosen[:p.subset]
}
