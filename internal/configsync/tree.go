package configsync

import (
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"filbertusher/internal/config"
	"filbertusher/pkg/usher"
)

// treeIndex is the number of a distribution tree. In each zone the companions
// are sorted by a hash that differs between the trees; the first one watches
// the store, and the one at position n polls the one at position (n-1)/fanOut.
// With two trees a frozen or dead companion delays no other process: those that
// poll it in one tree poll another companion in the other tree.
type treeIndex int

const (
	// treeCount is the number of distribution trees.
	treeCount = 2
	// contentTree is the tree through which changes are fetched. The other one
	// carries version numbers, and changes only if contentTree is late.
	contentTree = treeIndex(0)
	// fanOut is the number of companions that poll the same companion in each
	// tree. A higher fan-out makes the trees shallower but each update more
	// expensive for its sender.
	fanOut = 4
	// maxLeafPeers is the number of companions that an entry may poll in each
	// tree.
	maxLeafPeers = 4
	// maxFleetPeers is the number of companions in any zone that a process
	// polls in turn.
	maxFleetPeers = 8
)

// hashedCompanion is a companion with the hash that determines its position.
type hashedCompanion struct {
	endpoint *usher.Endpoint
	hash     uint64
}

// rankCompanions returns the companions that include accepts, sorted by a
// salted hash.
func rankCompanions(snapshot *config.Snapshot, salt string, include func(*usher.Endpoint) bool) []hashedCompanion {
	var companions []hashedCompanion
	for _, endpoint := range snapshot.Endpoints {
		if endpoint.Companion != "" && include(endpoint) {
			companions = append(companions, hashedCompanion{endpoint: endpoint, hash: xxhash.Sum64String(salt + "/" + string(endpoint.Name))})
		}
	}
	sort.Slice(companions, func(i, j int) bool {
		if companions[i].hash != companions[j].hash {
			return companions[i].hash < companions[j].hash
		}
		return companions[i].endpoint.Name < companions[j].endpoint.Name
	})
	return companions
}

// upstreamPeers returns the addresses that the process polls for new versions,
// nearest ancestor first. It is empty for the process that watches the store.
func (s *Syncer) upstreamPeers(tree treeIndex) []string {
	snapshot := s.holder.Current()
	salt := "tree" + strconv.Itoa(int(tree))
	sameZone := rankCompanions(snapshot, salt, func(e *usher.Endpoint) bool { return e.AvailabilityZone == s.self.Zone })
	for position, c := range sameZone {
		if c.endpoint.Name == s.self.Endpoint {
			return ancestors(sameZone, position)
		}
	}
	return s.leafPeers(snapshot, salt, sameZone)
}

// ancestors returns the path from a position to the root.
func ancestors(companions []hashedCompanion, position int) []string {
	var path []string
	for position > 0 {
		position = (position - 1) / fanOut
		path = append(path, companions[position].endpoint.Companion)
	}
	return path
}

// leafPeers distributes the processes without a position, such as entries, over
// the companions of their own zone, or over all companions if the zone has
// none.
func (s *Syncer) leafPeers(snapshot *config.Snapshot, salt string, sameZone []hashedCompanion) []string {
	salt += "/" + string(s.self.Incarnation)
	ranked := rankCompanions(snapshot, salt, func(e *usher.Endpoint) bool { return e.AvailabilityZone == s.self.Zone })
	if len(sameZone) == 0 {
		ranked = rankCompanions(snapshot, salt, func(*usher.Endpoint) bool { return true })
	}
	return s.companionAddresses(ranked, maxLeafPeers)
}

// fleetPeers returns a small fixed set of companions in any zone. A fixed set
// keeps the number of connections independent of the size of the fleet.
func (s *Syncer) fleetPeers() []string {
	salt := "across/" + string(s.self.Incarnation)
	return s.companionAddresses(rankCompanions(s.holder.Current(), salt, func(*usher.Endpoint) bool { return true }), maxFleetPeers)
}

func (s *Syncer) companionAddresses(companions []hashedCompanion, limit int) []string {
	var addresses []string
	for _, c := range companions {
		if len(addresses) < limit && c.endpoint.Companion != s.self.Address {
			addresses = append(addresses, c.endpoint.Companion)
		}
	}
	return addresses
}
