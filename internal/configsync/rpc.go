package configsync

import (
	"encoding/json"
	"sync"
	"time"

	"filbertusher/internal/config"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

// PeerService implements the remote methods that peers call under the service name
// "Peer".
type PeerService struct{ syncer *Syncer }

// NewPeerService returns the remote methods of a process.
func NewPeerService(syncer *Syncer) *PeerService { return &PeerService{syncer: syncer} }

// maxPollWait is the longest time that a poll is held open.
const maxPollWait = 30 * time.Second

// Snapshot waits for a version newer than the caller's and returns what has
// changed since.
func (p *PeerService) Snapshot(args *wire.SnapshotArgs, reply *wire.SnapshotReply) error {
	s := p.syncer
	s.holder.ReportPeerVersion(args.Peer, args.ConfigVersion)
	current := s.awaitNewer(args.ConfigVersion, min(args.Wait, maxPollWait))
	reply.ConfigVersion = current.Version
	if args.Probe || current.Version <= args.ConfigVersion {
		return nil
	}
	keys, known := s.changeLog.since(args.ConfigVersion, config.ChangeID(args.Change), current.Head.Lineage)
	if known {
		s.metrics.changesSent(1)
		reply.Objects, reply.Deleted = lookupObjects(current, keys)
	} else {
		reply.Full = true
		current = s.pinned.forPeer(current, args.ConfigVersion)
	}
	head, err := json.Marshal(current.Head)
	reply.Head = head
	return err
}

// lookupObjects returns the current objects with the given keys, and the keys
// that no longer exist.
func lookupObjects(snapshot *config.Snapshot, keys []usher.ObjectKey) (objects []usher.Object, deleted []usher.ObjectKey) {
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
func (p *PeerService) Page(args *wire.PageArgs, reply *wire.PageReply) error {
	s := p.syncer
	s.pageSlots <- struct{}{}
	defer func() { <-s.pageSlots }()
	s.metrics.pagesSent(1)
	s.memory.largeOperations.Add(1)
	current := s.pinned.atVersion(args.Version, s.holder.Current())
	reply.ConfigVersion = current.Version
	reply.Objects = current.PageObjects(args.Page)
	return nil
}

// awaitNewer waits for a version above known, and returns the current snapshot.
func (s *Syncer) awaitNewer(known usher.Version, wait time.Duration) *config.Snapshot {
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

// pinnedSnapshot keeps one snapshot available while peers fetch it by page,
// because pages of different versions do not form a consistent snapshot. During
// a burst of changes peers fetch the pinned version first, and then the changes
// since.
type pinnedSnapshot struct {
	mu       sync.Mutex
	snapshot *config.Snapshot
	since    time.Time
}

// pinDuration is how long the same snapshot is handed to peers that start to
// fetch pages.
const pinDuration = 5 * time.Second

// forPeer returns the snapshot that a peer at version known should fetch. It
// pins current if the pinned snapshot has expired or is no newer than known.
func (p *pinnedSnapshot) forPeer(current *config.Snapshot, known usher.Version) *config.Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.snapshot == nil || time.Since(p.since) > pinDuration || p.snapshot.Version <= known {
		p.snapshot, p.since = current, time.Now()
	}
	return p.snapshot
}

// atVersion returns the pinned snapshot if it has the version, or else current.
func (p *pinnedSnapshot) atVersion(version usher.Version, current *config.Snapshot) *config.Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.snapshot != nil && p.snapshot.Version == version {
		return p.snapshot
	}
	return current
}
