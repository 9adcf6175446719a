// Package member chooses the endpoints that a process works with and keeps
// what the platform's list of instances hints at.
//
// At the target size an entry must not talk with every companion: connections,
// messages and memory would grow with the fleet. It works with a subset of
// each service, chosen by hashing its own name with those of the endpoints.
// Such a choice needs no agreement and no list of the other entries, covers
// the endpoints evenly but for the spread of a binomial distribution, and
// changes by one endpoint when one comes or goes.
package member

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"filbertusher/internal/config"
	"filbertusher/pkg/usher"
)

// Subset chooses the endpoints of one process.
type Subset struct {
	Self usher.Incarnation
	Zone usher.AvailabilityZone
	// Size is how many endpoints of a service the process works with.
	Size int
	// Elsewhere is how many of them are kept in other zones, so that a process
	// whose zone loses its endpoints has connections at hand.
	Elsewhere int
}

// ranked is an endpoint with its place in the order of one process.
type ranked struct {
	endpoint *usher.Endpoint
	hash     uint64
}

// Choose returns the endpoints of each service, ordered by name. A service
// with no more than Size endpoints is worked with as a whole.
func (s Subset) Choose(snapshot *config.Snapshot) map[usher.ServiceName][]*usher.Endpoint {
	chosen := make(map[usher.ServiceName][]*usher.Endpoint, len(snapshot.ByService))
	for service, endpoints := range snapshot.ByService {
		if len(endpoints) <= s.Size {
			chosen[service] = endpoints
			continue
		}
		chosen[service] = s.of(endpoints)
	}
	return chosen
}

func (s Subset) of(endpoints []*usher.Endpoint) []*usher.Endpoint {
	var own, other []ranked
	for _, endpoint := range endpoints {
		if endpoint.Leaving {
			continue
		}
		one := ranked{endpoint: endpoint, hash: xxhash.Sum64String(string(s.Self) + "/" + string(endpoint.Name))}
		if endpoint.AvailabilityZone == s.Zone {
			own = append(own, one)
		} else {
			other = append(other, one)
		}
	}
	nearest := min(len(own), max(s.Size-s.Elsewhere, s.Size-len(other)))
	picked := append(first(own, nearest), first(other, s.Size-nearest)...)
	sort.Slice(picked, func(i, j int) bool { return picked[i].Name < picked[j].Name })
	return picked
}

// first returns the endpoints with the lowest hashes.
func first(all []ranked, count int) []*usher.Endpoint {
	sort.Slice(all, func(i, j int) bool {
		if all[i].hash != all[j].hash {
			return all[i].hash < all[j].hash
		}
		return all[i].endpoint.Name < all[j].endpoint.Name
	})
	picked := make([]*usher.Endpoint, 0, count)
	for _, one := range all[:min(count, len(all))] {
		picked = append(picked, one.endpoint)
	}
	return picked
}
