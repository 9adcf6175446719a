package placement

import (
	"sync/atomic"

	"filbertusher/pkg/usher"
)

// prefixTable remembers which endpoints have computed which prompt prefixes,
// as far as this process sent them there. It holds hints only: an endpoint
// whose cache dropped a prefix costs a prefill that was hoped to be saved, and
// nothing else. So it needs no cache events, which come late and with gaps.
//
// It is a set-associative cache of fixed size: a block's hash chooses a set of
// ways, each an atomic word of a tag, an endpoint and an age. The memory does
// not grow with workspaces or endpoints, and neither reading nor writing takes
// a lock or allocates. A lost race between two writers loses a hint.
type prefixTable struct {
	sets  []prefixSet
	clock atomic.Uint32
}

const (
	// prefixWays is how many endpoints can be known for blocks of one set.
	prefixWays = 8
	// prefixSets makes a table of 8 MB with room for 1 million hints.
	prefixSets = 1 << 17
	// tokensPerBlock is how much prompt one hash of a header covers.
	tokensPerBlock = 512 / usher.BytesPerToken
	// addsPerAge is how many requests make hints one age older.
	addsPerAge = 64
)

// prefixSet is one cache line.
type prefixSet [prefixWays]atomic.Uint64

// A word is tag (32 bits), age (16 bits), endpoint (16 bits). Endpoint 0 is
// not used, so a word is 0 only when it is empty.
func word(hash uint64, age, endpoint uint16) uint64 {
	return hash>>32<<32 | uint64(age)<<16 | uint64(endpoint)
}

func newPrefixTable(sets int) *prefixTable { return &prefixTable{sets: make([]prefixSet, sets)} }

func (t *prefixTable) set(hash uint64) *prefixSet { return &t.sets[hash&uint64(len(t.sets)-1)] }

// add notes that the endpoint has the prefix.
func (t *prefixTable) add(prefix []uint64, endpoint uint16) {
	age := uint16(t.clock.Add(1) / addsPerAge)
	for _, hash := range prefix {
		t.set(hash).put(hash, age, endpoint)
	}
}

// put replaces the endpoint's own hint, else an empty way, else the oldest.
func (s *prefixSet) put(hash uint64, age, endpoint uint16) {
	fresh := word(hash, age, endpoint)
	oldest, oldestAge := 0, uint16(0)
	for i := range s {
		old := s[i].Load()
		if old == 0 || old>>32 == fresh>>32 && uint16(old) == endpoint {
			s[i].Store(fresh)
			return
		}
		if since := age - uint16(old>>16); since >= oldestAge {
			oldest, oldestAge = i, since
		}
	}
	s[oldest].Store(fresh)
}

// maxMatches bounds how many endpoints a prefix is found at.
const maxMatches = 8

// matches lists endpoints with how many blocks of a prefix they have.
type matches struct {
	count    int
	endpoint [maxMatches]uint16
	blocks   [maxMatches]int
}

// find looks the prefix up from its longest block on, so that the first hint
// of an endpoint is also its longest.
func (t *prefixTable) find(prefix []uint64, found *matches) {
	for i := len(prefix) - 1; i >= 0 && found.count < maxMatches; i-- {
		set := t.set(prefix[i])
		for way := range set {
			if w := set[way].Load(); w != 0 && w>>32 == prefix[i]>>32 {
				found.note(uint16(w), i+1)
			}
		}
	}
}

func (m *matches) note(endpoint uint16, blocks int) {
	for i := range m.count {
		if m.endpoint[i] == endpoint {
			return
		}
	}
	if m.count == maxMatches {
		return
	}
	m.endpoint[m.count], m.blocks[m.count] = endpoint, blocks
	m.count++
}

// of returns how much of the request's prompt the endpoint is expected to have.
func (m *matches) of(endpoint uint16, header *usher.RequestHeader) usher.Tokens {
	for i := range m.count {
		if m.endpoint[i] == endpoint {
			return min(usher.Tokens(m.blocks[i]*tokensPerBlock), header.Cost.PromptTokens)
		}
	}
	return 0
}
