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
	// copyOverheadBytes is the estimated memory of a held decision besides its
	// strings.
	copyOverheadBytes = 400
	// overdueTimeouts is the number of silence timeouts after which a copy is
	// stored even though its entry is alive but did not release it. This happens
	// to outcomes that became known after the entry had given up on them. An entry
	// without copies that was silent for as long is removed.
	overdueTimeouts = 10
	// maxReplyHeads is the maximum number of batches of other entries that a reply
	// names for countersigning.
	maxReplyHeads = 4
)

// ReplicaOptions configures a Replica.
type ReplicaOptions struct {
	Incarnation usher.Incarnation
	// SilenceTimeout is the time without a message after which an entry counts as silent
	// and this companion stores its copies.
	SilenceTimeout time.Duration
	// MaxCopyBytes bounds the memory for copies, in bytes.
	MaxCopyBytes int64
}

// Replica holds copies of entries' decisions in a companion, and stores those of
// entries that fell silent.
type Replica struct {
	options ReplicaOptions
	store   usher.Store
	log     zerolog.Logger
	memory  memoryLimit
	chain   *chainWriter
	bytes   atomic.Int64
	metrics replicaMetrics

	mu      sync.Mutex
	entries map[string]*entryCopies
	// rotation is the index in prefixes of the entry that otherHeads visited last.
	rotation int
	// prefixes are the keys of entries in a stable order, for rotation.
	prefixes []string
}

// entryCopies holds the copies of one entry: decisions by the suffix of their
// request ID, and sealed batches by key. head is the newest batch that the entry
// has stored.
type entryCopies struct {
	lastHeard time.Time
	head      wire.RecordHead
	copies    map[string]*heldCopy
	sealed    map[usher.ObjectKey][]byte
}

// heldCopy is the copy of one decision.
type heldCopy struct {
	decision  usher.Decision
	heldSince time.Time
	bytes     int64
}

// replicaMetrics are the counters of a Replica, named as they are published.
type replicaMetrics struct {
	copiesHeld, copiesReleased, copiesTakenOver, batchesTakenOver, copiesRefused func(int64)
}

var _ usher.RecordReplica = (*Replica)(nil)

// NewReplica returns a replica without copies. The caller must call Run.
func NewReplica(options ReplicaOptions, store usher.Store, log zerolog.Logger) *Replica {
	group := telemetry.NewMetrics("keeper")
	return &Replica{
		options: options, store: store, log: log,
		memory: memoryLimit{bytes: options.MaxCopyBytes},
		chain:  newChainWriter(store, string(options.Incarnation), RoleCompanion),
		metrics: replicaMetrics{
			copiesHeld: group.Counter("copiesHeld").Add, copiesReleased: group.Counter("copiesReleased").Add,
			copiesTakenOver: group.Counter("copiesTakenOver").Add, batchesTakenOver: group.Counter("batchesTakenOver").Add,
			copiesRefused: group.Counter("copiesRefused").Add,
		},
		entries: make(map[string]*entryCopies),
	}
}

// used returns the memory of the copies and of the batches made from them, in
// bytes.
func (r *Replica) used() int64 { return r.bytes.Load() + r.chain.bytes.Load() }

// CheckCapacity implements usher.RecordReplica.
func (r *Replica) CheckCapacity(rank usher.Rank) error { return r.memory.check(rank, r.used()) }

// Hold implements usher.RecordReplica.
func (r *Replica) Hold(decision usher.Decision) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hold(decision)
}

// hold keeps a copy of the decision and reports whether there was room for it. The
// caller must hold r.mu.
func (r *Replica) hold(decision usher.Decision) bool {
	if r.used() >= r.options.MaxCopyBytes {
		r.metrics.copiesRefused(1)
		return false
	}
	prefix, suffix := SplitID(decision.ID)
	entry := r.entryCopiesFor(prefix)
	held := &heldCopy{decision: decision, heldSince: time.Now(), bytes: copySize(&decision)}
	if existing, ok := entry.copies[suffix]; ok {
		if Supersedes(&existing.decision, &decision) {
			return true
		}
		r.bytes.Add(-existing.bytes)
	}
	entry.copies[suffix] = held
	r.bytes.Add(held.bytes)
	r.metrics.copiesHeld(1)
	return true
}

// Supersedes reports whether a replaces b, a decision on the same request. A
// decision in the entry's view, which is what the caller was told, replaces one in
// a companion's view. Of two decisions in the same view, the later attempt replaces
// the earlier one.
func Supersedes(a, b *usher.Decision) bool {
	if a.View != b.View {
		return a.View == usher.ViewEntry
	}
	return a.Attempts > b.Attempts
}

// Holds implements usher.RecordReplica.
func (r *Replica) Holds(id usher.RequestID) bool {
	prefix, suffix := SplitID(id)
	r.mu.Lock()
	defer r.mu.Unlock()
	entry, ok := r.entries[prefix]
	return ok && entry.copies[suffix] != nil
}

// entryCopiesFor returns the copies of the entry with the prefix and creates them
// if there are none. The caller must hold r.mu.
func (r *Replica) entryCopiesFor(prefix string) *entryCopies {
	entry, ok := r.entries[prefix]
	if !ok {
		entry = &entryCopies{lastHeard: time.Now(), copies: make(map[string]*heldCopy), sealed: make(map[usher.ObjectKey][]byte)}
		r.entries[prefix] = entry
		r.prefixes = append(r.prefixes, prefix)
	}
	return entry
}

func copySize(decision *usher.Decision) int64 {
	return int64(copyOverheadBytes + len(decision.ID) + len(decision.Key) + len(decision.RequestSHA256) + len(decision.AnswerSHA256) +
		len(decision.TokenName))
}

// ReplicaRPC is the net/rpc receiver through which entries reach a Replica.
type ReplicaRPC struct{ replica *Replica }

// NewReplicaRPC returns the net/rpc receiver of a replica.
func NewReplicaRPC(replica *Replica) *ReplicaRPC { return &ReplicaRPC{replica: replica} }

// Exchange takes an entry's copies and releases.
func (r *ReplicaRPC) Exchange(args *wire.RecordArgs, reply *wire.RecordReply) error {
	*reply = r.replica.exchange(args)
	return nil
}

func (r *Replica) exchange(args *wire.RecordArgs) wire.RecordReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry := r.entryCopiesFor(args.Prefix)
	entry.lastHeard = time.Now()
	if args.Head.Digest != "" {
		entry.head = args.Head
	}
	for _, suffix := range args.Released {
		r.release(entry, suffix)
	}
	for _, key := range args.ReleasedBatches {
		r.bytes.Add(-int64(len(entry.sealed[key])))
		delete(entry.sealed, key)
	}
	held := true
	for _, decision := range args.Hold {
		held = r.hold(decision) && held
	}
	for _, batch := range args.Sealed {
		held = r.holdSealed(entry, batch) && held
	}
	reply := wire.RecordReply{Held: held, Writers: len(r.entries), Seen: r.otherHeads(args.Prefix)}
	reply.Incarnation = r.options.Incarnation
	return reply
}

// holdSealed keeps a copy of a sealed batch and reports whether there was room for
// it. The caller must hold r.mu.
func (r *Replica) holdSealed(entry *entryCopies, batch wire.SealedBatch) bool {
	if _, ok := entry.sealed[batch.Key]; ok {
		return true
	}
	if r.used() >= r.options.MaxCopyBytes {
		r.metrics.copiesRefused(1)
		return false
	}
	entry.sealed[batch.Key] = batch.Value
	r.bytes.Add(int64(len(batch.Value)))
	return true
}

// release drops the copy of a decision. The caller must hold r.mu.
func (r *Replica) release(entry *entryCopies, suffix string) {
	if held, ok := entry.copies[suffix]; ok {
		r.bytes.Add(-held.bytes)
		r.metrics.copiesReleased(1)
		delete(entry.copies, suffix)
	}
}

// otherHeads returns the newest stored batches of up to maxReplyHeads entries other
// than the one with the prefix exclude. Each call begins after the entries that the
// previous call visited. The caller must hold r.mu.
func (r *Replica) otherHeads(exclude string) []wire.RecordHead {
	var heads []wire.RecordHead
	for range min(len(r.prefixes), maxReplyHeads+1) {
		r.rotation = (r.rotation + 1) % len(r.prefixes)
		prefix := r.prefixes[r.rotation]
		if head := r.entries[prefix].head; prefix != exclude && head.Digest != "" && len(heads) < maxReplyHeads {
			heads = append(heads, head)
		}
	}
	return heads
}

// State returns the replica's section of the process's diagnostic dump.
func (r *Replica) State() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	copies, sealed := 0, 0
	for _, entry := range r.entries {
		copies += len(entry.copies)
		sealed += len(entry.sealed)
	}
	return map[string]any{
		"entries": len(r.entries), "copies": copies, "sealedBatches": sealed,
		"bytes": r.used(), "limit": r.options.MaxCopyBytes, "unstoredBatches": len(r.chain.unstoredBatches()), "rewritten": r.chain.rewritten.Load(),
	}
}

// Run stores the copies of silent entries until ctx is done.
func (r *Replica) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		timer := time.NewTimer(jitter(r.options.SilenceTimeout / 2))
		select {
		case <-timer.C:
		case <-r.store.Restored():
			pause.For(ctx, jitter(rewriteJitter))
		case <-ctx.Done():
		}
		timer.Stop()
		r.takeOver(ctx, false)
	}
	return nil
}
