package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"filbertusher/internal/boottime"
	"filbertusher/pkg/usher"
)

// Holder holds the configuration that is in force in this process. The version
// in force never decreases, whatever the store or the peers deliver. newestAt is when the
// version in force was last known to be the newest.
type Holder struct {
	index    atomic.Pointer[Index]
	newestAt boottime.Latest

	mu       sync.Mutex
	onChange func(from, to usher.Version, source string)
}

// NewHolder returns a holder without a configuration. onChange is called each
// time another version comes into force.
func NewHolder(onChange func(from, to usher.Version, source string)) *Holder {
	return &Holder{onChange: onChange}
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

// Adopt brings a version into force if it is newer than the one in force, and
// reports whether it did. source says where the version came from: the store, or the
// name of another instance.
func (h *Holder) Adopt(table *usher.RouteTable, source string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	from := h.Version()
	if table == nil || (table.Version <= from && h.index.Load() != nil) {
		return false
	}
	// newestAt stays valid: this version follows the one that was the newest at that
	// time, so no version above this one had been accepted by then either.
	h.index.Store(New(table))
	if h.onChange != nil {
		h.onChange(from, table.Version, source)
	}
	return true
}

// ConfirmNewest records that the version was the newest one at the given time or
// later, so that no version above the one in force had been accepted by that time. It
// has no effect if another version is in force: a newer one shows that this process is
// behind, and an older one that the store or a peer is.
func (h *Holder) ConfirmNewest(version usher.Version, at boottime.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.index.Load() != nil && version == h.Version() {
		h.newestAt.Record(at)
	}
}

// Age returns the time since the version in force was last known to be the
// newest, which other packages and the log call the age of the proof. It includes time during which the machine was suspended.
func (h *Holder) Age() time.Duration { return h.newestAt.Age() }
