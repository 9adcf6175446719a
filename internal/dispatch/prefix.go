package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertusher/pkg/usher"
)

const (
	// maxPrefixes bounds the number of prompt prefixes in the table. At that size
	// the table takes about 1 MB.
	maxPrefixes = 8192
	// minCachedTokens is the shortest prefix, in tokens, that is recorded or
	// counted as cached.
	minCachedTokens = 128
	// prefixTTL is how long an engine is expected to keep a prefix in its cache.
	prefixTTL = 30 * time.Second
)

// prefixTable records which endpoint last processed each prompt prefix. The key of
// a prefix is a hash over the IDs of all its parts; chainHash extends it by one part.
type prefixTable struct {
	entries map[uint64]prefixEntry
}

// prefixEntry is the endpoint that last processed a prefix, and when.
type prefixEntry struct {
	endpoint usher.EndpointName
	recorded time.Time
}

func newPrefixTable() *prefixTable { return &prefixTable{entries: make(map[uint64]prefixEntry)} }

// cachedTokens returns how many leading tokens of the prompt the endpoint is
// expected to have in its cache.
func (p *prefixTable) cachedTokens(parts []usher.PromptPart, endpoint usher.EndpointName) usher.Tokens {
	if len(p.entries) == 0 {
		return 0
	}
	var tokens, cached usher.Tokens
	hash := uint64(0)
	for _, part := range parts {
		hash = chainHash(hash, part.ID)
		tokens += part.Tokens
		if p.entries[hash].endpoint == endpoint {
			cached = tokens
		}
	}
	if cached < minCachedTokens {
		return 0
	}
	return cached
}

// record notes that the prompt was sent to the endpoint.
func (p *prefixTable) record(parts []usher.PromptPart, endpoint usher.EndpointName, now time.Time) {
	var tokens usher.Tokens
	hash := uint64(0)
	for _, part := range parts {
		hash = chainHash(hash, part.ID)
		tokens += part.Tokens
		if tokens >= minCachedTokens {
			p.entries[hash] = prefixEntry{endpoint: endpoint, recorded: now}
		}
	}
	if len(p.entries) > maxPrefixes {
		p.evict(now)
	}
}

// evict removes expired entries and then, if needed, arbitrary ones until the
// table is at most three quarters full.
func (p *prefixTable) evict(now time.Time) {
	for hash, entry := range p.entries {
		if now.Sub(entry.recorded) > prefixTTL {
			delete(p.entries, hash)
		}
	}
	for hash := range p.entries {
		if len(p.entries) <= maxPrefixes*3/4 {
			return
		}
		delete(p.entries, hash)
	}
}

func chainHash(hash uint64, id string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(hash)
	_, _ = d.WriteString(id)
	return d.Sum64()
}
