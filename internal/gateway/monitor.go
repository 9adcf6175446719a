package gateway

import (
	"context"
	"sync"
	"time"

	"filbertusher/internal/blame"
	"filbertusher/internal/dispatch"
	"filbertusher/internal/routing"
	"filbertusher/pkg/usher"
)

const (
	// responseLimitFactor times the route's target is how long an idempotent request
	// waits for its response, or for the first event of a stream, before another
	// endpoint is sought.
	responseLimitFactor = 2.5
	// minResponseLimit is the lower bound of that time.
	minResponseLimit = 250 * time.Millisecond
	// stallLimitFactor times the route's gap target is how long a stream may pause
	// before its endpoint is probed; minStallLimit is the lower bound.
	stallLimitFactor = 3
	minStallLimit    = 800 * time.Millisecond
	// maxStall is how long a stream may pause at a reachable endpoint. Callers
	// disconnect at about that time, so a failed move costs little.
	maxStall = 2 * time.Second
	// recheckInterval is the delay between checks once the limit has passed.
	recheckInterval = 300 * time.Millisecond
)

// MovedError is the cancellation cause of an attempt that was abandoned because
// another endpoint was granted.
type MovedError struct{}

// Error implements error.
func (*MovedError) Error() string { return "given up for a place at another endpoint" }

// attemptMonitor watches one attempt of a request that may continue at another
// endpoint. If the endpoint sends nothing for too long, the attempt is canceled, but
// only once another endpoint has a free slot: the response may still arrive, so
// silence alone does not end the attempt.
type attemptMonitor struct {
	handler  *requestHandler
	fallback *dispatch.Request
	endpoint *usher.Registration
	cancel   context.CancelCauseFunc

	mu    sync.Mutex
	timer *time.Timer
	// lastReceived is when the last event arrived or, before that, when the attempt
	// began. delivering is set while that event is written to the caller: a caller
	// that reads slowly does not make its endpoint silent. responding is set by the
	// first event of a stream. nextGrant is the grant for the endpoint to which the
	// request moves.
	lastReceived time.Time
	delivering   bool
	responding   bool
	stopped      bool
	nextGrant    *dispatch.Grant
}

// monitorAttempt starts monitoring an attempt. fallback is the request with which
// another endpoint is sought; if it is nil, nothing is monitored.
func (h *requestHandler) monitorAttempt(endpoint *usher.Registration, fallback *dispatch.Request, cancel context.CancelCauseFunc) *attemptMonitor {
	m := &attemptMonitor{handler: h, endpoint: endpoint, fallback: fallback, cancel: cancel, lastReceived: time.Now()}
	if fallback != nil {
		// The lock keeps check from running before m.timer is assigned: if this
		// goroutine is descheduled, the timer may fire first.
		m.mu.Lock()
		defer m.mu.Unlock()
		m.timer = time.AfterFunc(m.silenceLimit(), m.check)
	}
	return m
}

// silenceLimit returns how long the endpoint may currently send nothing.
func (m *attemptMonitor) silenceLimit() time.Duration {
	route := m.handler.route
	if m.responding {
		return max(minStallLimit, stallLimitFactor*route.GapTarget)
	}
	return max(minResponseLimit, time.Duration(float64(route.Target)*responseLimitFactor))
}

// stillPermitted reports whether the current configuration would still accept the
// request for the same service. A stream whose credential was revoked after it
// began may finish at its endpoint; moving it would cut it.
func (h *requestHandler) stillPermitted() bool {
	if h.gateway.Blame.Check(h.traits) != blame.Allowed {
		return false
	}
	index := h.gateway.Routes.Index()
	route := index.Route(h.request.Host, h.request.URL.EscapedPath())
	if route == nil || !routing.RoutesTo(route, h.service) {
		return false
	}
	if !index.Table.NeedsCredential || route.Public {
		return true
	}
	return h.gateway.hasFreshConfig() && index.Workspace(h.headers.Credential) != nil
}

// beginDelivery records that the endpoint has sent an event, which is now written to
// the caller.
func (m *attemptMonitor) beginDelivery() {
	if m.fallback == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.delivering, m.responding = true, true
}

// endDelivery records that the event was written and the next one is awaited.
func (m *attemptMonitor) endDelivery() {
	if m.fallback == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastReceived, m.delivering = time.Now(), false
}

// silence returns how long the endpoint has been sending nothing. The caller must hold
// m.mu.
func (m *attemptMonitor) silence() time.Duration {
	if m.delivering {
		return 0
	}
	return time.Since(m.lastReceived)
}

// stalled reports whether a stream that has begun exceeded its silence limit.
func (m *attemptMonitor) stalled() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.stopped && m.responding && m.silence() >= m.silenceLimit()
}

// check cancels the attempt if the endpoint has sent nothing for too long, another
// endpoint has a free slot, and the retry budget allows the move. Otherwise it
// schedules the next check.
func (m *attemptMonitor) check() {
	unreachable := m.stalled() && !m.handler.gateway.Pool.Reachable(m.endpoint)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return
	}
	silence := m.silence()
	if remaining := m.silenceLimit() - silence; remaining > 0 {
		m.timer.Reset(remaining)
		return
	}
	if m.responding && !unreachable && silence < maxStall {
		m.timer.Reset(recheckInterval)
		return
	}
	g := m.handler.gateway
	if g.Budget.Balance(m.handler.service) >= 1 && m.handler.stillPermitted() {
		if m.responding {
			m.fallback.Software = &m.endpoint.Software
		}
		m.nextGrant = g.Scheduler.TryAdmit(m.fallback)
	}
	if m.nextGrant == nil || !g.Budget.TrySpend(m.handler.service) {
		if m.nextGrant != nil {
			m.nextGrant.End(dispatch.Cancelled)
			m.nextGrant = nil
		}
		m.timer.Reset(recheckInterval)
		return
	}
	m.stopped = true
	g.metrics.moved.Add(1)
	m.cancel(&MovedError{})
}

// stop ends monitoring. It returns the grant for the endpoint to which the request
// moves, or nil.
func (m *attemptMonitor) stop() *dispatch.Grant {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	if m.timer != nil {
		m.timer.Stop()
	}
	nextGrant := m.nextGrant
	m.nextGrant = nil
	return nextGrant
}

// discard ends monitoring and releases the grant for another endpoint, unless stop has
// returned it.
func (m *attemptMonitor) discard() {
	if grant := m.stop(); grant != nil {
		grant.End(dispatch.Cancelled)
	}
}
