package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"filbertusher/internal/dispatch"
	"filbertusher/internal/upstream"
	"filbertusher/pkg/usher"
)

const (
	// maxUnreached bounds how many endpoints that can't be connected to are
	// tried for one request.
	maxUnreached = 4
	// leastLeft is how much time must be left to send a request at all.
	leastLeft = 20 * time.Millisecond
)

// run sends the request until it is answered or can't be.
func (j *job) run(ctx context.Context) {
	stream := &relay{job: j}
	var tried []usher.EndpointName
	var grant *dispatch.Grant
	unreached := 0
	mayHaveRun := false
	for {
		if grant == nil {
			var refusal *usher.Refusal
			if grant, refusal = j.admit(ctx, j.ask(tried, stream.started)); refusal != nil {
				j.giveUp(ctx, stream, refusal, mayHaveRun)
				return
			}
			// A place that the request was moved to was checked before the move.
			if refusal = j.clear(); refusal != nil {
				grant.End(dispatch.Cancelled)
				j.giveUp(ctx, stream, refusal, mayHaveRun)
				return
			}
			if grant.Endpoint.Service != j.service {
				// The route went to another service while the request waited.
				grant.End(dispatch.Cancelled)
				grant = nil
				continue
			}
		}
		tried = append(tried, grant.Endpoint.Name)
		result, next := j.attempt(ctx, grant, tried, stream)
		switch result.end {
		case delivered:
			return
		case notSent:
			unreached++
			j.attempts--
		case notRun:
			if stream.started {
				// The rest of a stream asks on: nothing ran there.
				unreached++
				j.attempts--
			}
		case lost:
			mayHaveRun = true
		}
		j.detail = result.detail()
		if grant = next; grant == nil && !j.mayRepeat(ctx, result, unreached) {
			j.fail(ctx, stream, result, mayHaveRun)
			return
		}
	}
}

// ask returns what the scheduler has to know of the request.
func (j *job) ask(tried []usher.EndpointName, started bool) *dispatch.Ask {
	ask := &dispatch.Ask{
		ID: j.head.ID, Service: j.service, Rank: j.rank(), Started: started,
		Prompt: j.head.Cost.PromptTokens, Answer: j.head.Cost.AnswerTokens, MostAnswer: j.head.Cost.AnswerTokens,
		Prefix: j.head.Prefix, Arrived: j.arrived, Deadline: j.deadline, Tried: tried,
	}
	if j.head.Hint > 0 {
		ask.Answer = j.head.Hint
	}
	if j.route.Target > 0 {
		ask.Target = j.arrived.Add(j.route.Target)
	}
	return ask
}

// admit asks the scheduler for an endpoint.
func (j *job) admit(ctx context.Context, ask *dispatch.Ask) (*dispatch.Grant, *usher.Refusal) {
	before := time.Now()
	grant, err := j.gateway.Scheduler.Admit(ctx, ask)
	j.waited += time.Since(before)
	if err == nil {
		j.expected, j.inside = grant.Expected, grant.Running
		return grant, nil
	}
	refusal := new(usher.Refusal)
	if errors.As(err, &refusal) {
		return nil, refusal
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return nil, usher.NewRefusal(usher.RefusalOverloaded, "no endpoint had room before the deadline")
	}
	return nil, usher.NewRefusal(usher.RefusalCancelled, "the caller left")
}

// clear checks once more what may have changed while the request waited, and
// charges it to its workspace.
func (j *job) clear() *usher.Refusal {
	if refusal := j.resolve(); refusal != nil {
		return refusal
	}
	if time.Until(j.deadline) < leastLeft {
		return usher.NewRefusal(usher.RefusalOverloaded, "too little time is left")
	}
	return j.checkQuota(true)
}

// ending is how one attempt ended.
type ending int

const (
	// delivered: the caller has its answer.
	delivered ending = iota
	// notSent: the endpoint has seen nothing.
	notSent
	// notRun: the endpoint says that it did not run the request.
	notRun
	// lost: the request may have run and the answer is not there, or not whole.
	lost
	// failed: the endpoint ran the request and answered with a failure.
	failed
)

var endingNames = [...]string{"delivered", "notSent", "notRun", "lost", "failed"}

// result is the outcome of one attempt. A failure carries the answer, so that
// it can be delivered if nothing better comes.
type result struct {
	end    ending
	cause  error
	answer *whole
}

func (r result) detail() string {
	if r.cause != nil {
		return endingNames[r.end] + ": " + r.cause.Error()
	}
	return endingNames[r.end]
}

// attempt sends the request to one endpoint. It returns the place at another one
// that it was given up for, if it was.
func (j *job) attempt(ctx context.Context, grant *dispatch.Grant, tried []usher.EndpointName, stream *relay) (result, *dispatch.Grant) {
	j.attempts++
	j.endpoint = grant.Endpoint.Name
	if !j.earned {
		j.earned = true
		j.gateway.Budget.Earn(j.service)
	}
	attempt, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var elsewhere *dispatch.Ask
	if j.route.Idempotent() && j.attempts < j.route.MaxAttempts {
		elsewhere = j.ask(tried, true)
	}
	watch := j.watch(&grant.Endpoint, elsewhere, cancel)
	r := j.exchange(attempt, grant, stream, watch)
	next := watch.stop()
	if r.end == delivered && next != nil {
		next.End(dispatch.Cancelled)
		next = nil
	}
	return r, next
}

// exchange sends the request and takes in the answer.
func (j *job) exchange(ctx context.Context, grant *dispatch.Grant, stream *relay, watch *mover) result {
	sent := time.Now()
	answer, err := j.gateway.Pool.Send(ctx, &grant.Endpoint, j.upstreamRequest(grant, stream.lastID))
	if err != nil {
		return j.sendFailed(ctx, grant, err, sent)
	}
	if answer.Reply.NotRun {
		answer.Close(false)
		grant.End(endOfRefusal(answer))
		return result{end: notRun, cause: &RejectedError{Status: answer.Status}}
	}
	if j.route.Kind == usher.KindStream && answer.Status == http.StatusOK {
		return stream.forward(ctx, grant, answer, watch)
	}
	return j.readWhole(ctx, grant, answer)
}

func endOfRefusal(answer *upstream.Answer) dispatch.End {
	if answer.Reply.OtherEndpoint {
		return dispatch.Unreachable
	}
	return dispatch.Full
}

func (j *job) sendFailed(ctx context.Context, grant *dispatch.Grant, err error, sent time.Time) result {
	notSentError := new(upstream.NotSentError)
	switch {
	case errors.As(err, &notSentError) && ctx.Err() == nil:
		grant.End(dispatch.Unreachable)
		return result{end: notSent, cause: err}
	case errors.As(err, &notSentError):
		grant.End(dispatch.Cancelled)
		return result{end: notSent, cause: err}
	case ctx.Err() != nil:
		grant.End(endAfter(ctx, dispatch.Failed))
		return result{end: lost, cause: err}
	}
	grant.End(dispatch.Failed)
	j.watchCrash(grant, sent)
	return result{end: lost, cause: err}
}

func (j *job) upstreamRequest(grant *dispatch.Grant, lastID string) *upstream.Request {
	send := usher.Send{Endpoint: grant.Endpoint.Name, Left: time.Until(j.deadline), LastEvent: lastID}
	if j.workspace != nil {
		send.Workspace = j.workspace.Name
	}
	return &upstream.Request{
		ID: j.head.ID, Method: j.request.Method, Target: j.request.RequestURI, Host: j.request.Host,
		Header: j.gateway.Dialect.Forward(j.request.Header, send), Body: j.body, Once: !j.route.Idempotent(),
	}
}

// RejectedError is the cause where an endpoint refused to run a request.
type RejectedError struct{ Status int }

// Error implements error.
func (e *RejectedError) Error() string {
	return "the endpoint refused with status " + http.StatusText(e.Status)
}

// mayRepeat says whether the request may be sent once more, and takes that out
// of the budget.
func (j *job) mayRepeat(ctx context.Context, r result, unreached int) bool {
	if ctx.Err() != nil || time.Until(j.deadline) < leastLeft {
		return false
	}
	if unreached >= maxUnreached {
		return false
	}
	switch r.end {
	case notSent:
		return true
	case lost, failed:
		if !j.route.Idempotent() {
			return false
		}
	}
	if j.attempts >= j.route.MaxAttempts {
		return false
	}
	if j.checkSuspect() != nil {
		return false
	}
	if !j.gateway.Budget.Spend(j.service) {
		j.gateway.metrics.overBudget.Add(1)
		return false
	}
	j.gateway.metrics.repeated.Add(1)
	return true
}

// retryable statuses are failures of one endpoint that another may not have.
var retryable = []int{http.StatusInternalServerError, http.StatusBadGateway}

func isRetryable(status int) bool { return slices.Contains(retryable, status) }
