// Package suspect knows which requests were in an endpoint when it crashed. A
// request is known by a fingerprint, so that it is recognised when its caller
// sends it again, under another id and through whichever entry.
//
// A crash makes every request that ran in the endpoint a suspect. A suspect is
// tried alone: if it ends, it is cleared at once; if the endpoint crashes again,
// it was that request, and it is refused after a declared number of crashes:
//
//	request a, b, c run   endpoint crashes   a: 1  b: 1  c: 1
//	a is sent again       runs alone, ends   a cleared
//	b is sent again       alone, crashes     b: 2  refused from now on
//
// What one process knows travels on the messages that it sends anyway, so that
// it spreads while the store is down, and is written to the store, so that it
// outlives the processes. Both carry a generation that a clearance raises, and
// the higher pair of generation and crashes wins everywhere, in any order.
package suspect

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"filbertusher/pkg/usher"
)

// Fingerprint is what a request is recognised by: its workspace, service and
// content. An id or key would change when the caller sends it again.
type Fingerprint string

// fingerprintBytes is how much of the SHA-256 is kept.
const fingerprintBytes = 16

// Of returns the fingerprint of a request.
func Of(header *usher.RequestHeader) Fingerprint {
	hash := sha256.New()
	for _, part := range []string{string(header.Workspace), string(header.Service), string(header.Digest)} {
		hash.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	return Fingerprint(hex.EncodeToString(hash.Sum(nil)[:fingerprintBytes]))
}

// Suspect is what is known of one fingerprint. With 0 crashes it is cleared.
type Suspect struct {
	Fingerprint Fingerprint         `json:"fingerprint"`
	Generation  uint64              `json:"generation"`
	Crashes     int                 `json:"crashes"`
	Workspace   usher.WorkspaceName `json:"workspace"`
	Service     usher.ServiceName   `json:"service"`
	Seen        time.Time           `json:"seen"`
}

// newer says whether s has to replace known.
func (s *Suspect) newer(known *Suspect) bool {
	if s.Generation != known.Generation {
		return s.Generation > known.Generation
	}
	return s.Crashes > known.Crashes
}

const (
	// maxSuspects bounds what one process knows. Crashes are rare.
	maxSuspects = 1024
	// maxShared bounds what one message carries.
	maxShared = 32
	// remembered is how long a suspect that was not sent again is known.
	remembered = time.Hour
)

// Table is what one process knows of all suspects.
type Table struct {
	mu     sync.Mutex
	known  map[Fingerprint]Suspect
	shared atomic.Pointer[[]Suspect]
	// changed tells that there is something to write to the store.
	changed chan struct{}
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{known: make(map[Fingerprint]Suspect), changed: make(chan struct{}, 1)}
	t.shared.Store(&[]Suspect{})
	return t
}

// Crashes returns how often the request was in an endpoint that crashed. While
// there are no suspects it costs one atomic load.
func (t *Table) Crashes(fingerprint func() Fingerprint) int {
	if len(*t.shared.Load()) == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.known[fingerprint()].Crashes
}

// Shared returns what messages carry. It must not be changed.
func (t *Table) Shared() []Suspect { return *t.shared.Load() }

// Crashed notes that the request was in an endpoint that crashed and returns
// how often that was. The sender may have known of crashes that this process has
// not heard of yet; to count from its own would lose them, because the higher
// count wins.
func (t *Table) Crashed(header *usher.RequestHeader) int {
	return t.update(header, func(s *Suspect) { s.Crashes = max(s.Crashes, header.Crashes) + 1 })
}

// Cleared notes that the request ended while it ran alone.
func (t *Table) Cleared(header *usher.RequestHeader) {
	t.update(header, func(s *Suspect) {
		s.Generation++
		s.Crashes = 0
	})
}

func (t *Table) update(header *usher.RequestHeader, change func(*Suspect)) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	suspect := t.known[Of(header)]
	suspect.Fingerprint, suspect.Workspace, suspect.Service = Of(header), header.Workspace, header.Service
	suspect.Seen = time.Now()
	change(&suspect)
	t.keep(suspect)
	t.publish()
	return suspect.Crashes
}

// Learn takes in what another process or the store knows, and says whether
// anything was new.
func (t *Table) Learn(suspects []Suspect) bool {
	if len(suspects) == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	learned := false
	for _, suspect := range suspects {
		known, ok := t.known[suspect.Fingerprint]
		if time.Since(suspect.Seen) > remembered || ok && !suspect.newer(&known) {
			continue
		}
		t.keep(suspect)
		learned = true
	}
	if learned {
		t.publish()
	}
	return learned
}

// keep needs the lock. The suspect seen longest ago goes when there is no room.
func (t *Table) keep(suspect Suspect) {
	t.known[suspect.Fingerprint] = suspect
	if len(t.known) <= maxSuspects {
		return
	}
	oldest := suspect
	for _, other := range t.known {
		if other.Seen.Before(oldest.Seen) {
			oldest = other
		}
	}
	delete(t.known, oldest.Fingerprint)
}

// publish needs the lock. Messages carry the suspects that were seen last,
// cleared ones as well, until they are too old.
func (t *Table) publish() {
	shared := make([]Suspect, 0, min(len(t.known), maxShared))
	for fingerprint, suspect := range t.known {
		if time.Since(suspect.Seen) > remembered {
			delete(t.known, fingerprint)
			continue
		}
		shared = append(shared, suspect)
	}
	newestFirst(shared)
	shared = shared[:min(len(shared), maxShared)]
	t.shared.Store(&shared)
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// State is the table's part of the dump.
func (t *Table) State() any {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Suspect, 0, len(t.known))
	for _, suspect := range t.known {
		all = append(all, suspect)
	}
	newestFirst(all)
	return all
}
