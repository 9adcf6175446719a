package intake

import (
	"bytes"
	"container/list"
	"context"
	"expvar"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"filbertusher/internal/pause"
	"filbertusher/internal/telemetry"
)

const (
	// ordinaryBytes is what a client may hold for one request, besides its connection, and
	// still draw on the share that is kept for ordinary requests: a small head and a body
	// of unreservedBytes.
	ordinaryBytes = unreservedBytes + 8<<10
	// ordinaryFraction is the share of a budget that is kept for ordinary requests.
	ordinaryFraction = 0.25
	// scarceFraction is the share of a budget above which it is scarce.
	scarceFraction = 0.75
	// maxWait is how long a client waits for memory. Callers abandon a request of which
	// nothing was read for a second.
	maxWait = 900 * time.Millisecond
	// A request that brings fewer than progressBytes in stallTime counts as stalled, and
	// gives way where memory is short.
	progressBytes = 4 << 10
	stallTime     = 2 * time.Second
	// stallCheckInterval is how often those who wait look for stalled requests.
	stallCheckInterval = 50 * time.Millisecond
	// logInterval is the least time between two log lines about memory that was short.
	logInterval = 5 * time.Second
)

// Names of the counters of group "memory": requests that waited for memory, that were
// refused because there was none in time, and that gave way to others.
const (
	metricWaited  = "waited"
	metricRefused = "refused"
	metricGaveWay = "gaveWay"
)

// NoMemoryError is returned for a client that found no memory in time, or that had to give
// way to others.
type NoMemoryError struct {
	// Bytes is how much it asked for; 0 if it gave way.
	Bytes int64
}

// Error implements error.
func (e *NoMemoryError) Error() string {
	if e.Bytes == 0 {
		return "a request that stalled gave way, as memory is short"
	}
	return "no memory for " + strconv.FormatInt(e.Bytes, 10) + " bytes of a request"
}

// Budget bounds the memory that all clients of a process hold together. Requests that are
// not complete yet are charged as they grow, and the largest stalled ones give way to others
// where it is short. It is safe for concurrent use.
type Budget struct {
	// size is that of the budget, and large the part of it that requests which hold more
	// than ordinaryBytes draw on.
	size, large int64

	waited, refused, gaveWay *expvar.Int

	mu sync.Mutex
	// used is what is held, connections the part of it that connections hold, and leaving
	// that of clients that were told to give way.
	used, connections, leaving int64
	// waiters holds a *waiter for each client that waits, in the order of arrival, and
	// largeWaiters counts those that may not draw on all of size.
	waiters      list.List
	largeWaiters int
	// timesWaited and the fields after it count since the last log line.
	timesWaited, timesRefused, timesGaveWay int
	// unfinished is the first of a list of the requests that are not complete.
	unfinished *Holding
}

// NewBudget returns a budget of size bytes.
func NewBudget(size int64) *Budget {
	return newBudget(size, size-int64(float64(size)*ordinaryFraction))
}

func newBudget(size, large int64) *Budget {
	group := telemetry.NewMetrics("memory")
	return &Budget{
		size: size, large: large,
		waited: group.Counter(metricWaited), refused: group.Counter(metricRefused), gaveWay: group.Counter(metricGaveWay),
	}
}

// Holding is what one client holds: its connection and one request. Its methods may be
// called on nil, which holds nothing.
type Holding struct {
	budget *Budget
	// giveWay makes reading from the client fail at once, and isUnread reports whether the
	// client has sent what this process has not read yet. Neither may block. isUnread may be
	// nil.
	giveWay  func()
	isUnread func() bool

	// progressAt is the time, by time.Time.UnixNano, at which the last progressBytes had
	// come, and since counts the bytes after that. since belongs to who reads.
	progressAt atomic.Int64
	since      int

	// The fields below belong to the budget's mutex. connection and request are what is
	// held for either.
	connection, request int64
	isUnfinished        bool
	isWaiting           bool
	hasGivenWay         bool
	previous, next      *Holding
}

// waiter is a client that waits for bytes more.
type waiter struct {
	holding *Holding
	bytes   int64
	granted chan struct{}
}

// Hold returns an empty holding. giveWay is called at most once, if a request that is not
// complete has to give way.
func (b *Budget) Hold(giveWay func()) *Holding { return &Holding{budget: b, giveWay: giveWay} }

// HoldUnless is Hold for a client that does not stall while isUnread reports that bytes it has
// sent wait to be read, as this process is what is slow then.
func (b *Budget) HoldUnless(isUnread func() bool, giveWay func()) *Holding {
	return &Holding{budget: b, giveWay: giveWay, isUnread: isUnread}
}

// IsScarce reports whether little of the budget is left.
func (b *Budget) IsScarce() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return float64(b.used) > float64(b.size)*scarceFraction
}

// Used returns how many bytes are held.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// LogTo logs until ctx ends when memory was short.
func (b *Budget) LogTo(ctx context.Context, log zerolog.Logger) {
	pause.Every(ctx, logInterval, func() {
		b.mu.Lock()
		waited, refused, gaveWay, used := b.timesWaited, b.timesRefused, b.timesGaveWay, b.used
		b.timesWaited, b.timesRefused, b.timesGaveWay = 0, 0, 0
		b.mu.Unlock()
		if waited > 0 {
			log.Warn().Int("waited", waited).Int("refused", refused).Int("gaveWay", gaveWay).Int64("used", used).Int64("of", b.size).Msg("memoryShort")
		}
	})
}

// Take takes bytes that can't be refused any more, such as those of a response.
func (b *Budget) Take(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used += bytes
}

// Give returns bytes that Take has taken.
func (b *Budget) Give(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= bytes
	b.grantWaiters()
}

// Connect takes the bytes of the client's connection. It waits for them, and returns
// *NoMemoryError if there are none in time.
func (h *Holding) Connect(ctx context.Context, bytes int64) error {
	if err := h.grow(ctx, bytes); err != nil {
		return err
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.request -= bytes
	h.connection += bytes
	h.budget.connections += bytes
	return nil
}

// Begin starts a request that is not complete until Finish.
func (h *Holding) Begin() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.isUnfinished || h.hasGivenWay {
		return
	}
	h.since = 0
	h.progressAt.Store(time.Now().UnixNano())
	h.isUnfinished = true
	h.next = h.budget.unfinished
	if h.next != nil {
		h.next.previous = h
	}
	h.budget.unfinished = h
}

// Progress notes that bytes of the request have come. It is called by who reads them.
func (h *Holding) Progress(bytes int) {
	if h == nil {
		return
	}
	if h.since += bytes; h.since >= progressBytes {
		h.since = 0
		h.progressAt.Store(time.Now().UnixNano())
	}
}

// Grow takes bytes for the request. It waits for them, and returns *NoMemoryError if there are
// none in time.
func (h *Holding) Grow(ctx context.Context, bytes int64) error {
	if h == nil {
		return nil
	}
	return h.grow(ctx, bytes)
}

// Shrink returns bytes of the request.
func (h *Holding) Shrink(bytes int64) {
	if h == nil || bytes == 0 {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.shrink(bytes)
}

// Finish ends the time in which the request may have to give way. It returns
// *NoMemoryError if it has.
func (h *Holding) Finish() error {
	if h == nil {
		return nil
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.unlink()
	if h.hasGivenWay {
		return &NoMemoryError{}
	}
	return nil
}

// HasGivenWay reports whether the request had to give way.
func (h *Holding) HasGivenWay() bool {
	if h == nil {
		return false
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.hasGivenWay
}

// EndRequest returns what is held for the request.
func (h *Holding) EndRequest() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.unlink()
	h.shrink(h.request)
}

// Close returns all. It may be called more than once.
func (h *Holding) Close() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.unlink()
	h.budget.connections -= h.connection
	h.request += h.connection
	h.connection = 0
	h.shrink(h.request)
}

// grow takes bytes as Grow does.
func (h *Holding) grow(ctx context.Context, bytes int64) error {
	b := h.budget
	b.mu.Lock()
	if h.hasGivenWay {
		b.mu.Unlock()
		return &NoMemoryError{}
	}
	if b.fits(h, bytes) && (b.largeWaiters == 0 || h.isOrdinary(bytes)) {
		b.take(h, bytes)
		b.mu.Unlock()
		return nil
	}
	w := &waiter{holding: h, bytes: bytes, granted: make(chan struct{})}
	element := b.waiters.PushBack(w)
	if !h.isOrdinary(bytes) {
		b.largeWaiters++
	}
	h.isWaiting = true
	b.timesWaited++
	b.makeRoomFor(element)
	b.mu.Unlock()
	b.waited.Add(1)
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	ticker := time.NewTicker(stallCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.granted:
			return nil
		case <-ctx.Done():
			return b.stopWaiting(element)
		case <-ticker.C:
			b.mu.Lock()
			b.makeRoomFor(element)
			b.mu.Unlock()
		}
	}
}

// stopWaiting ends the wait of a client, which may have been granted its bytes meanwhile.
func (b *Budget) stopWaiting(element *list.Element) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := element.Value.(*waiter)
	select {
	case <-w.granted:
		return nil
	default:
	}
	wasFirst := b.waiters.Front() == element
	b.removeWaiter(element)
	// Those behind it may have waited for their turn only.
	b.grantWaiters()
	if wasFirst {
		b.makeRoom()
	}
	b.timesRefused++
	b.refused.Add(1)
	return &NoMemoryError{Bytes: w.bytes}
}

func (b *Budget) removeWaiter(element *list.Element) {
	w := b.waiters.Remove(element).(*waiter)
	w.holding.isWaiting = false
	// What the client holds does not change while it waits.
	if !w.holding.isOrdinary(w.bytes) {
		b.largeWaiters--
	}
	w.holding.progressAt.Store(time.Now().UnixNano())
}

// isOrdinary reports whether the request may draw on all of the budget for bytes more.
func (h *Holding) isOrdinary(bytes int64) bool { return h.request+bytes <= ordinaryBytes }

// ceiling returns how much of the budget may be used once the request holds bytes more.
func (b *Budget) ceiling(h *Holding, bytes int64) int64 {
	if h.isOrdinary(bytes) {
		return b.size
	}
	return b.large
}

// fits reports whether there is room for bytes more. A request that is larger than the budget
// gets it when no other holds anything.
func (b *Budget) fits(h *Holding, bytes int64) bool {
	return b.used+bytes <= b.ceiling(h, bytes) || b.used == b.connections+h.request
}

func (b *Budget) take(h *Holding, bytes int64) {
	b.used += bytes
	h.request += bytes
}

// shrink returns bytes of a request to those who wait.
func (h *Holding) shrink(bytes int64) {
	h.request -= bytes
	h.budget.used -= bytes
	if h.hasGivenWay {
		h.budget.leaving -= bytes
	}
	h.budget.grantWaiters()
}

func (h *Holding) unlink() {
	if !h.isUnfinished {
		return
	}
	h.isUnfinished = false
	if h.previous == nil {
		h.budget.unfinished = h.next
	} else {
		h.previous.next = h.next
	}
	if h.next != nil {
		h.next.previous = h.previous
	}
	h.previous, h.next = nil, nil
}

// grantWaiters gives those who wait what there is, in the order of arrival. Ordinary requests
// don't wait for larger ones. Room is made at once for who becomes the first of them.
func (b *Budget) grantWaiters() {
	first := b.waiters.Front()
	b.grantFitting()
	if b.waiters.Front() != first {
		b.makeRoom()
	}
}

func (b *Budget) grantFitting() {
	isBlocked := false
	for element := b.waiters.Front(); element != nil; {
		w, next := element.Value.(*waiter), element.Next()
		ordinary := w.holding.isOrdinary(w.bytes)
		switch {
		case isBlocked && !ordinary:
		case b.fits(w.holding, w.bytes):
			b.removeWaiter(element)
			b.take(w.holding, w.bytes)
			close(w.granted)
		case ordinary:
			return
		default:
			isBlocked = true
		}
		element = next
	}
}

// makeRoomFor is makeRoom if element is the first client that waits. The others don't look, as
// each look passes all requests that are not complete.
func (b *Budget) makeRoomFor(element *list.Element) {
	if b.waiters.Front() == element {
		b.makeRoom()
	}
}

// makeRoom lets requests give way for the first client that waits: the largest of the
// stalled ones, and for an ordinary request also large ones.
func (b *Budget) makeRoom() {
	front := b.waiters.Front()
	if front == nil {
		return
	}
	w := front.Value.(*waiter)
	ceiling := b.ceiling(w.holding, w.bytes)
	stalledSince := time.Now().Add(-stallTime).UnixNano()
	for b.used-b.leaving+w.bytes > ceiling {
		largest := b.largestToGiveWay(stalledSince, b.ceiling(w.holding, w.bytes) == b.size)
		if largest == nil {
			return
		}
		largest.hasGivenWay = true
		b.leaving += largest.request + largest.connection
		largest.unlink()
		b.timesGaveWay++
		b.gaveWay.Add(1)
		if largest.giveWay != nil {
			largest.giveWay()
		}
	}
}

func (b *Budget) largestToGiveWay(stalledSince int64, forOrdinary bool) *Holding {
	var largest *Holding
	for h := b.unfinished; h != nil; h = h.next {
		isCandidate := h.progressAt.Load() < stalledSince || forOrdinary && !h.isOrdinary(0)
		if isCandidate && !h.isWaiting && h.giveWay != nil && (largest == nil || h.request > largest.request) && !h.readsLate() {
			largest = h
		}
	}
	return largest
}

// readsLate reports whether this process has not read yet what the client has sent.
func (h *Holding) readsLate() bool {
	if h.isUnread == nil || !h.isUnread() {
		return false
	}
	h.progressAt.Store(time.Now().UnixNano())
	return true
}

// fieldBytes is what a field of a header takes once it is parsed, besides its text: the entry
// of the map and the list of its values.
const fieldBytes = 128

// HeaderBytes returns what a part of a header takes once it is parsed. The part may go on
// beyond the empty line that ends the header; no fields are counted there.
func HeaderBytes(part []byte) int64 {
	fields := part
	// Empty lines before a request don't end its header.
	begin := len(part) - len(bytes.TrimLeft(part, "\r\n"))
	for _, end := range []string{"\n\r\n", "\n\n"} {
		if at := bytes.Index(fields[begin:], []byte(end)); at >= 0 {
			fields = fields[:begin+at+1]
		}
	}
	return int64(len(part) + fieldBytes*bytes.Count(fields, []byte("\n")))
}
