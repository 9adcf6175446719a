package dispatch

import (
	"github.com/cespare/xxhash/v2"

	"filbertusher/pkg/usher"
)

// tieMultiplier is the 64-bit golden ratio.
const tieMultiplier = 0x9e3779b97f4a7c15

// tieSeed returns the seed of tieOrder for a request. It changes with each grant, so that
// requests with the same ID are spread too.
func (svc *service) tieSeed(request *Request) uint64 {
	return chainHash(uint64(svc.counts.granted), string(request.ID))
}

// tieOrder returns the pseudorandom number by which endpoints of the same cost are ordered.
// In contrast to the order of a map, it is the same whenever the same requests come in the
// same order.
func (e *endpoint) tieOrder(seed uint64) uint64 {
	mixed := (seed ^ e.nameHash) * tieMultiplier
	return (mixed ^ mixed>>32) * tieMultiplier
}

func hashOf(name usher.EndpointName) uint64 { return xxhash.Sum64String(string(name)) }
