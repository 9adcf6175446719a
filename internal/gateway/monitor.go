package gateway

import (
	"context"
	"sync"
	"time"

	"filbertusher/internal/dispatch"
	"filbertusher/internal/routing"
	"filbertusher/pkg/usher"
)

const (
	// patienceFactor is how many times its target the beginning of an answer may
	// take before a request that may repeat looks for another endpoint.
	patienceFactor = 2.5
	// leastPatience is the shortest such time.
	leastPatience = 250 * time.Millisecond
	// stallFactor is how many times the longest pause on time a stream may stand
	// still before its endpoint is asked whether it is there, and leastStall the
	// shortest such time.
	stallFactor = 3
	leastStall  = 800 * time.Millisecond
	// longStall is how long it may stand still at an endpoint that is there. Its
	// caller leaves about then, so little is lost by a move that fails.
	longStall = 2 * time.Second
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
	at     *usher.Registration
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
func (j *job) watch(at *usher.Registration, ask *dispatch.Ask, cancel context.CancelCauseFunc) *mover {
	m := &mover{job: j, at: at, ask: ask, cancel: cancel, last: time.Now()}
	if ask != nil {
		// The timer may fire before it is assigned, when the process stands still
		// in between.
		m.mu.Lock()
		defer m.mu.Unlock()
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

// permitted says whether the configuration in force would still let the request
// be sent where it is. A stream whose credential was taken away since runs to its
// end where it began; to move it would be to cut it.
func (j *job) permitted() bool {
	index := j.gateway.Routes.Index()
	route := index.Route(j.request.Host, j.request.URL.EscapedPath())
	if route == nil || !routing.Sends(route, j.service) {
		return false
	}
	if !index.Table.NeedsCredential || route.Public {
		return true
	}
	return j.gateway.fresh() && index.Workspace(j.head.Credential) != nil
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

// stalled says whether a stream that has begun stands still.
func (m *mover) stalled() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.stopped && m.heard && time.Since(m.last) >= m.patience()
}

// look gives the attempt up if the endpoint was silent for too long and there
// is a free place elsewhere.
func (m *mover) look() {
	dead := m.stalled() && !m.job.gateway.Pool.Alive(m.at)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return
	}
	silent := time.Since(m.last)
	if left := m.patience() - silent; left > 0 {
		m.timer.Reset(left)
		return
	}
	if m.heard && !dead && silent < longStall {
		m.timer.Reset(lookAgain)
		return
	}
	g := m.job.gateway
	if g.Budget.Left(m.job.service) >= 1 && m.job.permitted() {
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
