package suspect

import (
	"context"
	"sync"
)

// RunLock is a shared/exclusive lock for the requests of an endpoint: a suspect
// holds it exclusively and runs by itself, other requests share it. While a
// suspect waits, no other request gets the lock, because the suspect might wait
// forever otherwise.
type RunLock struct {
	mu               sync.Mutex
	holders          int
	exclusive        bool
	waitingExclusive int
	changed          chan struct{}
}

// NewRunLock returns a lock that nobody holds.
func NewRunLock() *RunLock { return &RunLock{changed: make(chan struct{})} }

// Acquire waits for the lock, exclusively or shared. It returns false if ctx ended
// first. If it returns true, the caller must call Release.
func (l *RunLock) Acquire(ctx context.Context, exclusive bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if exclusive {
		l.waitingExclusive++
		defer func() { l.waitingExclusive-- }()
	}
	for !l.available(exclusive) {
		changed := l.changed
		l.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		l.mu.Lock()
		if ctx.Err() != nil {
			// Other requests may have waited only because this suspect did.
			l.wakeWaiters()
			return false
		}
	}
	l.holders++
	l.exclusive = exclusive
	return true
}

func (l *RunLock) available(exclusive bool) bool {
	if exclusive {
		return l.holders == 0
	}
	return !l.exclusive && l.waitingExclusive == 0
}

// Release releases the lock.
func (l *RunLock) Release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holders--
	if l.holders == 0 {
		l.exclusive = false
	}
	l.wakeWaiters()
}

func (l *RunLock) wakeWaiters() {
	close(l.changed)
	l.changed = make(chan struct{})
}
