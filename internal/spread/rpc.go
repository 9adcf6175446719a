package spread

import (
	"encoding/json"
	"sync"
	"time"

	"filbertusher/internal/config"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

// RPC is the remote methods that peers call as "Peer".
type RPC struct{ spread *Spread }

// NewRPC returns the remote methods of a spread.
func NewRPC(spread *Spread) *RPC { return &RPC{spread: spread} }

// maxWait bounds how long a peer may wait for a change.
const maxWait = 30 * time.Second

// Snapshot tells a peer what has changed since its version.
func (r *RPC) Snapshot(args *wire.SnapshotArgs, reply *wire.SnapshotReply) error {
	s := r.spread
	s.holder.Hear(args.Peer, args.ConfigVersion)
	current := s.awaitNewer(args.ConfigVersion, min(args.Wait, maxWait))
	reply.ConfigVersion = current.Version
	if args.Probe || current.Version <= args.ConfigVersion {
		return nil
	}
	keys, known := s.changes.since(args.ConfigVersion, config.ChangeID(args.Change), current.Head.Lineage)
	if known {
		s.metrics.deltas(1)
		reply.Objects, reply.Deleted = collect(current, keys)
	} else {
		reply.Full = true
		current = s.pin.hold(current, args.ConfigVersion)
	}
	head, err := json.Marshal(current.Head)
	reply.Head = head
	return err
}

// collect returns the objects with the keys as the snapshot has them.
func collect(snapshot *config.Snapshot, keys []usher.ObjectKey) (objects []usher.Object, deleted []usher.ObjectKey) {
	for _, key := range keys {
		if object, ok := snapshot.Object(key); ok {
			objects = append(objects, object)
		} else {
			deleted = append(deleted, key)
		}
	}
	return objects, deleted
}

// Page returns the objects of one page.
func (r *RPC) Page(args *wire.PageArgs, reply *wire.PageReply) error {
	s := r.spread
	s.full <- struct{}{}
	defer func() { <-s.full }()
	s.metrics.pages(1)
	s.memory.worked.Add(1)
	current := s.pin.of(args.Version, s.holder.Current())
	reply.ConfigVersion = current.Version
	reply.Objects = current.PageObjects(args.Page)
	return nil
}

// awaitNewer waits for a version above known.
func (s *Spread) awaitNewer(known usher.Version, wait time.Duration) *config.Snapshot {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changed := s.holder.Changed()
		current := s.holder.Current()
		if current.Version > known {
			return current
		}
		select {
		case <-changed:
		case <-timer.C:
			return current
		}
	}
}

// pin keeps one snapshot for as long as peers fetch it by pages, because the
// pages of different versions don't add up. During a burst of changes peers
// fetch the pinned version first and then what has changed since.
type pin struct {
	mu       sync.Mutex
	snapshot *config.Snapshot
	since    time.Time
}

// pinTerm is how long a snapshot is given to peers that begin to fetch it.
const pinTerm = 5 * time.Second

// hold returns the snapshot to fetch by a peer that knows version known.
func (p *pin) hold(current *config.Snapshot, known usher.Version) *config.Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.snapshot == nil || time.Since(p.since) > pinTerm || p.snapshot.Version <= known {
		p.snapshot, p.since = current, time.Now()
	}
	return p.snapshot
}

// of returns the pinned snapshot if it has the version, and current otherwise.
func (p *pin) of(version usher.Version, current *config.Snapshot) *config.Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.snapshot != nil && p.snapshot.Version == version {
		return p.snapshot
	}
	return current
}
