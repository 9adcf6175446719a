package engine

import (
	"container/list"
	"math/rand/v2"
	"sync"
	"time"

	"filbertusher/pkg/usher"
)

// CacheEvent reports that a block was added to the prefix cache or evicted from
// it. A gap in the sequence numbers means that events were lost.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Block    uint64 `json:"block"`
	Removed  bool   `json:"removed"`
}

// prefixCache is an LRU cache of prompt blocks, identified by their chained
// hashes. limit is its capacity in blocks. It records an event for every insertion
// and eviction; loss is the probability that the event is lost, and lag the delay
// after which readers see it.
type prefixCache struct {
	limit int
	order *list.List
	index map[uint64]*list.Element

	lag      time.Duration
	loss     float64
	random   *rand.Rand
	sequence uint64
	events   []timedEvent
}

// timedEvent is a cache event with the time from which readers see it.
type timedEvent struct {
	CacheEvent
	visibleAt time.Time
}

// maxEvents is the maximum number of cache events kept for readers. Above it, the
// older half is dropped.
const maxEvents = 4096

func newPrefixCache(limit int, lag time.Duration, loss float64) *prefixCache {
	return &prefixCache{
		limit: limit, order: list.New(), index: make(map[uint64]*list.Element),
		lag: lag, loss: loss, random: rand.New(rand.NewPCG(1, 2)),
	}
}

// matchPrefix returns the estimated number of tokens in the longest cached prefix of
// a prompt, and marks its blocks as recently used.
func (c *prefixCache) matchPrefix(blocks []uint64) usher.Tokens {
	matched := 0
	for _, block := range blocks {
		element, ok := c.index[block]
		if !ok {
			break
		}
		c.order.MoveToFront(element)
		matched++
	}
	return usher.EstimateTokens(matched * blockBytes)
}

func (c *prefixCache) insert(blocks []uint64) {
	for _, block := range blocks {
		if element, ok := c.index[block]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.index[block] = c.order.PushFront(block)
		c.recordEvent(block, false)
		if c.order.Len() > c.limit {
			oldest := c.order.Back()
			evicted, _ := c.order.Remove(oldest).(uint64)
			delete(c.index, evicted)
			c.recordEvent(evicted, true)
		}
	}
}

func (c *prefixCache) recordEvent(block uint64, removed bool) {
	c.sequence++
	if c.random.Float64() < c.loss {
		return
	}
	event := CacheEvent{Sequence: c.sequence, Block: block, Removed: removed}
	c.events = append(c.events, timedEvent{CacheEvent: event, visibleAt: time.Now().Add(c.lag)})
	if len(c.events) > maxEvents {
		c.events = append([]timedEvent(nil), c.events[maxEvents/2:]...)
	}
}

// since returns the visible events with a sequence number above the given one.
func (c *prefixCache) since(sequence uint64) []CacheEvent {
	now := time.Now()
	visible := []CacheEvent{}
	for _, event := range c.events {
		if event.Sequence > sequence && !event.visibleAt.After(now) {
			visible = append(visible, event.CacheEvent)
		}
	}
	return visible
}

// delayed is a value that readers see late: get returns the value that was current
// lag ago, or the zero value if none had been set by then.
type delayed[T any] struct {
	lag time.Duration

	mu     sync.Mutex
	values []timedValue[T]
}

// timedValue is a value with the time at which it was set.
type timedValue[T any] struct {
	at    time.Time
	value T
}

func newDelayed[T any](lag time.Duration) *delayed[T] { return &delayed[T]{lag: lag} }

func (d *delayed[T]) set(value T) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.values = append(d.values, timedValue[T]{at: time.Now(), value: value})
	d.trim()
}

func (d *delayed[T]) get() T {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.trim()
	if len(d.values) == 0 || time.Since(d.values[0].at) < d.lag {
		var zero T
		return zero
	}
	return d.values[0].value
}

// trim drops the values that had already been replaced lag ago.
func (d *delayed[T]) trim() {
	cutoff := time.Now().Add(-d.lag)
	first := 0
	for first+1 < len(d.values) && !d.values[first+1].at.After(cutoff) {
		first++
	}
	d.values = d.values[first:]
}
