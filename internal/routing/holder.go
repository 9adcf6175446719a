package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"filbertusher/internal/boottime"
	"filbertusher/pkg/usher"
)

// Holder holds the configuration in force in this process. Its version only
// grows, whatever the store or peers say.
type Holder struct {
	index  atomic.Pointer[Index]
	proven atomic.Int64

	mu      sync.Mutex
	changed func(from, to usher.Version, source string)
}

// NewHolder returns a holder without a configuration. changed is told each
// time another version comes into force.
func NewHolder(changed func(from, to usher.Version, source string)) *Holder {
	return &Holder{changed: changed}
}

// Index returns the configuration in force, or nil while there is none.
func (h *Holder) Index() *Index { return h.index.Load() }

// Version returns the version in force; 0 while there is none.
func (h *Holder) Version() usher.Version {
	if index := h.index.Load(); index != nil {
		return index.Table.Version
	}
	return 0
}

// Adopt takes in a version if it is newer than the one in force.
func (h *Holder) Adopt(table *usher.RouteTable, source string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	from := h.Version()
	if table == nil || (table.Version <= from && h.index.Load() != nil) {
		return false
	}
	// The proof stays: what was the newest then was followed by this version, so
	// no later one had been accepted at that moment either.
	h.index.Store(New(table))
	if h.changed != nil {
		h.changed(from, table.Version, source)
	}
	return true
}

// Prove notes that the version was the newest one at an instant or later. Then
// no version above the one in force had been accepted at that instant, unless
// this process is behind.
func (h *Holder) Prove(version usher.Version, at boottime.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.index.Load() == nil || version > h.Version() || int64(at) <= h.proven.Load() {
		return
	}
	h.proven.Store(int64(at))
}

// Age returns how long ago the version in force was known to be the newest,
// time of suspension included.
func (h *Holder) Age() time.Duration {
	at := h.proven.Load()
	if at == 0 {
		return unproven
	}
	return boottime.Since(boottime.Time(at))
}

// unproven is the age of a configuration without a proof.
const unproven = 24 * time.Hour
