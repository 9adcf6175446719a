package engine

import (
	"container/list"
	"math/rand/v2"
	"sync"
	"time"

	"filbertusher/pkg/usher"
)

// CacheEvent tells that a block entered or left the prefix cache. Sequence
// numbers have gaps where events were lost.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Block    uint64 `json:"block"`
	Removed  bool   `json:"removed"`
}

// prefixCache is a bounded cache of prompt blocks, least recently used out
// first.
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

type timedEvent struct {
	CacheEvent
	shown time.Time
}

// maxEvents bounds how many cache events are kept for readers.
const maxEvents = 4096

func newPrefixCache(limit int, lag time.Duration, loss float64) *prefixCache {
	return &prefixCache{
		limit: limit, order: list.New(), index: make(map[uint64]*list.Element),
		lag: lag, loss: loss, random: rand.New(rand.NewPCG(1, 2)),
	}
}

// lookUp returns how many tokens of the prompt are cached.
func (c *prefixCache) lookUp(blocks []uint64) usher.Tokens {
	hit := 0
	for _, block := range blocks {
		element, ok := c.index[block]
		if !ok {
			break
		}
		c.order.MoveToFront(element)
		hit++
	}
	return usher.EstimateTokens(hit * blockBytes)
}

func (c *prefixCache) insert(blocks []uint64) {
	for _, block := range blocks {
		if element, ok := c.index[block]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.index[block] = c.order.PushFront(block)
		c.emit(block, false)
		if c.order.Len() > c.limit {
			oldest := c.order.Back()
			gone, _ := c.order.Remove(oldest).(uint64)
			delete(c.index, gone)
			c.emit(gone, true)
		}
	}
}

func (c *prefixCache) emit(block uint64, removed bool) {
	c.sequence++
	if c.random.Float64() < c.loss {
		return
	}
	event := CacheEvent{Sequence: c.sequence, Block: block, Removed: removed}
	c.events = append(c.events, timedEvent{CacheEvent: event, shown: time.Now().Add(c.lag)})
	if len(c.events) > maxEvents {
		c.events = append([]timedEvent(nil), c.events[maxEvents/2:]...)
	}
}

// since returns the events after a sequence number that readers may see now.
func (c *prefixCache) since(sequence uint64) []CacheEvent {
	now := time.Now()
	found := []CacheEvent{}
	for _, event := range c.events {
		if event.Sequence > sequence && !event.shown.After(now) {
			found = append(found, event.CacheEvent)
		}
	}
	return found
}

// lagging is a value that readers see as it was some time ago.
type lagging[T any] struct {
	lag time.Duration

	mu     sync.Mutex
	values []timedValue[T]
}

type timedValue[T any] struct {
	at    time.Time
	value T
}

func newLagging[T any](lag time.Duration) *lagging[T] { return &lagging[T]{lag: lag} }

func (l *lagging[T]) set(value T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.values = append(l.values, timedValue[T]{at: time.Now(), value: value})
	l.trim()
}

func (l *lagging[T]) get() T {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trim()
	if len(l.values) == 0 || time.Since(l.values[0].at) < l.lag {
		var zero T
		return zero
	}
	return l.values[0].value
}

// trim drops the values that were replaced before the lag began.
func (l *lagging[T]) trim() {
	cut := time.Now().Add(-l.lag)
	first := 0
	for first+1 < len(l.values) && !l.values[first+1].at.After(cut) {
		first++
	}
	l.values = l.values[first:]
}
