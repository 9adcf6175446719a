// Package endpointset selects the subset of endpoints that an entry, a process that
// accepts requests, connects to. It also marks an endpoint as leaving when
// the platform's list of instances shows it as such.
//
// At the target size an entry must not connect to every companion: connections,
// messages and memory would grow with the number of endpoints. It uses a subset
// of each service, chosen by rendezvous hashing of its own incarnation and the
// endpoints' names. This needs no coordination and no list of the other entries,
// covers the endpoints evenly up to the variance of a binomial distribution, and
// changes by at most one endpoint when one is added or removed.
package endpointset

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"filbertusher/internal/config"
	"filbertusher/pkg/usher"
)

// Subset selects the endpoints that one process, in Zone, connects to.
type Subset struct {
	Self usher.Incarnation
	Zone usher.AvailabilityZone
	// Size is how many endpoints of each service the process connects to.
	Size int
	// OtherZones is how many of them are in other zones, so that the process has
	// open connections if its own zone loses its endpoints.
	OtherZones int
}

// hashedEndpoint is an endpoint with the hash that ranks it for one process.
type hashedEndpoint struct {
	endpoint *usher.Endpoint
	hash     uint64
}

// Choose returns the selected endpoints of each service, ordered by name. All
// endpoints of a service that has no more than Size are selected.
func (s Subset) Choose(snapshot *config.Snapshot) map[usher.ServiceName][]*usher.Endpoint {
	selected := make(map[usher.ServiceName][]*usher.Endpoint, len(snapshot.EndpointsByService))
	for service, endpoints := range snapshot.EndpointsByService {
		if len(endpoints) <= s.Size {
			selected[service] = endpoints
			continue
		}
		selected[service] = s.selectFrom(endpoints)
	}
	return selected
}

func (s Subset) selectFrom(endpoints []*usher.Endpoint) []*usher.Endpoint {
	var sameZone, otherZones []hashedEndpoint
	for _, endpoint := range endpoints {
		if endpoint.Leaving {
			continue
		}
		hashed := hashedEndpoint{endpoint: endpoint, hash: xxhash.Sum64String(string(s.Self) + "/" + string(endpoint.Name))}
		if endpoint.AvailabilityZone == s.Zone {
			sameZone = append(sameZone, hashed)
		} else {
			otherZones = append(otherZones, hashed)
		}
	}
	sameZoneCount := min(len(sameZone), max(s.Size-s.OtherZones, s.Size-len(otherZones)))
	selected := append(lowestHashes(sameZone, sameZoneCount), lowestHashes(otherZones, s.Size-sameZoneCount)...)
	sort.Slice(selected, func(i, j int) bool { return selected[i].Name < selected[j].Name })
	return selected
}

// lowestHashes returns the count endpoints with the lowest hashes.
func lowestHashes(all []hashedEndpoint, count int) []*usher.Endpoint {
	sort.Slice(all, func(i, j int) bool {
		if all[i].hash != all[j].hash {
			return all[i].hash < all[j].hash
		}
		return all[i].endpoint.Name < all[j].endpoint.Name
	})
	selected := make([]*usher.Endpoint, 0, count)
	for _, hashed := range all[:min(count, len(all))] {
		selected = append(selected, hashed.endpoint)
	}
	return selected
}
