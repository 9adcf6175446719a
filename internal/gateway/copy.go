package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"filbertusher/internal/dispatch"
	"filbertusher/internal/hedge"
	"filbertusher/internal/httpresponse"
	"filbertusher/internal/upstream"
	"filbertusher/pkg/usher"
)

const (
	// copyRecheckInterval is the delay between checks of whether a copy that is due, but was
	// not allowed, may be sent.
	copyRecheckInterval = 50 * time.Millisecond
	// retryReserve is the fraction of the retry budget that copies leave to requests that
	// would fail without a retry.
	retryReserve = 0.5
)

// OvertakenError is the cancellation cause of the slower of two copies of a request.
type OvertakenError struct{}

// Error implements error.
func (*OvertakenError) Error() string { return "another copy of the request answered first" }

// The names of the counters of copies, beside those by hedge.Reason of copies sent and by
// cause of copies refused. wastedMs is the slot time of the slower of two copies.
const (
	copiesSent     = "sent"
	copiesWon      = "won"
	copiesLost     = "lost"
	copiesFailed   = "failed"
	copiesLeft     = "abandoned"
	copiesWastedMs = "wastedMs"
	copiesRefused  = "refused."
)

// race is what an attempt knows of its copy. timer sends the copy when it is due, sentAt is
// when it was sent, and won is set once it has answered first. refused is the last cause for
// which a copy that is due was not sent. All but kind, first and began are protected by the
// monitor's lock.
type race struct {
	kind   hedge.Kind
	first  *dispatch.Grant
	began  time.Time
	plan   hedge.Plan
	timer  *time.Timer
	sentAt time.Time
	won    bool
	ended  bool
	// answered is when the first event of the first arrived.
	answered time.Time
	refused  string
}

// startRace prepares a copy of the attempt, if its request may have one: it may be repeated,
// with an attempt to spare, and its caller has received no event.
func (m *attemptMonitor) startRace(at *move, relay *streamRelay) {
	h := m.handler
	attempt := hedge.Attempt{
		Route: h.route, Attempts: h.attempts, Begun: relay.started || h.headers.LastEvent != "",
		Copied: h.copyReason != "", ProbesCrash: h.probesCrash,
	}
	if !h.gateway.Copies.Enabled() || at.opened != nil {
		return
	}
	h.gateway.Copies.CountWork(h.service, at.grant.Work())
	if m.fallback == nil || !attempt.MayCopy() {
		return
	}
	if h.attempts == 1 {
		h.gateway.Copies.CountRequest(h.service)
	}
	r := &race{
		kind:  hedge.Kind{Service: h.service, Route: h.route.Name, Size: hedge.SizeOf(at.grant.UncachedPrompt())},
		first: at.grant, began: time.Now(),
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.race = r
	timing := hedge.Timing{Predicted: r.first.PredictedFirstEvent(), Target: h.route.Target}
	if h.route.Target > 0 {
		timing.Left = h.arrived.Add(h.route.Target).Sub(r.began)
	}
	var planned bool
	if r.plan, planned = h.gateway.Copies.Plan(r.kind, timing); planned {
		r.timer = time.AfterFunc(r.plan.After, m.copyDue)
	}
}

// copyDue sends a copy if that is allowed, or looks again later. At the limit of the
// response the request moves instead.
func (m *attemptMonitor) copyDue() {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, h := m.race, m.handler
	if m.stopped || r.ended || m.cancelOffer != nil || m.ranElsewhere {
		return
	}
	grant, refused := m.admitCopy()
	if grant == nil {
		if refused != r.refused {
			r.refused = refused
			h.gateway.metrics.copies.Add(copiesRefused+refused, 1)
			h.gateway.Log.Debug().Str("request", string(h.headers.ID)).Str("why", string(r.plan.Reason)).Str("refused", refused).
				Int64("afterMs", time.Since(r.began).Milliseconds()).Msg("copyRefused")
		}
		if time.Since(r.began) < m.responseLimit() {
			r.timer.Reset(copyRecheckInterval)
		}
		return
	}
	h.gateway.metrics.copies.Add(copiesSent, 1)
	h.gateway.metrics.copies.Add(string(r.plan.Reason), 1)
	h.gateway.Log.Debug().Str("request", string(h.headers.ID)).Str("first", string(m.endpoint.Name)).Str("copy", string(grant.Endpoint.Name)).
		Str("why", string(r.plan.Reason)).Int64("afterMs", time.Since(r.began).Milliseconds()).Int64("dueMs", r.plan.After.Milliseconds()).
		Int64("expectedMs", grant.ExpectedFirstEvent.Milliseconds()).Msg("copySent")
	ctx, cancel := context.WithCancelCause(m.requestCtx)
	r.sentAt = time.Now()
	m.cancelOffer, m.offerDone, m.ranElsewhere = cancel, make(chan struct{}), true
	// The body and what follows from it are released with the request.
	h.traits()
	h.copies.Add(1)
	go m.runCopy(ctx, cancel, grant, m.offerDone)
}

// admitCopy returns a grant for a copy, or why there is none. The caller must hold m.mu.
func (m *attemptMonitor) admitCopy() (*dispatch.Grant, string) {
	g, service := m.handler.gateway, m.handler.service
	if refused := g.Copies.Check(service); refused != "" {
		return nil, string(refused)
	}
	if !m.handler.stillPermitted() {
		return nil, "notPermitted"
	}
	request := *m.fallback
	// To run it at another version would expose more requests to that than its share.
	request.Software = &m.endpoint.Software
	grant, refused := g.Scheduler.TryAdmitCopy(&request, m.endpoint, time.Since(m.race.began))
	if grant == nil {
		return nil, string(refused)
	}
	if !g.Budget.TrySpendSpare(service, retryReserve) {
		grant.End(dispatch.Cancelled)
		return nil, "retryBudget"
	}
	if !g.Copies.Take(service, grant.Work()) {
		grant.End(dispatch.Cancelled)
		return nil, string(hedge.RefusalRequests)
	}
	return grant, ""
}

// runCopy sends the copy and moves the request to it if it answers first.
func (m *attemptMonitor) runCopy(ctx context.Context, cancel context.CancelCauseFunc, grant *dispatch.Grant, done chan struct{}) {
	defer close(done)
	sentAt := time.Now()
	timeout := time.AfterFunc(m.responseLimit(), func() { m.giveUpCopy(cancel) })
	opened, result := m.handler.openCopy(ctx, grant)
	timeout.Stop()
	took := time.Since(sentAt)
	if opened == nil {
		m.copyEnded(ctx, result, took)
		cancel(nil)
		return
	}
	opened.sentAt, opened.ctx, opened.cancel = sentAt, ctx, cancel
	accepted := &move{grant: grant, opened: opened}
	if !m.acceptCopy(accepted) {
		accepted.discard()
		m.copyEnded(ctx, attemptResult{outcome: lost, cause: &OvertakenError{}}, took)
	}
}

// giveUpCopy cancels a copy that takes too long itself, unless it is all that is left.
func (m *attemptMonitor) giveUpCopy(cancel context.CancelCauseFunc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.awaited {
		cancel(nil)
	}
}

// openCopy sends the request and returns the response once the first event of a stream has
// arrived, or a whole answer that is not a stream. It returns nil if there is none that can be
// passed on; the grant has ended then.
func (h *requestHandler) openCopy(ctx context.Context, grant *dispatch.Grant) (*openedResponse, attemptResult) {
	sentAt := time.Now()
	response, err := h.gateway.Pool.Send(ctx, &grant.Endpoint, h.upstreamRequest(grant, ""))
	h.copies.Done()
	if err != nil {
		return nil, h.handleSendError(ctx, grant, err, sentAt)
	}
	h.noteHeader(grant, response)
	if response.Metadata.NotRun {
		response.Close(false)
		grant.End(endForRejection(response))
		return nil, attemptResult{outcome: notRun, cause: &RejectedError{Status: response.Status}}
	}
	if h.route.Kind == usher.KindStream && response.Status == http.StatusOK {
		return h.openCopiedStream(ctx, grant, response, sentAt)
	}
	buffered, result := h.readResponse(ctx, grant, response, sentAt, nil)
	if result.outcome == delivered {
		return &openedResponse{response: response, buffered: buffered}, result
	}
	if buffered != nil {
		buffered.body.Release()
	}
	return nil, result
}

func (h *requestHandler) openCopiedStream(ctx context.Context, grant *dispatch.Grant, response *upstream.Response, sentAt time.Time) (*openedResponse, attemptResult) {
	if !response.Metadata.Sealed {
		response.Close(false)
		grant.End(dispatch.Failed)
		return nil, attemptResult{outcome: lost, cause: &httpresponse.InvalidError{Reason: "a stream that the endpoint does not vouch for"}}
	}
	events := upstream.NewEventReader(response.Body)
	if err := events.Peek(); err != nil && !errors.Is(err, io.EOF) {
		response.Close(false)
		grant.End(cancelledOr(ctx, dispatch.Failed))
		if ctx.Err() == nil {
			h.reportLost(grant, progressHeader, sentAt)
		}
		return nil, attemptResult{outcome: lost, cause: err}
	}
	grant.FirstEvent()
	return &openedResponse{response: response, events: events}, attemptResult{outcome: delivered}
}

// acceptCopy moves the request to its copy unless the first has answered or has ended.
func (m *attemptMonitor) acceptCopy(next *move) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped || m.responding {
		return false
	}
	// The next attempt counts for itself.
	m.cancelOffer, m.ranElsewhere = nil, false
	m.race.won = true
	m.race.first.Overdue()
	m.stopped, m.next = true, next
	m.cancel(&OvertakenError{})
	return true
}

// copyEnded is called when the request does not move to its copy.
func (m *attemptMonitor) copyEnded(ctx context.Context, result attemptResult, took time.Duration) {
	metrics, kind := m.handler.gateway.metrics, copiesFailed
	if overtaken := new(OvertakenError); errors.As(context.Cause(ctx), &overtaken) || errors.As(result.cause, &overtaken) {
		kind = copiesLost
	} else if m.requestCtx.Err() != nil {
		kind = copiesLeft
	}
	metrics.copies.Add(kind, 1)
	metrics.copies.Add(copiesWastedMs, took.Milliseconds())
	m.handler.gateway.Log.Debug().Str("request", string(m.handler.headers.ID)).Str("result", result.detail()).Int64("tookMs", took.Milliseconds()).Msg("copyEnded")
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cancelOffer = nil
	m.ranElsewhere = result.outcome != notSent && result.outcome != notRun
}

// endRace cancels the copy, or sends none, because the first has answered or has ended. The
// caller must hold m.mu.
func (m *attemptMonitor) endRace() {
	r := m.race
	if r == nil || r.ended {
		return
	}
	r.ended, r.answered = true, time.Now()
	if r.timer != nil {
		r.timer.Stop()
	}
	if m.cancelOffer != nil {
		m.cancelOffer(&OvertakenError{})
	}
}

// settleRace counts what the attempt took. It is called when the exchange has ended.
func (m *attemptMonitor) settleRace(ctx context.Context, result attemptResult) {
	h, copies := m.handler, m.handler.gateway.Copies
	if !copies.Enabled() {
		return
	}
	took := time.Since(h.attemptSent)
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.race
	if r != nil && !r.sentAt.IsZero() {
		h.copyReason = r.plan.Reason
	}
	overtaken := new(OvertakenError)
	if errors.As(context.Cause(ctx), &overtaken) {
		h.gateway.metrics.copies.Add(copiesWastedMs, took.Milliseconds())
	}
	switch {
	case r == nil:
	case r.won:
		copies.Observe(r.kind, r.first.PredictedFirstEvent(), time.Since(r.began))
	case r.ended && (m.responding || result.outcome == delivered):
		// Without the time that the caller took to read the answer.
		copies.Observe(r.kind, r.first.PredictedFirstEvent(), r.answered.Sub(r.began))
	case result.outcome == delivered:
		copies.Observe(r.kind, r.first.PredictedFirstEvent(), time.Since(r.began))
	}
}

// takeCopy is called when the request goes on with its copy. It returns false if the response
// is the rest of a stream, for which there are no copies.
func (h *requestHandler) takeCopy(opened *openedResponse) bool {
	if opened.events == nil && opened.buffered == nil {
		return false
	}
	h.copyWon = true
	h.gateway.metrics.copies.Add(copiesWon, 1)
	return true
}
