package spread

import (
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"filbertusher/internal/config"
	"filbertusher/pkg/usher"
)

// treeOrder numbers one of the trees in which a version travels. Within each
// zone the companions are put in an order by hash; the first watches the store
// and the one at place n waits at the one at place (n-1)/fanOut. There are two
// orders, so that a frozen or dead companion delays nobody: who waits at it in
// one tree waits elsewhere in the other.
type treeOrder int

const (
	// treeCount is how many trees a version travels in.
	treeCount = 2
	// contentTree is the tree in which changes themselves travel. The other one
	// carries versions, and changes only when the first one is late.
	contentTree = treeOrder(0)
	// fanOut is how many companions wait at one in each tree. A larger one makes
	// the trees flatter and each message costlier for its sender.
	fanOut = 4
	// leafChoices is how many companions an entry may wait at in each tree.
	leafChoices = 4
	// acrossChoices is how many companions of any zone a process asks in turn.
	acrossChoices = 8
)

// place is a companion with its place in an order.
type place struct {
	endpoint *usher.Endpoint
	hash     uint64
}

// ordered sorts the companions that wanted accepts by a hash with salt.
func ordered(snapshot *config.Snapshot, salt string, wanted func(*usher.Endpoint) bool) []place {
	var places []place
	for _, endpoint := range snapshot.Endpoints {
		if endpoint.Companion != "" && wanted(endpoint) {
			places = append(places, place{endpoint: endpoint, hash: xxhash.Sum64String(salt + "/" + string(endpoint.Name))})
		}
	}
	sort.Slice(places, func(i, j int) bool {
		if places[i].hash != places[j].hash {
			return places[i].hash < places[j].hash
		}
		return places[i].endpoint.Name < places[j].endpoint.Name
	})
	return places
}

// chain returns the addresses at which the process waits for a version, the
// nearest first. It is empty for the process that watches the store.
func (s *Spread) chain(order treeOrder) []string {
	snapshot := s.holder.Current()
	salt := "tree" + strconv.Itoa(int(order))
	own := ordered(snapshot, salt, func(e *usher.Endpoint) bool { return e.AvailabilityZone == s.self.Zone })
	for position, one := range own {
		if one.endpoint.Name == s.self.Endpoint {
			return ancestors(own, position)
		}
	}
	return s.leafChain(snapshot, salt, own)
}

// ancestors returns the way from a position up to the first one.
func ancestors(places []place, position int) []string {
	var way []string
	for position > 0 {
		position = (position - 1) / fanOut
		way = append(way, places[position].endpoint.Companion)
	}
	return way
}

// leafChain spreads the processes that have no place over the companions, those
// of the own zone first.
func (s *Spread) leafChain(snapshot *config.Snapshot, salt string, own []place) []string {
	salt += "/" + string(s.self.Incarnation)
	mine := ordered(snapshot, salt, func(e *usher.Endpoint) bool { return e.AvailabilityZone == s.self.Zone })
	if len(own) == 0 {
		mine = ordered(snapshot, salt, func(*usher.Endpoint) bool { return true })
	}
	return s.addresses(mine, leafChoices)
}

// acrossPeers returns a fixed small set of companions of any zone. A fixed set
// keeps the number of connections independent of the size of the fleet.
func (s *Spread) acrossPeers() []string {
	salt := "across/" + string(s.self.Incarnation)
	return s.addresses(ordered(s.holder.Current(), salt, func(*usher.Endpoint) bool { return true }), acrossChoices)
}

func (s *Spread) addresses(places []place, most int) []string {
	var addresses []string
	for _, one := range places {
		if len(addresses) < most && one.endpoint.Companion != s.self.Address {
			addresses = append(addresses, one.endpoint.Companion)
		}
	}
	return addresses
}
