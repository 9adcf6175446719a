package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertusher/pkg/usher"
)

const (
	// maxPrefixes bounds how many parts of prompts are known; at that many the
	// table takes about 1 MB.
	maxPrefixes = 8192
	// worthKnowing is the least number of tokens that a shared part must save.
	worthKnowing = 128
	// prefixMemory is for how long a part is expected to stay in an engine.
	prefixMemory = 30 * time.Second
)

// prefixes knows which endpoint has read which beginning of a prompt last. A
// beginning is named by the ids of all its parts.
type prefixes struct {
	at map[uint64]prefixPlace
}

type prefixPlace struct {
	endpoint usher.EndpointName
	seen     time.Time
}

func newPrefixes() *prefixes { return &prefixes{at: make(map[uint64]prefixPlace)} }

// cached returns how many tokens of the prompt the endpoint is expected to keep.
func (p *prefixes) cached(parts []usher.PromptPart, endpoint usher.EndpointName) usher.Tokens {
	if len(p.at) == 0 {
		return 0
	}
	var tokens, kept usher.Tokens
	hash := uint64(0)
	for _, part := range parts {
		hash = chain(hash, part.ID)
		tokens += part.Tokens
		if p.at[hash].endpoint == endpoint {
			kept = tokens
		}
	}
	if kept < worthKnowing {
		return 0
	}
	return kept
}

// note remembers that the endpoint reads the prompt.
func (p *prefixes) note(parts []usher.PromptPart, endpoint usher.EndpointName, now time.Time) {
	var tokens usher.Tokens
	hash := uint64(0)
	for _, part := range parts {
		hash = chain(hash, part.ID)
		tokens += part.Tokens
		if tokens >= worthKnowing {
			p.at[hash] = prefixPlace{endpoint: endpoint, seen: now}
		}
	}
	if len(p.at) > maxPrefixes {
		p.shrink(now)
	}
}

// shrink drops what is old, or else any quarter: maps are read in no order.
func (p *prefixes) shrink(now time.Time) {
	for hash, place := range p.at {
		if now.Sub(place.seen) > prefixMemory {
			delete(p.at, hash)
		}
	}
	for hash := range p.at {
		if len(p.at) <= maxPrefixes*3/4 {
			return
		}
		delete(p.at, hash)
	}
}

func chain(hash uint64, id string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(hash)
	_, _ = d.WriteString(id)
	return d.Sum64()
}
