package boottime

import (
	"sync/atomic"
	"time"
)

// NeverAge is the age of a Latest without a time.
const NeverAge = 24 * time.Hour

// Latest is the latest of the times that were recorded, such as those at which something was
// known to hold. Its zero value has none. It is safe for concurrent use.
type Latest struct{ at atomic.Int64 }

// Record records a time. It has no effect if a later one was recorded before.
func (l *Latest) Record(t Time) {
	for at := l.at.Load(); int64(t) > at; at = l.at.Load() {
		if l.at.CompareAndSwap(at, int64(t)) {
			return
		}
	}
}

// Age returns the time since the latest recorded time, or NeverAge if there is none. It
// includes time during which the machine was suspended.
func (l *Latest) Age() time.Duration {
	at := l.at.Load()
	if at == 0 {
		return NeverAge
	}
	return Since(Time(at))
}
