package record

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"filbertusher/internal/telemetry"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

const (
	// holdTimeout bounds one question to one companion.
	holdTimeout = 500 * time.Millisecond
	// storeTimeout bounds how long a decision that no companion could take
	// waits for the store instead.
	storeTimeout = 2 * time.Second
	// recordTimeout bounds how long a caller waits for its decision to be held
	// by a second process.
	recordTimeout = holdAttempts*holdTimeout + storeTimeout
	// outageIntervals is how many intervals pass between two batches while the
	// store is down. Fewer and larger batches compress better and are stored
	// in fewer writes after the outage.
	outageIntervals = 6
	// writerShares is how much of the declared share of the store's calls the
	// writers plan for; the rest is for indexes and takeovers.
	writerShares = 0.5
)

// Peers are the companions that the entry is connected to.
type Peers interface {
	// Names returns the companions' endpoints.
	Names() []usher.EndpointName
	// Exchange sends one message to the companion of an endpoint.
	Exchange(ctx context.Context, endpoint usher.EndpointName, args *wire.RecordArgs) (*wire.RecordReply, error)
}

// Options of a recorder.
type Options struct {
	// Interval is how long decisions are gathered into one batch.
	Interval time.Duration
	// WritesPerSecond is the share of the store's writes that all writers of
	// the fleet together may use. Many writers gather for longer.
	WritesPerSecond float64
	// Limit bounds the decisions that are not stored yet, in bytes.
	Limit int64
}

// Recorder is the writer of the record in an entry.
type Recorder struct {
	options Options
	log     zerolog.Logger
	outbox  *outbox
	backlog backlog
	holds   chan *holdRequest
	// early asks for a batch before the interval has passed.
	early   chan struct{}
	metrics recorderMetrics
	// stop is closed by Close, stopped when Run has ended.
	stop, stopped chan struct{}
	// writers is how many writers the companions know of.
	writers atomic.Int64

	mu    sync.Mutex
	peers Peers
	// copyHolders is what is known of each companion that holds copies.
	copyHolders map[usher.EndpointName]*copyHolder
	// seen are stored batches of other writers that were not countersigned yet.
	seen map[string]wire.RecordHead
	// countersigned is the newest batch of each writer that was.
	countersigned map[string]uint64
	sealedAt      time.Time
	down          bool
}

// copyHolder is a companion that may hold copies.
type copyHolder struct {
	incarnation usher.Incarnation
	// held counts the copies that were not released.
	held            int
	released        []string
	releasedBatches []usher.ObjectKey
}

// restarted says whether the incarnation is another one than that which took
// the copies. One that was gone for a while was made up for then.
func (h *copyHolder) restarted(now usher.Incarnation) bool {
	return h.held > 0 && h.incarnation != "" && h.incarnation != goneIncarnation && h.incarnation != now
}

type recorderMetrics struct {
	recorded, held, heldAlone, batches, stored, failures, displaced func(int64)
}

var _ usher.Recorder = (*Recorder)(nil)

// NewRecorder returns the writer of an entry, whose request ids begin with its
// incarnation. Run has to be called.
func NewRecorder(options Options, store usher.Store, incarnation usher.Incarnation, log zerolog.Logger) *Recorder {
	group := telemetry.NewMetrics("record")
	return &Recorder{
		options: options, log: log,
		outbox:  newOutbox(store, string(incarnation), RoleEntry),
		backlog: backlog{limit: options.Limit},
		holds:   make(chan *holdRequest, maxHold),
		early:   make(chan struct{}, 1),
		stop:    make(chan struct{}), stopped: make(chan struct{}),
		metrics: recorderMetrics{
			recorded: group.Counter("recorded").Add, held: group.Counter("copiesAsked").Add,
			heldAlone: group.Counter("heldAlone").Add, batches: group.Counter("batchesStored").Add,
			stored: group.Counter("bytesStored").Add, failures: group.Counter("storeFailures").Add,
			displaced: group.Counter("displaced").Add,
		},
		copyHolders: make(map[usher.EndpointName]*copyHolder),
		seen:        make(map[string]wire.RecordHead), countersigned: make(map[string]uint64),
	}
}

// Accept implements usher.Recorder.
func (r *Recorder) Accept(rank usher.Rank) error {
	return r.backlog.accept(rank, r.outbox.bytes.Load())
}

// Count implements usher.Recorder.
func (r *Recorder) Count(kind usher.RefusalKind) { r.outbox.count(kind) }

// Record implements usher.Recorder.
func (r *Recorder) Record(ctx context.Context, decision usher.Decision, copies usher.Copies) {
	r.metrics.recorded(1)
	at := copies.At
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	alone := false
	if !copies.Same {
		holder, ok := r.hold(ctx, &decision)
		alone = !ok
		if ok {
			at = append(at, holder)
		}
	}
	r.noteCopies(at, copies.By)
	stored, full := r.outbox.add(&decision, at)
	if full || alone {
		r.flush()
	}
	if alone {
		r.awaitStored(ctx, stored)
	}
}

// awaitStored waits for the store in place of a second process.
func (r *Recorder) awaitStored(ctx context.Context, stored <-chan struct{}) {
	timer := time.NewTimer(storeTimeout)
	defer timer.Stop()
	select {
	case <-stored:
	case <-timer.C:
		r.metrics.heldAlone(1)
	case <-ctx.Done():
		r.metrics.heldAlone(1)
	}
}

// flush asks for a batch now.
func (r *Recorder) flush() {
	select {
	case r.early <- struct{}{}:
	default:
	}
}

// noteCopies counts the copies. by is the incarnation of the last companion, if
// that is known: a restart has to be noticed also when it came before the first
// message of this recorder to the companion.
func (r *Recorder) noteCopies(at []usher.EndpointName, by usher.Incarnation) {
	r.mu.Lock()
	lost := false
	for i, endpoint := range at {
		known := r.copyHolder(endpoint)
		if i == len(at)-1 && by != "" {
			lost = known.restarted(by)
			known.incarnation = by
		}
		known.held++
	}
	r.mu.Unlock()
	if lost {
		r.copiesLost(at[len(at)-1])
	}
}

// copyHolder needs the lock.
func (r *Recorder) copyHolder(endpoint usher.EndpointName) *copyHolder {
	known, ok := r.copyHolders[endpoint]
	if !ok {
		known = &copyHolder{}
		r.copyHolders[endpoint] = known
	}
	return known
}

// interval is how long decisions are gathered now. It grows with the number of
// writers, so that all of them together stay within the declared share.
func (r *Recorder) interval() time.Duration {
	return max(r.options.Interval, r.gap(writerShares))
}

// gap is how far apart this writer's writes have to be so that all writers use
// no more than part of the declared share.
func (r *Recorder) gap(part float64) time.Duration {
	writers := max(r.writers.Load(), 1)
	return time.Duration(float64(writers) / (r.options.WritesPerSecond * part) * float64(time.Second))
}

// Backlog is the recorder's state for the dump.
type Backlog struct {
	Writer      string         `json:"writer"`
	Bytes       int64          `json:"bytes"`
	Limit       int64          `json:"limit"`
	Batches     int            `json:"batches"`
	StoreDown   bool           `json:"storeDown"`
	CopyHolders int            `json:"copyHolders"`
	Writers     int64          `json:"writers"`
	IntervalMS  int64          `json:"intervalMs"`
	LastStored  uint64         `json:"lastStored"`
	LastDigest  usher.Digest   `json:"lastDigest,omitempty"`
	CopiesAbout map[string]int `json:"copiesAbout,omitempty"`
}

// State is the recorder's part of the dump.
func (r *Recorder) State() any {
	head := r.outbox.storedHead()
	r.mu.Lock()
	defer r.mu.Unlock()
	copies := make(map[string]int, len(r.copyHolders))
	for name, one := range r.copyHolders {
		copies[string(name)] = one.held
	}
	return Backlog{
		Writer: r.outbox.writer, Bytes: r.outbox.bytes.Load(), Limit: r.options.Limit,
		Batches: len(r.outbox.unstored()), StoreDown: r.down, CopyHolders: len(r.copyHolders),
		Writers: r.writers.Load(), IntervalMS: r.interval().Milliseconds(),
		LastStored: head.Sequence, LastDigest: head.Digest, CopiesAbout: copies,
	}
}
