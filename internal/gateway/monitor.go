package gateway

import (
	"context"
	"sync"
	"time"

	"filbertusher/internal/blame"
	"filbertusher/internal/dispatch"
	"filbertusher/internal/routing"
	"filbertusher/internal/upstream"
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
	// recheckInterval is the delay between checks once the limit has passed. It doubles
	// with each endpoint that does not accept the rest of a stream.
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
// silence alone does not end the attempt. A stream that has begun at an endpoint that
// is reachable may go on at any moment: its attempt is canceled only once another
// endpoint has accepted the rest.
type attemptMonitor struct {
	handler  *requestHandler
	relay    *streamRelay
	fallback *dispatch.Request
	endpoint *usher.Registration
	// requestCtx is the context of the request, and cancel cancels the attempt.
	requestCtx context.Context
	cancel     context.CancelCauseFunc

	mu    sync.Mutex
	timer *time.Timer
	// lastReceived is when the last event arrived or, before that, when the attempt
	// began. delivering is set while that event is written to the caller: a caller
	// that reads slowly does not make its endpoint silent. responding is set by the
	// first event of a stream, and lastEvent is the ID of the last one. next is where
	// the request moves.
	lastReceived time.Time
	lastEvent    string
	delivering   bool
	responding   bool
	stopped      bool
	next         *move
	// cancelOffer cancels the offer in progress, offerDone is closed when it ends, and
	// recheck is the delay before the next check. ranElsewhere is set while an endpoint that
	// does not get the stream may have run the request.
	cancelOffer  context.CancelCauseFunc
	offerDone    chan struct{}
	recheck      time.Duration
	ranElsewhere bool
	// race is set if the attempt may get a copy. awaited is set once the attempt has ended and
	// waits for its offer or its copy.
	race    *race
	awaited bool
}

// move is where a request moves during an attempt.
type move struct {
	grant *dispatch.Grant
	// charge is that of a move to a candidate.
	charge *charge
	// opened is set if the endpoint has accepted the request already.
	opened *openedResponse
}

// openedResponse is a response whose header was read by the monitor of the attempt before.
// cancel cancels ctx, under which the request was sent.
type openedResponse struct {
	response *upstream.Response
	sentAt   time.Time
	ctx      context.Context
	cancel   context.CancelCauseFunc
	// events is the reader of a stream whose first event was read, and buffered a whole
	// answer that is not a stream.
	events   *upstream.EventReader
	buffered *bufferedResponse
}

func (m *move) discard() {
	if m.opened != nil {
		m.opened.response.Close(false)
		m.opened.cancel(nil)
		if m.opened.buffered != nil {
			m.opened.buffered.body.Release()
		}
	} else {
		m.charge.takeBack()
	}
	m.grant.End(dispatch.Cancelled)
}

// monitorAttempt starts monitoring an attempt. fallback is the request with which
// another endpoint is sought; if it is nil, nothing is monitored.
func (h *requestHandler) monitorAttempt(requestCtx context.Context, endpoint *usher.Registration, fallback *dispatch.Request, relay *streamRelay, cancel context.CancelCauseFunc) *attemptMonitor {
	m := &attemptMonitor{
		handler: h, relay: relay, endpoint: endpoint, fallback: fallback, requestCtx: requestCtx, cancel: cancel,
		lastReceived: time.Now(), recheck: recheckInterval,
	}
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
	if m.responding {
		return max(minStallLimit, stallLimitFactor*m.handler.route.GapTarget)
	}
	return m.responseLimit()
}

// responseLimit returns how long an endpoint may take until it responds.
func (m *attemptMonitor) responseLimit() time.Duration {
	return max(minResponseLimit, time.Duration(float64(m.handler.route.Target)*responseLimitFactor))
}

// stillPermitted reports whether the current configuration would still accept the
// request for the same service. A stream whose credential was revoked after it
// began may finish at its endpoint; moving it would cut it.
func (h *requestHandler) stillPermitted() bool {
	if h.gateway.Blame.Look(h.traits) != blame.Allowed {
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
// the caller. It returns false if another endpoint has accepted the rest of the stream,
// which begins with that event.
func (m *attemptMonitor) beginDelivery() bool {
	if m.fallback == nil {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.next != nil && m.next.opened != nil {
		return false
	}
	if !m.responding {
		m.endRace()
	}
	m.delivering, m.responding = true, true
	return true
}

// endDelivery records that the event with this ID was written and the next one is awaited.
func (m *attemptMonitor) endDelivery(lastEvent string) {
	if m.fallback == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastReceived, m.lastEvent, m.delivering = time.Now(), lastEvent, false
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

// check moves the request if the endpoint has sent nothing for too long, another
// endpoint has a free slot, and the retry budget allows it. Otherwise it schedules the
// next check.
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
	if m.cancelOffer != nil || !m.responding && m.ranElsewhere && m.handler.attempts+1 >= m.handler.route.MaxAttempts {
		// A copy runs, or has used up the attempts.
		m.timer.Reset(recheckInterval)
		return
	}
	if m.responding && !unreachable && (silence < maxStall || m.ranElsewhere) {
		m.timer.Reset(recheckInterval)
		return
	}
	next := m.admitElsewhere()
	switch {
	case next == nil:
		m.timer.Reset(recheckInterval)
	case m.responding && !unreachable:
		ctx, cancel := context.WithCancelCause(m.requestCtx)
		m.cancelOffer, m.offerDone, m.ranElsewhere = cancel, make(chan struct{}), true
		go m.offer(ctx, cancel, next, m.lastEvent, m.lastReceived)
	default:
		m.moveTo(next)
	}
}

// admitElsewhere returns a place at another endpoint, or nil. The caller must hold m.mu.
func (m *attemptMonitor) admitElsewhere() *move {
	g := m.handler.gateway
	if g.Budget.Balance(m.handler.service) < 1 || !m.handler.stillPermitted() {
		return nil
	}
	if m.responding {
		m.fallback.Software = &m.endpoint.Software
	}
	next := m.tryElsewhere()
	if next != nil && !g.Budget.TrySpend(m.handler.service) {
		next.discard()
		return nil
	}
	return next
}

// tryElsewhere returns a place at another endpoint, which is a candidate if the request is
// bound to those. A request that has got nothing yet moves to a current endpoint.
func (m *attemptMonitor) tryElsewhere() *move {
	if m.handler.isBoundToCandidates(m.fallback) {
		return m.handler.tryCandidate(m.fallback)
	}
	grant := m.handler.gateway.Scheduler.TryAdmit(m.fallback)
	if grant == nil {
		return nil
	}
	return &move{grant: grant}
}

// moveTo cancels the attempt, so that the next one takes over. The caller must hold m.mu.
func (m *attemptMonitor) moveTo(next *move) {
	m.stopped, m.next = true, next
	m.handler.gateway.metrics.moved.Add(1)
	m.cancel(&MovedError{})
}

// offer sends the request for the rest of a stream to another endpoint, and moves the
// stream there if that accepts it before the stream goes on. lastEvent and since are what
// was received last and when.
func (m *attemptMonitor) offer(ctx context.Context, cancel context.CancelCauseFunc, next *move, lastEvent string, since time.Time) {
	defer close(m.offerDone)
	h, grant, sentAt := m.handler, next.grant, time.Now()
	timeout := time.AfterFunc(m.responseLimit(), func() { cancel(nil) })
	response, err := h.gateway.Pool.Send(ctx, &grant.Endpoint, h.upstreamRequest(grant, lastEvent))
	timeout.Stop()
	if err != nil {
		failed := h.handleSendError(ctx, grant, err, sentAt)
		cancel(nil)
		if failed.outcome == notSent {
			h.noteUnsent()
			next.charge.takeBack()
		}
		m.offerEnded(failed.outcome == lost)
		return
	}
	h.noteHeader(grant, response)
	switch {
	case response.Metadata.NotRun:
		response.Close(false)
		grant.End(endForRejection(response))
		cancel(nil)
		m.offerEnded(false)
		return
	case !response.Metadata.Sealed || !m.relay.continues(response):
		response.Close(false)
		grant.End(dispatch.Failed)
		cancel(nil)
		m.offerEnded(true)
		return
	}
	accepted := &move{grant: grant, charge: next.charge, opened: &openedResponse{response: response, sentAt: sentAt, ctx: ctx, cancel: cancel}}
	if !m.accept(accepted, since) {
		accepted.discard()
		m.offerEnded(true)
	}
}

// accept moves the stream unless it has ended or gone on since the given time.
func (m *attemptMonitor) accept(next *move, since time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped || m.delivering || !m.lastReceived.Equal(since) {
		return false
	}
	// The next attempt counts for itself.
	m.cancelOffer, m.ranElsewhere = nil, false
	m.moveTo(next)
	return true
}

// offerEnded is called when another endpoint does not get the stream, and states whether
// it may have run the request. In that case the attempt offers the stream no more.
func (m *attemptMonitor) offerEnded(mayHaveRun bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cancelOffer = nil
	if m.stopped {
		return
	}
	m.ranElsewhere = mayHaveRun
	m.recheck *= 2
	m.timer.Reset(m.recheck)
}

// awaitOffer waits for the end of an offer in progress, which may save a stream that broke
// off meanwhile, or of a copy.
func (m *attemptMonitor) awaitOffer() {
	m.mu.Lock()
	m.awaited = true
	done := m.offerDone
	m.mu.Unlock()
	if done != nil {
		<-done
	}
}

// stop ends monitoring. It returns where the request moves, or nil, and whether another
// endpoint that does not get it may have run it.
func (m *attemptMonitor) stop() (next *move, ranElsewhere bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	if m.timer != nil {
		m.timer.Stop()
	}
	m.endRace()
	if m.cancelOffer != nil {
		m.cancelOffer(nil)
	}
	next, ranElsewhere = m.next, m.ranElsewhere
	m.next, m.cancelOffer, m.ranElsewhere = nil, nil, false
	return next, ranElsewhere
}

// discard ends monitoring and releases what another endpoint has granted, unless stop has
// returned it.
func (m *attemptMonitor) discard() {
	if next, _ := m.stop(); next != nil {
		next.discard()
	}
}
