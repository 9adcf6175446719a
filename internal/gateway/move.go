package gateway

import (
	"context"
	"sync"
	"time"

	"filbertusher/internal/dispatch"
)

const (
	// patienceFactor is how many times its target the beginning of an answer may
	// take before a request that may repeat looks for another endpoint.
	patienceFactor = 2.5
	// leastPatience is the shortest such time.
	leastPatience = 250 * time.Millisecond
	// stallFactor is how many times the longest pause on time a stream may stand
	// still before it does so, and leastStall the shortest such time.
	stallFactor = 3
	leastStall  = 800 * time.Millisecond
	// lookAgain is the pause between two looks.
	lookAgain = 300 * time.Millisecond
)

// MovedError is the cause of an attempt's end that was given up for a place at
// another endpoint.
type MovedError struct{}

// Error implements error.
func (*MovedError) Error() string { return "given up for a place at another endpoint" }

// mover watches one attempt of a request that may go on elsewhere. An endpoint
// that is silent for too long is given up, but only for a place that is free:
// silence alone is no reason to end an answer that may still come.
type mover struct {
	job    *job
	ask    *dispatch.Ask
	cancel context.CancelCauseFunc

	mu    sync.Mutex
	timer *time.Timer
	// last is when the endpoint last sent something.
	last    time.Time
	heard   bool
	stopped bool
	next    *dispatch.Grant
}

// watch begins to watch an attempt. ask is what another place is looked for
// with; without it nothing is watched.
func (j *job) watch(ask *dispatch.Ask, cancel context.CancelCauseFunc) *mover {
	m := &mover{job: j, ask: ask, cancel: cancel, last: time.Now()}
	if ask != nil {
		m.timer = time.AfterFunc(m.patience(), m.look)
	}
	return m
}

// patience returns how long the endpoint may be silent now.
func (m *mover) patience() time.Duration {
	route := m.job.route
	if m.heard {
		return max(leastStall, stallFactor*route.GapTarget)
	}
	return max(leastPatience, time.Duration(float64(route.Target)*patienceFactor))
}

// progress notes that the endpoint has sent something.
func (m *mover) progress() {
	if m.ask == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.last, m.heard = time.Now(), true
}

// look gives the attempt up if the endpoint was silent for too long and there
// is a free place elsewhere.
func (m *mover) look() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return
	}
	if left := m.patience() - time.Since(m.last); left > 0 {
		m.timer.Reset(left)
		return
	}
	g := m.job.gateway
	if g.Budget.Left(m.job.service) >= 1 && g.fresh() {
		m.next = g.Scheduler.Try(m.ask)
	}
	if m.next == nil || !g.Budget.Spend(m.job.service) {
		if m.next != nil {
			m.next.End(dispatch.Cancelled)
			m.next = nil
		}
		m.timer.Reset(lookAgain)
		return
	}
	m.stopped = true
	g.metrics.moved.Add(1)
	m.cancel(&MovedError{})
}

// stop ends the watch and returns the place that the request goes on at, or nil.
func (m *mover) stop() *dispatch.Grant {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	if m.timer != nil {
		m.timer.Stop()
	}
	next := m.next
	m.next = nil
	return next
}
