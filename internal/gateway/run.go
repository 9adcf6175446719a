package gateway

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"filbertusher/internal/dispatch"
	"filbertusher/internal/streamorigin"
	"filbertusher/internal/upstream"
	"filbertusher/pkg/usher"
)

const (
	// maxUncountedTries bounds the endpoints that are tried for one request without using
	// up an attempt: those that could not be reached and, once a stream has started,
	// those that did not run the request.
	maxUncountedTries = 4
	// minRemainingTime is the time before the deadline below which a request is no
	// longer sent.
	minRemainingTime = 20 * time.Millisecond
)

// run sends the request to endpoints, one after another, until it is answered or
// may not be sent again.
func (h *requestHandler) run(ctx context.Context) {
	relay := &streamRelay{handler: h}
	var tried []usher.EndpointName
	var next *move
	uncountedTries := 0
	var earlier attemptHistory
	for {
		if next == nil {
			var refusal *usher.Refusal
			if next, refusal = h.place(ctx, tried, relay.started || h.knowledge == streamorigin.Recorded); refusal != nil {
				h.abandon(ctx, relay, refusal, earlier)
				return
			}
			// A grant that comes from attempt was checked before the request moved.
			if refusal = h.recheck(); refusal != nil {
				next.discard()
				h.abandon(ctx, relay, refusal, earlier)
				return
			}
			if next.grant.Endpoint.Service != h.service {
				// The route changed to another service while the request waited.
				next.discard()
				next = nil
				continue
			}
		}
		if !h.mayContinueAt(&next.grant.Endpoint) {
			// The stream began while another endpoint was sought for it.
			next.discard()
			next = nil
			continue
		}
		tried = append(tried, next.grant.Endpoint.Name)
		var result attemptResult
		result, next = h.attempt(ctx, next, tried, relay)
		switch result.outcome {
		case delivered:
			return
		case notSent:
			uncountedTries++
			h.attempts--
		case notRun:
			if relay.started {
				// Nothing ran there, so resuming the stream elsewhere does not use up
				// an attempt.
				uncountedTries++
				h.attempts--
			}
		case lost:
			earlier.mayHaveRun = true
		case failed:
			earlier.mayHaveRun, earlier.failure = true, result.response
		}
		h.detail = result.detail()
		if next == nil && !h.mayRetry(ctx, result, uncountedTries) {
			h.finishFailed(ctx, relay, result, earlier)
			return
		}
	}
}

// dispatchRequest returns the request as the scheduler needs it. started marks a
// request that has already run in part.
func (h *requestHandler) dispatchRequest(tried []usher.EndpointName, started bool) *dispatch.Request {
	request := &dispatch.Request{
		ID: h.headers.ID, Service: h.service, Route: h.route.Name, Rank: h.rank(), Started: started,
		Prompt: h.headers.Cost.PromptTokens, Answer: h.expectedAnswer(),
		Prefix: h.headers.Prefix, Arrived: h.arrived, Deadline: h.deadline, Tried: tried,
		Software: h.requiredSoftware(), Resumable: h.route.Kind == usher.KindStream && h.route.Resumable,
	}
	if h.route.Target > 0 {
		request.Target = h.arrived.Add(h.route.Target)
	}
	return request
}

// expectedAnswer returns the expected length of the answer in tokens.
func (h *requestHandler) expectedAnswer() usher.Tokens {
	return cmp.Or(max(h.headers.ExpectedAnswerTokens, 0), h.headers.Cost.AnswerTokens)
}

// admit waits until the scheduler grants the request an endpoint.
func (h *requestHandler) admit(ctx context.Context, request *dispatch.Request) (*dispatch.Grant, *usher.Refusal) {
	start := time.Now()
	grant, err := h.gateway.Scheduler.Admit(ctx, request)
	h.waited += time.Since(start)
	if err == nil {
		h.expectedLatency, h.endpointRunning = grant.ExpectedFirstEvent, grant.Running
		return grant, nil
	}
	refusal := new(usher.Refusal)
	if errors.As(err, &refusal) {
		if refusal.Kind == usher.RefusalLeaving {
			refusal = refusal.WithRetryAfter(h.gateway.stoppingRetryAfter())
		}
		return nil, refusal
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return nil, usher.NewRefusal(usher.RefusalOverloaded, "no endpoint had room before the deadline")
	}
	return nil, h.gateway.cancelledRefusal(ctx)
}

// recheck repeats the checks whose result may have changed while the request
// waited, and charges the request to its workspace's quota.
func (h *requestHandler) recheck() *usher.Refusal {
	if refusal := h.resolve(); refusal != nil {
		return refusal
	}
	if time.Until(h.deadline) < minRemainingTime {
		return usher.NewRefusal(usher.RefusalOverloaded, "too little time is left")
	}
	if refusal := h.checkSuspect(); refusal != nil {
		return refusal
	}
	return h.checkQuota(true)
}

// attemptOutcome is how one attempt ended.
type attemptOutcome int

const (
	// delivered means that the response was passed to the caller.
	delivered attemptOutcome = iota
	// notSent means that the endpoint has received nothing.
	notSent
	// notRun means that the endpoint states that it did not run the request.
	notRun
	// lost means that the request may have run, but its response is missing or
	// incomplete.
	lost
	// failed means that the endpoint ran the request and returned a retryable
	// error status.
	failed
)

var attemptOutcomeNames = [...]string{"delivered", "notSent", "notRun", "lost", "failed"}

// attemptHistory is what the attempts of a request have led to. failure is the last response
// with a retryable error status.
type attemptHistory struct {
	mayHaveRun bool
	failure    *bufferedResponse
}

// attemptResult is the result of one attempt. A failed attempt carries its
// response, which is delivered if no later attempt succeeds.
type attemptResult struct {
	outcome  attemptOutcome
	cause    error
	response *bufferedResponse
}

func (r attemptResult) detail() string {
	if r.cause != nil {
		return attemptOutcomeNames[r.outcome] + ": " + r.cause.Error()
	}
	return attemptOutcomeNames[r.outcome]
}

// attempt sends the request to one endpoint, unless that has accepted it already. If the
// attempt was abandoned in favor of another endpoint, it also returns where the request
// moves.
func (h *requestHandler) attempt(ctx context.Context, at *move, tried []usher.EndpointName, relay *streamRelay) (attemptResult, *move) {
	h.attempts++
	h.endpoint, h.software = at.grant.Endpoint.Name, at.grant.Endpoint.Software
	if !h.retryCredited {
		h.retryCredited = true
		h.gateway.Budget.CountRequest(h.service)
	}
	var attemptCtx context.Context
	var cancel context.CancelCauseFunc
	if at.opened != nil {
		attemptCtx, cancel = at.opened.ctx, at.opened.cancel
	} else {
		attemptCtx, cancel = context.WithCancelCause(ctx)
	}
	defer cancel(nil)
	var fallback *dispatch.Request
	if h.route.Idempotent() && h.attempts < h.route.MaxAttempts && !h.probesCrash {
		fallback = h.dispatchRequest(tried, true)
	}
	monitor := h.monitorAttempt(ctx, &at.grant.Endpoint, fallback, relay, cancel)
	// exchange panics if the caller is gone. The grant must not outlive the request then.
	defer monitor.discard()
	if at.charge != nil {
		h.onTrial = at.grant.Endpoint.Name
		h.gateway.metrics.rollouts.Add(candidateSent, 1)
	}
	eventsBefore := h.eventCount
	monitor.startRace(at, relay)
	result := h.exchange(attemptCtx, at, relay, monitor)
	monitor.settleRace(attemptCtx, result)
	h.observe(attemptCtx, &at.grant.Endpoint, &result, eventsBefore)
	if result.outcome == notSent {
		h.noteUnsent()
		at.charge.takeBack()
	}
	if result.outcome == delivered {
		return result, nil
	}
	monitor.awaitOffer()
	next, ranElsewhere := monitor.stop()
	if ranElsewhere {
		h.attempts++
	}
	return result, next
}

// exchange sends the request, if it was not sent already, and handles the response.
func (h *requestHandler) exchange(ctx context.Context, at *move, relay *streamRelay, monitor *attemptMonitor) attemptResult {
	grant := at.grant
	h.attemptResponded, h.attemptEnded = time.Time{}, time.Time{}
	if at.opened != nil {
		h.attemptSent = at.opened.sentAt
		if h.takeCopy(at.opened) && at.opened.buffered != nil {
			h.buffered = append(h.buffered, at.opened.buffered.body)
			return h.deliverWhole(grant, at.opened.buffered)
		}
		return relay.forward(ctx, grant, at.opened.response, at.opened.events, monitor)
	}
	h.attemptSent = time.Now()
	response, err := h.gateway.Pool.Send(ctx, &grant.Endpoint, h.upstreamRequest(grant, relay.lastID))
	if err != nil {
		return h.handleSendError(ctx, grant, err, h.attemptSent)
	}
	h.attemptResponded = time.Now()
	h.noteHeader(grant, response)
	if response.Metadata.NotRun {
		response.Close(false)
		grant.End(endForRejection(response))
		return attemptResult{outcome: notRun, cause: &RejectedError{Status: response.Status}}
	}
	if relay.started && !relay.continues(response) {
		return relay.rejectContinuation(grant, response)
	}
	if h.route.Kind == usher.KindStream && response.Status == http.StatusOK {
		return relay.forward(ctx, grant, response, nil, monitor)
	}
	return h.bufferResponse(ctx, grant, response, monitor)
}

// noteHeader applies what the header of a response states about its endpoint.
func (h *requestHandler) noteHeader(grant *dispatch.Grant, response *upstream.Response) {
	if response.Metadata.RateLimit != nil {
		h.gateway.metrics.rateLimited.Add(1)
	}
	if !response.Metadata.OtherEndpoint {
		h.applyEndpointState(grant, &response.Metadata)
	}
}

// applyEndpointState applies what an endpoint states about itself.
func (h *requestHandler) applyEndpointState(grant *dispatch.Grant, metadata *usher.ResponseMetadata) {
	grant.ReportLimit(metadata.RateLimit)
	if metadata.Leaving {
		h.gateway.metrics.leaving.Add(1)
		h.gateway.OnLeaving(&grant.Endpoint)
	}
	if metadata.Pause > 0 {
		h.gateway.metrics.paused.Add(1)
		if h.gateway.logLimiter.allow() {
			h.gateway.Log.Info().Str("endpoint", string(grant.Endpoint.Name)).Str("service", string(grant.Endpoint.Service)).
				Dur("for", metadata.Pause).Msg("endpointPaused")
		}
		grant.Pause(metadata.Pause)
	}
}

func endForRejection(response *upstream.Response) dispatch.End {
	if response.Metadata.OtherEndpoint {
		return dispatch.Unreachable
	}
	return dispatch.Full
}

func (h *requestHandler) handleSendError(ctx context.Context, grant *dispatch.Grant, err error, sentAt time.Time) attemptResult {
	notSentErr := new(upstream.NotSentError)
	switch {
	case errors.As(err, &notSentErr) && ctx.Err() == nil:
		grant.End(dispatch.Unreachable)
		return attemptResult{outcome: notSent, cause: err}
	case errors.As(err, &notSentErr):
		grant.End(dispatch.Cancelled)
		return attemptResult{outcome: notSent, cause: err}
	case ctx.Err() != nil:
		grant.End(cancelledOr(ctx, dispatch.Failed))
		return attemptResult{outcome: lost, cause: err}
	}
	grant.End(dispatch.Failed)
	h.reportLost(grant, progressNone, sentAt)
	return attemptResult{outcome: lost, cause: err}
}

func (h *requestHandler) upstreamRequest(grant *dispatch.Grant, lastID string) *upstream.Request {
	options := usher.ForwardOptions{Endpoint: grant.Endpoint.Name, TimeLeft: time.Until(h.deadline), LastEvent: lastID}
	if h.workspace != nil {
		options.Workspace = h.workspace.Name
	}
	return &upstream.Request{
		ID: h.headers.ID, Method: h.request.Method, Target: h.request.RequestURI, Host: h.request.Host,
		Header: h.gateway.Codec.EncodeRequest(h.request.Header, options), Body: h.body, NonIdempotent: !h.route.Idempotent(),
		MaxIdle: grant.MaxIdle,
	}
}

// RejectedError is the cause of an attempt that the endpoint refused to run.
type RejectedError struct{ Status int }

// Error implements error.
func (e *RejectedError) Error() string {
	return "the endpoint refused with status " + http.StatusText(e.Status)
}

// mayRetry reports whether the request may be sent again, and charges the retry to
// the service's retry budget. A request that was not sent is retried without using it.
func (h *requestHandler) mayRetry(ctx context.Context, result attemptResult, uncountedTries int) bool {
	if ctx.Err() != nil || time.Until(h.deadline) < minRemainingTime {
		return false
	}
	if uncountedTries >= maxUncountedTries {
		return false
	}
	switch result.outcome {
	case notSent:
		return true
	case lost, failed:
		if !h.route.Idempotent() {
			return false
		}
	}
	if h.attempts >= h.route.MaxAttempts {
		return false
	}
	if h.probesCrash || h.checkSuspect() != nil {
		return false
	}
	if !h.gateway.Budget.TrySpend(h.service) {
		h.gateway.metrics.overBudget.Add(1)
		return false
	}
	h.gateway.metrics.repeated.Add(1)
	return true
}

// retryableStatuses are statuses of failures that may not occur at another
// endpoint.
var retryableStatuses = []int{http.StatusInternalServerError, http.StatusBadGateway}

func isRetryableStatus(status int) bool { return slices.Contains(retryableStatuses, status) }
