package config

import (
	"sync"
	"sync/atomic"
	"time"

	"filbertusher/pkg/usher"
)

const (
	// partRetryDelay is the delay before a failed write of a part or of an archived head
	// is retried.
	partRetryDelay = 200 * time.Millisecond
)

// Holder holds the newest snapshot known to the process. A read costs one
// atomic load. The version only increases: an older snapshot is rejected
// whatever its source.
type Holder struct {
	current atomic.Pointer[Snapshot]

	mu           sync.Mutex
	changed      chan struct{}
	peerVersions chan PeerVersion
	// selectEndpoints selects the endpoints that the process may use.
	selectEndpoints func(*Snapshot) map[usher.ServiceName][]*usher.Endpoint
}

// PeerVersion reports that a peer has a newer version.
type PeerVersion struct {
	// Peer is the address of the peer's RPC listener.
	Peer    string
	Version usher.Version
}

// Diverged reports whether neither of two different heads descends from the
// other. A head without an ID, that of the empty snapshot, diverges from none.
func Diverged(a, b *Head) bool {
	if a.ID == "" || b.ID == "" || a.ID == b.ID {
		return false
	}
	return !a.descendsFrom(b) && !b.descendsFrom(a)
}

// NewHolder returns a holder that contains the empty snapshot.
func NewHolder() *Holder {
	h := &Holder{changed: make(chan struct{}), peerVersions: make(chan PeerVersion, 1)}
	h.current.Store(Empty())
	return h
}

// Current returns the newest snapshot.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// AllowsPreemption reports whether the active preset allows preemption.
func (h *Holder) AllowsPreemption() bool {
	preset := h.Current().ActivePreset
	return preset != nil && preset.Preemption
}

// FairShareWeight returns the weight of a workspace relative to other workspaces in the
// same tier.
func (h *Holder) FairShareWeight(name usher.WorkspaceName) int {
	if workspace, ok := h.Current().Workspaces[name]; ok {
		return max(1, workspace.FairShareWeight)
	}
	return 1
}

// Changed returns a channel that is closed when the current snapshot is
// replaced.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// SetEndpointSelector sets the function that selects the endpoints that the process may use.
// It must be called before the first snapshot is accepted.
func (h *Holder) SetEndpointSelector(selectEndpoints func(*Snapshot) map[usher.ServiceName][]*usher.Endpoint) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.selectEndpoints = selectEndpoints
}

// ReportPeerVersion records the version reported in a message from a peer. It costs one
// comparison if the version is not newer.
func (h *Holder) ReportPeerVersion(peer string, version usher.Version) {
	if version <= h.current.Load().Version || peer == "" {
		return
	}
	select {
	case h.peerVersions <- PeerVersion{Peer: peer, Version: version}:
	default:
	}
}

// PeerVersions returns the channel of newer versions recorded by ReportPeerVersion. It buffers one;
// further ones are dropped while it is full.
func (h *Holder) PeerVersions() <-chan PeerVersion { return h.peerVersions }

// Offer replaces the current snapshot if the given one is newer, and reports
// whether it did. It also rejects a newer snapshot that does not descend from
// the current one, because that would revert an accepted change. Such snapshots
// exist only after the store has lost history; a process that watches the store
// merges them.
func (h *Holder) Offer(snapshot *Snapshot) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	current := h.current.Load()
	if snapshot.Version <= current.Version || Diverged(&current.Head, &snapshot.Head) {
		return false
	}
	if h.selectEndpoints != nil {
		selected := *snapshot
		selected.SelectedByService = h.selectEndpoints(snapshot)
		snapshot = &selected
	}
	h.current.Store(snapshot)
	close(h.changed)
	h.changed = make(chan struct{})
	return true
}
