package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"filbertusher/internal/dispatch"
	"filbertusher/internal/pause"
	"filbertusher/internal/rollout"
	"filbertusher/pkg/usher"
)

// lateAnswerFraction is the fraction of the whole time of a request that an attempt must have
// had for an answer that is missing at the deadline to be the endpoint's failure. The rest
// may have passed in the queue.
const lateAnswerFraction = 0.5

// A request that can go on at candidates only asks every chargeInterval whether the exposure
// allows it, for at most maxChargeWait: the exposure grows with the other requests.
const (
	chargeInterval = 20 * time.Millisecond
	maxChargeWait  = time.Second
)

// charge is what an attempt at a candidate takes from the exposure of its service.
type charge struct {
	rollouts *rollout.Table
	service  usher.ServiceName
	route    usher.RouteName
}

// takeBack returns the charge of an attempt that was not sent. A nil charge is that of an
// attempt at a current endpoint.
func (c *charge) takeBack() {
	if c != nil {
		c.rollouts.Uncharge(c.service, c.route)
	}
}

// noteUnsent takes back the exposure that an attempt which reached no endpoint has earned.
func (h *requestHandler) noteUnsent() {
	if rollouts := h.gateway.Rollouts; rollouts != nil {
		rollouts.Unsent(h.service)
	}
}

// place waits until there is an endpoint for the next attempt. started marks a request that
// has already run in part.
func (h *requestHandler) place(ctx context.Context, tried []usher.EndpointName, started bool) (*move, *usher.Refusal) {
	request := h.dispatchRequest(tried, started)
	if h.isBoundToCandidates(request) {
		if at := h.awaitCandidate(ctx, request); at != nil {
			return at, nil
		}
	} else if h.mayTryCandidate(request) {
		if at := h.tryCandidate(request); at != nil {
			h.expectedLatency, h.endpointRunning = at.grant.ExpectedFirstEvent, at.grant.Running
			return at, nil
		}
	}
	grant, refusal := h.admit(ctx, request)
	if refusal != nil {
		return nil, refusal
	}
	return &move{grant: grant}, nil
}

// isBoundToCandidates reports whether the request can go on only at the version that is on
// trial.
func (h *requestHandler) isBoundToCandidates(request *dispatch.Request) bool {
	return h.gateway.Rollouts != nil && request.Software != nil &&
		h.gateway.Scheduler.HasSoftware(dispatch.CandidatePool(h.service), *request.Software)
}

// mayTryCandidate reports whether the request may go to a candidate or to a current endpoint.
// Repeats go to the current endpoints: the version on trial may be what failed. A request that
// may crash its endpoint would tell nothing about the version.
func (h *requestHandler) mayTryCandidate(request *dispatch.Request) bool {
	return h.gateway.Rollouts != nil && request.Software == nil && h.attempts == 0 && len(request.Tried) == 0 && !h.probesCrash
}

// tryCandidate returns a place at a candidate, or nil if none is chosen or free.
func (h *requestHandler) tryCandidate(request *dispatch.Request) *move {
	cost := h.chargeCandidate()
	if cost == nil {
		return nil
	}
	grant := h.gateway.Scheduler.TryAdmit(inCandidatePool(request))
	if grant == nil {
		h.gateway.metrics.rollouts.Add(candidateBusy, 1)
		cost.takeBack()
		return nil
	}
	return &move{grant: grant, charge: cost}
}

// awaitCandidate waits for a place at a candidate. It returns nil if the exposure allows none
// or there is no room in time.
func (h *requestHandler) awaitCandidate(ctx context.Context, request *dispatch.Request) *move {
	cost := h.chargeCandidate()
	for asked := time.Now(); cost == nil; cost = h.chargeCandidate() {
		if time.Since(asked) >= maxChargeWait || ctx.Err() != nil {
			return nil
		}
		pause.For(ctx, chargeInterval)
	}
	grant, refusal := h.admit(ctx, inCandidatePool(request))
	if refusal != nil {
		cost.takeBack()
		return nil
	}
	return &move{grant: grant, charge: cost}
}

// chargeCandidate returns the charge of an attempt at a candidate, or nil if the next attempt
// is to go to a current endpoint.
func (h *requestHandler) chargeCandidate() *charge {
	if !h.gateway.Rollouts.Choose(h.service, h.route.Name) {
		return nil
	}
	return &charge{rollouts: h.gateway.Rollouts, service: h.service, route: h.route.Name}
}

func inCandidatePool(request *dispatch.Request) *dispatch.Request {
	atCandidate := *request
	atCandidate.Service = dispatch.CandidatePool(request.Service)
	return &atCandidate
}

// observe passes on how an endpoint answered an attempt, which ran under ctx. Events is how
// many events of a stream had arrived before it.
func (h *requestHandler) observe(ctx context.Context, endpoint *usher.Registration, result *attemptResult, eventsBefore int) {
	rollouts := h.gateway.Rollouts
	if rollouts == nil || !h.isAnswer(ctx, result) {
		return
	}
	answer := rollout.Answer{
		Service: endpoint.Service, Route: h.route.Name, Endpoint: endpoint.Name, Software: endpoint.Software,
		Failed:   result.outcome != delivered || h.status >= http.StatusInternalServerError,
		Duration: time.Since(h.attemptSent), Events: h.eventCount - eventsBefore,
		Prompt: h.headers.Cost.PromptTokens, Completion: h.expectedAnswer(),
	}
	if !h.attemptEnded.IsZero() {
		answer.Duration = h.attemptEnded.Sub(h.attemptSent)
	}
	if !h.attemptResponded.IsZero() {
		answer.FirstEvent = h.attemptResponded.Sub(h.attemptSent)
	}
	h.gateway.metrics.countAnswer(&answer)
	rollouts.Observe(answer)
}

// isAnswer reports whether the result of an attempt tells how its endpoint answers. One that
// did not run it has not answered, and neither has one that was not left the time.
func (h *requestHandler) isAnswer(ctx context.Context, result *attemptResult) bool {
	switch result.outcome {
	case notSent, notRun:
		return false
	case lost:
		moved := new(MovedError)
		switch cause := context.Cause(ctx); {
		case cause == nil || errors.As(cause, &moved):
			return true
		case errors.Is(cause, context.DeadlineExceeded):
			return time.Since(h.attemptSent) >= time.Duration(lateAnswerFraction*float64(h.deadline.Sub(h.arrived)))
		default:
			return false
		}
	case delivered, failed:
	}
	return true
}

// The names of the counters of attempts during rollouts: those at candidates, and those that
// were to go to a candidate but found none free.
const (
	candidateSent = "candidateSent"
	candidateBusy = "candidateBusy"
)

// countAnswer counts an answer by the software version that gave it.
func (m *metrics) countAnswer(answer *rollout.Answer) {
	m.answers.Add(string(answer.Software), 1)
	if answer.Failed {
		m.failedAnswers.Add(string(answer.Software), 1)
	}
}
