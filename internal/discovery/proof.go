package discovery

import (
	"sync"
	"time"

	"filbertusher/internal/boottime"
	"filbertusher/pkg/usher"
)

// firstProofTimeout bounds a read that renews a proof. The bound doubles with each failure, up to
// callTimeout, for a store that is slow. A read that is lost must leave time for another one
// before the proof is too old.
const firstProofTimeout = 500 * time.Millisecond

// proofTimeout returns how long the next read that renews a proof may take.
func (b *backoff) proofTimeout() time.Duration {
	return min(callTimeout, firstProofTimeout<<min(b.failures, 2))
}

// proofGuard decides which reads of the store prove that nothing newer was accepted, such
// as another configuration. After the store went back to an earlier state, something newer
// may have been accepted, lost and not written again yet.
type proofGuard struct {
	// rewriteGrace is how long it takes until what the store lost is written again.
	rewriteGrace time.Duration

	mu      sync.Mutex
	era     usher.StoreEra
	settled boottime.Time
}

// isProof reports whether a read that was started at the given time, and that returned
// read in an era of the store, proves that read is the newest version. inForce is the
// version in force, or nil.
func (g *proofGuard) isProof(read, inForce *usher.RouteTable, era usher.StoreEra, started boottime.Time) bool {
	return g.isSettled(era, started) || wasRewritten(read, inForce)
}

// isSettled reports whether a read that was started at the given time, in an era of the
// store, has all that was written before. Each read has to be passed to it, because the
// first one of an era tells when the store went back.
func (g *proofGuard) isSettled(era usher.StoreEra, started boottime.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if era > g.era {
		if g.era > 0 {
			g.settled = started.Add(g.rewriteGrace)
		}
		g.era = era
	}
	return started >= g.settled
}

// wasRewritten reports whether the version in force was written once more in a later
// era than the one in which it was read first. Its writer knows what it wrote last.
func wasRewritten(read, inForce *usher.RouteTable) bool {
	return inForce != nil && read.Version == inForce.Version &&
		read.Written.Era() > inForce.Written.Era() && read.Written.Revision() != inForce.Written.Revision()
}

// untilSettled returns how long reads prove nothing from now on, or 0.
func (g *proofGuard) untilSettled(now boottime.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(0, g.settled.Sub(now))
}
