package placement

import (
	"sync/atomic"

	"filbertusher/pkg/usher"
)

// prefixTable remembers which endpoints have computed which prompt prefixes, as
// far as this process sent them there. What it holds are hints: if an endpoint has
// dropped a prefix from its cache, the only cost is a prefill that was expected
// to be saved. The table therefore needs no cache events, which come late and
// incompletely.
//
// It is a set-associative cache of fixed size. The hash of a block selects a set
// of ways, each an atomic word with a tag, an endpoint and a generation. Its
// memory does not grow with workspaces or endpoints, and reads and writes
// neither lock nor allocate. When two writers race, one hint is lost.
type prefixTable struct {
	sets     []prefixSet
	addCount atomic.Uint32
}

const (
	// prefixWays is the number of hints in a set.
	prefixWays = 8
	// prefixSets makes a table of 8 MB with room for 1 million hints.
	prefixSets = 1 << 17
	// tokensPerBlock is the number of prompt tokens in a block of 512 bytes, which
	// is prefixBlockBytes of package entry. A request header has one hash for each
	// block, which also covers all blocks before it.
	tokensPerBlock = 512 / usher.BytesPerToken
	// addsPerGeneration is the number of requests after which a new generation
	// of hints begins. A full set drops the hint of the oldest generation.
	addsPerGeneration = 64
)

// prefixSet is one cache line.
type prefixSet [prefixWays]atomic.Uint64

// packHint packs a hint into a word: tag (32 bits), generation (16 bits) and
// endpoint (16 bits). Endpoint 0 is not used, so only an empty word is 0.
func packHint(hash uint64, generation, endpoint uint16) uint64 {
	return hash>>32<<32 | uint64(generation)<<16 | uint64(endpoint)
}

func newPrefixTable(sets int) *prefixTable { return &prefixTable{sets: make([]prefixSet, sets)} }

func (t *prefixTable) set(hash uint64) *prefixSet { return &t.sets[hash&uint64(len(t.sets)-1)] }

// add records that the endpoint has the prefix.
func (t *prefixTable) add(prefix []uint64, endpoint uint16) {
	if endpoint == 0 {
		return
	}
	generation := uint16(t.addCount.Add(1) / addsPerGeneration)
	for _, hash := range prefix {
		t.set(hash).put(hash, generation, endpoint)
	}
}

// put replaces the endpoint's own hint, else an empty way, else the oldest hint.
func (s *prefixSet) put(hash uint64, generation, endpoint uint16) {
	hint := packHint(hash, generation, endpoint)
	oldest, oldestAge := 0, uint16(0)
	for i := range s {
		old := s[i].Load()
		if old == 0 || old>>32 == hint>>32 && uint16(old) == endpoint {
			s[i].Store(hint)
			return
		}
		if age := generation - uint16(old>>16); age >= oldestAge {
			oldest, oldestAge = i, age
		}
	}
	s[oldest].Store(hint)
}

// maxMatches bounds the number of endpoints that find returns for a prefix.
const maxMatches = 8

// prefixMatches lists endpoints and how many blocks of a prefix each has.
type prefixMatches struct {
	count     int
	endpoints [maxMatches]uint16
	blocks    [maxMatches]int
}

// find looks up the prefix from its last block to its first, so that the first
// hint found for an endpoint is also the longest.
func (t *prefixTable) find(prefix []uint64, found *prefixMatches) {
	for i := len(prefix) - 1; i >= 0 && found.count < maxMatches; i-- {
		set := t.set(prefix[i])
		for way := range set {
			if hint := set[way].Load(); hint != 0 && hint>>32 == prefix[i]>>32 {
				found.add(uint16(hint), i+1)
			}
		}
	}
}

func (m *prefixMatches) add(endpoint uint16, blocks int) {
	for i := range m.count {
		if m.endpoints[i] == endpoint {
			return
		}
	}
	if m.count == maxMatches {
		return
	}
	m.endpoints[m.count], m.blocks[m.count] = endpoint, blocks
	m.count++
}

// reusedTokens returns how many prompt tokens of the request the endpoint is
// expected to have cached.
func (m *prefixMatches) reusedTokens(endpoint uint16, header *usher.RequestHeader) usher.Tokens {
	for i := range m.count {
		if m.endpoints[i] == endpoint {
			return min(usher.Tokens(m.blocks[i]*tokensPerBlock), header.Cost.PromptTokens)
		}
	}
	return 0
}
