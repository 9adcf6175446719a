package config

import (
	"sync"
	"sync/atomic"
	"time"

	"filbertusher/pkg/usher"
)

const (
	// retryDelay is the pause after a failed write of a part.
	retryDelay = 200 * time.Millisecond
)

// Holder keeps the newest snapshot that the process has seen. Reading it costs
// one atomic load. Versions only go up: an older snapshot is never taken in,
// whoever offers it.
type Holder struct {
	current atomic.Pointer[Snapshot]

	mu      sync.Mutex
	changed chan struct{}
	heard   chan PeerVersion
	// choose picks the endpoints that the process works with.
	choose func(*Snapshot) map[usher.ServiceName][]*usher.Endpoint
}

// PeerVersion is the news that a peer holds a newer version.
type PeerVersion struct {
	// Peer is the address of its peer listener.
	Peer    string
	Version usher.Version
}

// Diverged says whether the newer of two heads was not built on the older one.
func Diverged(a, b *Head) bool {
	if a.ID == "" || b.ID == "" || a.ID == b.ID {
		return false
	}
	return !a.builtOn(b) && !b.builtOn(a)
}

// NewHolder returns a holder of the empty snapshot.
func NewHolder() *Holder {
	h := &Holder{changed: make(chan struct{}), heard: make(chan PeerVersion, 1)}
	h.current.Store(Empty())
	return h
}

// Current returns the newest snapshot.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// Preempts says whether the preset in force allows preemption.
func (h *Holder) Preempts() bool {
	preset := h.Current().InForce
	return preset != nil && preset.Preemption
}

// ShareOf returns the weight of a workspace against others inside a tier.
func (h *Holder) ShareOf(name usher.WorkspaceName) int {
	if workspace, ok := h.Current().Workspaces[name]; ok {
		return max(1, workspace.Share)
	}
	return 1
}

// Changed returns a channel that is closed when the next snapshot is taken in.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Choose sets how the process picks the endpoints that it works with. It has to
// be called before the first snapshot is taken in.
func (h *Holder) Choose(choose func(*Snapshot) map[usher.ServiceName][]*usher.Endpoint) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.choose = choose
}

// Hear takes note of the version that a message of a peer carried. It costs
// one comparison when the version is not newer.
func (h *Holder) Hear(peer string, version usher.Version) {
	if version <= h.current.Load().Version || peer == "" {
		return
	}
	select {
	case h.heard <- PeerVersion{Peer: peer, Version: version}:
	default:
	}
}

// Heard delivers what Hear took note of.
func (h *Holder) Heard() <-chan PeerVersion { return h.heard }

// Offer takes a snapshot in if it is newer and says whether it did. A newer
// one that was not built on the current one is refused as well: taking it in
// would revert an accepted change. Such a snapshot exists only after the store
// has lost history, and is merged by a process that watches the store.
func (h *Holder) Offer(snapshot *Snapshot) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	current := h.current.Load()
	if snapshot.Version <= current.Version || Diverged(&current.Head, &snapshot.Head) {
		return false
	}
	if h.choose != nil {
		chosen := *snapshot
		chosen.Near = h.choose(snapshot)
		snapshot = &chosen
	}
	h.current.Store(snapshot)
	close(h.changed)
	h.changed = make(chan struct{})
	return true
}
