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
	// exchangeTimeout bounds one exchange of messages with one companion.
	exchangeTimeout = 500 * time.Millisecond
	// storeWaitTimeout bounds how long the caller waits for the store to take a
	// decision of which no companion could take a copy.
	storeWaitTimeout = 2 * time.Second
	// recordTimeout bounds how long a caller waits until a second process holds
	// its decision.
	recordTimeout = replicationAttempts*exchangeTimeout + storeWaitTimeout
	// outageSealIntervals is the number of BatchInterval periods between two
	// batches while the store is down. Fewer and larger batches compress better and
	// take fewer writes after the outage.
	outageSealIntervals = 6
	// writerShare is the fraction of WritesPerSecond for which batchInterval plans
	// the writers' batches. The rest is left for index objects and takeovers.
	writerShare = 0.5
)

// Peers gives access to the companions that the entry is connected to.
type Peers interface {
	// Names returns the names of the companions' endpoints.
	Names() []usher.EndpointName
	// Exchange sends one message to the companion of an endpoint and returns its
	// reply.
	Exchange(ctx context.Context, endpoint usher.EndpointName, args *wire.RecordArgs) (*wire.RecordReply, error)
}

// RecorderOptions configures a Recorder.
type RecorderOptions struct {
	// BatchInterval is the time during which decisions are collected in one batch,
	// unless WritesPerSecond requires a longer one.
	BatchInterval time.Duration
	// WritesPerSecond is the store write rate that all writers of the fleet may
	// use together. If there are many writers, each one collects decisions for
	// longer than BatchInterval.
	WritesPerSecond float64
	// MaxBacklogBytes bounds the memory for decisions that are not stored yet, in bytes.
	MaxBacklogBytes int64
}

// Recorder writes the decisions of an entry or a gateway instance to the record.
type Recorder struct {
	options      RecorderOptions
	log          zerolog.Logger
	chain        *chainWriter
	memory       memoryLimit
	replications chan *replicationRequest
	// sealRequests ends the wait for the next batch interval early.
	sealRequests chan struct{}
	metrics      recorderMetrics
	// stop is closed by Close, stopped when Run returns.
	stop, stopped chan struct{}
	// writerCount is the number of writers that the companion that replied last
	// knows of.
	writerCount atomic.Int64

	mu    sync.Mutex
	peers Peers
	// copyHolders has the state of each companion that may hold copies.
	copyHolders map[usher.EndpointName]*copyHolder
	// seenHeads has the newest known batch of each other writer, if it is not
	// countersigned yet.
	seenHeads map[string]wire.RecordHead
	// countersigned is the sequence number of the newest countersigned batch of
	// each other writer.
	countersigned map[string]uint64
	sealedAt      time.Time
	storeDown     bool
}

// copyHolder is the state of a companion that may hold copies.
type copyHolder struct {
	incarnation usher.Incarnation
	// unreleased counts the copies, of decisions and of sealed batches, whose
	// release was not queued yet.
	unreleased           int
	pendingReleases      []string
	pendingBatchReleases []usher.ObjectKey
}

// restarted reports whether the companion's current incarnation differs from the
// one that took the copies. It returns false for a companion that was unreachable
// in between, because its copies were replaced then.
func (h *copyHolder) restarted(current usher.Incarnation) bool {
	return h.unreleased > 0 && h.incarnation != "" && h.incarnation != unreachableIncarnation && h.incarnation != current
}

// recorderMetrics are the counters of a Recorder, named as they are published.
// copiesAsked counts the decisions that a further companion was asked to hold, and
// heldAlone those whose caller got its response while only this process held them.
type recorderMetrics struct {
	recorded, copiesAsked, heldAlone, batchesStored, bytesStored, storeFailures, displaced func(int64)
}

var _ usher.Recorder = (*Recorder)(nil)

// NewRecorder returns a recorder for an entry or a gateway instance whose request
// IDs begin with its incarnation. The caller must call Run.
func NewRecorder(options RecorderOptions, store usher.Store, incarnation usher.Incarnation, log zerolog.Logger) *Recorder {
	group := telemetry.NewMetrics("record")
	return &Recorder{
		options: options, log: log,
		chain:        newChainWriter(store, string(incarnation), RoleEntry),
		memory:       memoryLimit{bytes: options.MaxBacklogBytes},
		replications: make(chan *replicationRequest, maxExchangeDecisions),
		sealRequests: make(chan struct{}, 1),
		stop:         make(chan struct{}), stopped: make(chan struct{}),
		metrics: recorderMetrics{
			recorded: group.Counter("recorded").Add, copiesAsked: group.Counter("copiesAsked").Add,
			heldAlone: group.Counter("heldAlone").Add, batchesStored: group.Counter("batchesStored").Add,
			bytesStored: group.Counter("bytesStored").Add, storeFailures: group.Counter("storeFailures").Add,
			displaced: group.Counter("displaced").Add,
		},
		copyHolders: make(map[usher.EndpointName]*copyHolder),
		seenHeads:   make(map[string]wire.RecordHead), countersigned: make(map[string]uint64),
	}
}

// CheckCapacity implements usher.Recorder.
func (r *Recorder) CheckCapacity(rank usher.Rank) error {
	return r.memory.check(rank, r.chain.bytes.Load())
}

// CountRefusal implements usher.Recorder.
func (r *Recorder) CountRefusal(kind usher.RefusalKind) { r.chain.countRefusal(kind) }

// Record implements usher.Recorder.
func (r *Recorder) Record(ctx context.Context, decision usher.Decision, copies usher.DecisionCopies) {
	r.metrics.recorded(1)
	holders := copies.Holders
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	unreplicated := false
	if !copies.LastConfirmed {
		holder, ok := r.replicate(ctx, &decision)
		unreplicated = !ok
		if ok {
			holders = append(holders, holder)
		}
	}
	r.trackCopies(holders, copies.ConfirmedBy)
	stored, nearlyFull := r.chain.add(&decision, holders)
	if nearlyFull || unreplicated {
		r.requestSeal()
	}
	if unreplicated {
		r.awaitStored(ctx, stored)
	}
}

// awaitStored waits until the decision is stored, because no second process holds
// it.
func (r *Recorder) awaitStored(ctx context.Context, stored <-chan struct{}) {
	timer := time.NewTimer(storeWaitTimeout)
	defer timer.Stop()
	select {
	case <-stored:
	case <-timer.C:
		r.metrics.heldAlone(1)
	case <-ctx.Done():
		r.metrics.heldAlone(1)
	}
}

// requestSeal asks for the open batch to be sealed and stored now.
func (r *Recorder) requestSeal() {
	select {
	case r.sealRequests <- struct{}{}:
	default:
	}
}

// trackCopies counts the copies of a decision. confirmedBy is the incarnation of
// the last holder, if known: it reveals a restart of the companion even if that
// happened before this recorder's first message to it.
func (r *Recorder) trackCopies(holders []usher.EndpointName, confirmedBy usher.Incarnation) {
	r.mu.Lock()
	lost := false
	for i, endpoint := range holders {
		holder := r.copyHolderFor(endpoint)
		if i == len(holders)-1 && confirmedBy != "" {
			lost = holder.restarted(confirmedBy)
			holder.incarnation = confirmedBy
		}
		holder.unreleased++
	}
	r.mu.Unlock()
	if lost {
		r.handleLostCopies(holders[len(holders)-1])
	}
}

// copyHolderFor returns the state of an endpoint's companion and creates it if
// there is none. The caller must hold r.mu.
func (r *Recorder) copyHolderFor(endpoint usher.EndpointName) *copyHolder {
	holder, ok := r.copyHolders[endpoint]
	if !ok {
		holder = &copyHolder{}
		r.copyHolders[endpoint] = holder
	}
	return holder
}

// batchInterval returns for how long decisions are currently collected in one
// batch. It grows with the number of writers, so that all of them together stay
// within WritesPerSecond.
func (r *Recorder) batchInterval() time.Duration {
	return max(r.options.BatchInterval, r.writeGap(writerShare))
}

// writeGap returns the pause between this writer's writes with which all writers
// together use no more than the given share of WritesPerSecond.
func (r *Recorder) writeGap(share float64) time.Duration {
	writers := max(r.writerCount.Load(), 1)
	return time.Duration(float64(writers) / (r.options.WritesPerSecond * share) * float64(time.Second))
}

// RecorderState is the state of a Recorder as shown in the process's diagnostic dump.
type RecorderState struct {
	Writer         string         `json:"writer"`
	Bytes          int64          `json:"bytes"`
	Limit          int64          `json:"limit"`
	Batches        int            `json:"batches"`
	StoreDown      bool           `json:"storeDown"`
	CopyHolders    int            `json:"copyHolders"`
	Writers        int64          `json:"writers"`
	IntervalMS     int64          `json:"intervalMs"`
	LastStored     uint64         `json:"lastStored"`
	Rewritten      int64          `json:"rewritten"`
	LastDigest     usher.Digest   `json:"lastDigest,omitempty"`
	CopiesByHolder map[string]int `json:"copiesAbout,omitempty"`
}

// State returns the recorder's section of the process's diagnostic dump.
func (r *Recorder) State() any {
	head := r.chain.storedHead()
	r.mu.Lock()
	defer r.mu.Unlock()
	copies := make(map[string]int, len(r.copyHolders))
	for name, holder := range r.copyHolders {
		copies[string(name)] = holder.unreleased
	}
	return RecorderState{
		Writer: r.chain.writer, Bytes: r.chain.bytes.Load(), Limit: r.options.MaxBacklogBytes,
		Batches: len(r.chain.unstoredBatches()), StoreDown: r.storeDown, CopyHolders: len(r.copyHolders),
		Writers: r.writerCount.Load(), IntervalMS: r.batchInterval().Milliseconds(),
		LastStored: head.Sequence, Rewritten: r.chain.rewritten.Load(), LastDigest: head.Digest, CopiesByHolder: copies,
	}
}
