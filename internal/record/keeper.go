package record

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"filbertusher/internal/pause"
	"filbertusher/internal/telemetry"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

const (
	// copyBytes is what a held decision costs besides its texts, in bytes.
	copyBytes = 400
	// overdueSilences is how many silences a copy may wait for its release
	// from an entry that is alive, before it is stored all the same. It happens
	// to outcomes that became known after the entry had given up on them.
	overdueSilences = 10
	// replySeen bounds the batches of other writers in a reply.
	replySeen = 4
)

// KeeperOptions of a keeper.
type KeeperOptions struct {
	Incarnation usher.Incarnation
	// Silence is how long an entry may say nothing before its copies are
	// stored by this companion.
	Silence time.Duration
	// Limit bounds the copies, in bytes.
	Limit int64
}

// Keeper holds copies of decisions in a companion.
type Keeper struct {
	options KeeperOptions
	store   usher.Store
	log     zerolog.Logger
	backlog backlog
	outbox  *outbox
	bytes   atomic.Int64
	metrics keeperMetrics

	mu      sync.Mutex
	entries map[string]*entryCopies
	// turn rotates which writers' batches are passed on.
	turn int
	// order lists the prefixes of entries, so that turn means something.
	order []string
}

// entryCopies is what is held for one entry.
type entryCopies struct {
	heard  time.Time
	head   wire.RecordHead
	copies map[string]*heldCopy
	sealed map[usher.ObjectKey][]byte
}

// heldCopy is one held decision.
type heldCopy struct {
	decision usher.Decision
	since    time.Time
	bytes    int64
}

type keeperMetrics struct {
	held, released, takenOver, batches, refused func(int64)
}

var _ usher.RecordKeeper = (*Keeper)(nil)

// NewKeeper returns an empty keeper. Run has to be called.
func NewKeeper(options KeeperOptions, store usher.Store, log zerolog.Logger) *Keeper {
	group := telemetry.NewMetrics("keeper")
	return &Keeper{
		options: options, store: store, log: log,
		backlog: backlog{limit: options.Limit},
		outbox:  newOutbox(store, string(options.Incarnation), RoleCompanion),
		metrics: keeperMetrics{
			held: group.Counter("copiesHeld").Add, released: group.Counter("copiesReleased").Add,
			takenOver: group.Counter("copiesTakenOver").Add, batches: group.Counter("batchesTakenOver").Add,
			refused: group.Counter("copiesRefused").Add,
		},
		entries: make(map[string]*entryCopies),
	}
}

// used is what the copies and the batches made of them take, in bytes.
func (k *Keeper) used() int64 { return k.bytes.Load() + k.outbox.bytes.Load() }

// Accept implements usher.RecordKeeper.
func (k *Keeper) Accept(rank usher.Rank) error { return k.backlog.accept(rank, k.used()) }

// Hold implements usher.RecordKeeper.
func (k *Keeper) Hold(decision usher.Decision) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.hold(decision)
}

// hold needs the lock.
func (k *Keeper) hold(decision usher.Decision) bool {
	if k.used() >= k.options.Limit {
		k.metrics.refused(1)
		return false
	}
	prefix, suffix := SplitID(decision.ID)
	entry := k.entryCopies(prefix)
	made := &heldCopy{decision: decision, since: time.Now(), bytes: sizeOf(&decision)}
	if existing, ok := entry.copies[suffix]; ok {
		if Supersedes(&existing.decision, &decision) {
			return true
		}
		k.bytes.Add(-existing.bytes)
	}
	entry.copies[suffix] = made
	k.bytes.Add(made.bytes)
	k.metrics.held(1)
	return true
}

// Supersedes says whether a tells more of the same request than b: what the
// caller was told comes first, then the later attempt.
func Supersedes(a, b *usher.Decision) bool {
	if a.View != b.View {
		return a.View == usher.ViewEntry
	}
	return a.Attempts > b.Attempts
}

// Holds implements usher.RecordKeeper.
func (k *Keeper) Holds(id usher.RequestID) bool {
	prefix, suffix := SplitID(id)
	k.mu.Lock()
	defer k.mu.Unlock()
	entry, ok := k.entries[prefix]
	return ok && entry.copies[suffix] != nil
}

// entryCopies needs the lock.
func (k *Keeper) entryCopies(prefix string) *entryCopies {
	known, ok := k.entries[prefix]
	if !ok {
		known = &entryCopies{heard: time.Now(), copies: make(map[string]*heldCopy), sealed: make(map[usher.ObjectKey][]byte)}
		k.entries[prefix] = known
		k.order = append(k.order, prefix)
	}
	return known
}

func sizeOf(decision *usher.Decision) int64 {
	return int64(copyBytes + len(decision.ID) + len(decision.Key) + len(decision.RequestSHA256) + len(decision.AnswerSHA256) +
		len(decision.TokenName))
}

// KeeperRPC is the keeper as entries see it; net/rpc calls its method.
type KeeperRPC struct{ keeper *Keeper }

// NewKeeperRPC returns the remote methods of a keeper.
func NewKeeperRPC(keeper *Keeper) *KeeperRPC { return &KeeperRPC{keeper: keeper} }

// Exchange takes copies and releases.
func (r *KeeperRPC) Exchange(args *wire.RecordArgs, reply *wire.RecordReply) error {
	*reply = r.keeper.exchange(args)
	return nil
}

func (k *Keeper) exchange(args *wire.RecordArgs) wire.RecordReply {
	k.mu.Lock()
	defer k.mu.Unlock()
	entry := k.entryCopies(args.Prefix)
	entry.heard = time.Now()
	if args.Head.Digest != "" {
		entry.head = args.Head
	}
	for _, suffix := range args.Released {
		k.release(entry, suffix)
	}
	for _, key := range args.ReleasedBatches {
		k.bytes.Add(-int64(len(entry.sealed[key])))
		delete(entry.sealed, key)
	}
	held := true
	for _, decision := range args.Hold {
		held = k.hold(decision) && held
	}
	for _, batch := range args.Sealed {
		held = k.holdSealed(entry, batch) && held
	}
	reply := wire.RecordReply{Held: held, Writers: len(k.entries), Seen: k.heads(args.Prefix)}
	reply.Incarnation = k.options.Incarnation
	return reply
}

// holdSealed needs the lock.
func (k *Keeper) holdSealed(entry *entryCopies, batch wire.SealedBatch) bool {
	if _, ok := entry.sealed[batch.Key]; ok {
		return true
	}
	if k.used() >= k.options.Limit {
		k.metrics.refused(1)
		return false
	}
	entry.sealed[batch.Key] = batch.Value
	k.bytes.Add(int64(len(batch.Value)))
	return true
}

// release needs the lock.
func (k *Keeper) release(entry *entryCopies, suffix string) {
	if held, ok := entry.copies[suffix]; ok {
		k.bytes.Add(-held.bytes)
		k.metrics.released(1)
		delete(entry.copies, suffix)
	}
}

// heads needs the lock. It returns newest batches of writers other than the
// one with the prefix, others each time.
func (k *Keeper) heads(except string) []wire.RecordHead {
	var heads []wire.RecordHead
	for range min(len(k.order), replySeen+1) {
		k.turn = (k.turn + 1) % len(k.order)
		prefix := k.order[k.turn]
		if head := k.entries[prefix].head; prefix != except && head.Digest != "" && len(heads) < replySeen {
			heads = append(heads, head)
		}
	}
	return heads
}

// State is the keeper's part of the dump.
func (k *Keeper) State() any {
	k.mu.Lock()
	defer k.mu.Unlock()
	copies, sealed := 0, 0
	for _, entry := range k.entries {
		copies += len(entry.copies)
		sealed += len(entry.sealed)
	}
	return map[string]any{
		"entries": len(k.entries), "copies": copies, "sealedBatches": sealed,
		"bytes": k.used(), "limit": k.options.Limit, "unstoredBatches": len(k.outbox.unstored()),
	}
}

// Run stores the copies of entries that fell silent until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause.For(ctx, jitter(k.options.Silence/2))
		k.step(ctx, false)
	}
	return nil
}
