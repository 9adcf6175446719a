package entry

import (
	"context"
	"time"

	"filbertusher/internal/pause"
	"filbertusher/pkg/usher"
)

const (
	// maxImmediateOffers is the maximum number of offers that do not allow
	// queueing, made before the request queues at an endpoint.
	maxImmediateOffers = 2
	// maxConnectRounds is how often all endpoints are tried while none of them
	// is reachable, connectRetryDelay apart. A process that has just started or
	// received a new configuration serves requests while it still connects.
	maxConnectRounds  = 4
	connectRetryDelay = 50 * time.Millisecond
	// overloadedRetryAfter is the Retry-After of requests shed by overload.
	overloadedRetryAfter = time.Second
	// stoppingRetryAfter is the least Retry-After of requests that come too late during a
	// stop.
	stoppingRetryAfter = time.Second
)

// candidateSearch tries the candidate endpoints of one request. It remembers
// which endpoints refused and why, so that none is asked to queue the request
// twice in a round.
type candidateSearch struct {
	entry *Entry
	req   *request
	// overloaded and deadlineUnreachable are set if an endpoint refused for that
	// reason. The first triedCount elements of tried name the endpoints tried.
	overloaded          bool
	deadlineUnreachable bool
	// leaving is set if an endpoint refused because it leaves, or because this process
	// stops before the request could end.
	leaving    bool
	tried      [maxTriedEndpoints]usher.EndpointName
	triedCount int
}

// maxTriedEndpoints is the maximum number of endpoints at which one request
// queues, one after another.
const maxTriedEndpoints = 16

// dispatchAny offers the request to its candidates. It first tries those with
// the earliest expected finish, provided they have capacity now. After that
// the request queues at the best candidate, with a reservation at the second.
//
// After a refusal the next candidate is asked to queue the request. An endpoint
// refuses only if it holds no less urgent work to displace, so the request is
// shed only if that is true of every endpoint that could serve it.
func (e *Entry) dispatchAny(ctx context.Context, req *request) result {
	c := &candidateSearch{entry: e, req: req}
	if !c.rankCandidates() {
		return refusalResult(usher.NewRefusal(usher.RefusalNoEndpoint, "no endpoint serves the request").WithRetryAfter(time.Second))
	}
	for range maxImmediateOffers {
		best := req.candidates[0].Endpoint
		req.reason = reasonImmediateCapacity
		res, final := e.offer(ctx, req, best, false, 0)
		if final {
			return res
		}
		// The reply carried a new load report of that endpoint.
		if !c.rankCandidates() || req.candidates[0].Endpoint == best {
			break
		}
	}
	for range maxConnectRounds {
		res, final := c.waitForCandidate(ctx)
		if final || c.overloaded || c.deadlineUnreachable || c.isTooLate() || ctx.Err() != nil {
			return res
		}
		c.triedCount = 0
		pause.For(ctx, connectRetryDelay)
	}
	return refusalResult(c.finalRefusal(ctx))
}

// rankCandidates reorders the candidates by current load. It returns false if there are
// none.
func (c *candidateSearch) rankCandidates() bool {
	c.req.candidates = c.entry.Placer.Candidates(&c.req.RequestHeader, c.req.candidates)
	return len(c.req.candidates) > 0
}

// waitForCandidate queues the request at the best untried endpoint, one after
// another, until one returns a final result or all have refused.
func (c *candidateSearch) waitForCandidate(ctx context.Context) (result, bool) {
	for c.triedCount < maxTriedEndpoints && ctx.Err() == nil {
		c.rankCandidates()
		c.req.reason = reasonEarliestAfterWait
		first, second := c.nextUntried()
		if first == "" {
			break
		}
		res, final := c.waitAt(ctx, first, second)
		if final {
			return res, true
		}
		c.noteRefusal(res.refusal)
	}
	return refusalResult(c.finalRefusal(ctx)), false
}

// waitAt queues the request at first, and reserves capacity at second if late
// binding is enabled and within its rate.
func (c *candidateSearch) waitAt(ctx context.Context, first, second usher.EndpointName) (result, bool) {
	if second != "" && c.entry.options.LateBinding && c.entry.reservationLimiter.Allow() {
		return c.waitWithReservation(ctx, first, second)
	}
	c.markTried(first)
	return c.entry.offer(ctx, c.req, first, true, 0)
}

// nextUntried returns the two best candidates that were not tried yet.
func (c *candidateSearch) nextUntried() (first, second usher.EndpointName) {
	for _, candidate := range c.req.candidates {
		switch {
		case c.wasTried(candidate.Endpoint):
		case first == "":
			first = candidate.Endpoint
		default:
			return first, candidate.Endpoint
		}
	}
	return first, ""
}

func (c *candidateSearch) wasTried(endpoint usher.EndpointName) bool {
	for _, name := range c.tried[:c.triedCount] {
		if name == endpoint {
			return true
		}
	}
	return false
}

func (c *candidateSearch) markTried(endpoint usher.EndpointName) {
	if c.triedCount < maxTriedEndpoints {
		c.tried[c.triedCount] = endpoint
		c.triedCount++
	}
}

func (c *candidateSearch) noteRefusal(refusal *usher.Refusal) {
	if refusal == nil {
		return
	}
	c.overloaded = c.overloaded || refusal.Kind == usher.RefusalOverloaded
	c.deadlineUnreachable = c.deadlineUnreachable || refusal.Kind == usher.RefusalDeadlineExceeded
	c.leaving = c.leaving || refusal.Kind == usher.RefusalLeaving
}

// isTooLate reports whether no endpoint can end the request before this process stops.
func (c *candidateSearch) isTooLate() bool { return c.leaving && c.entry.stop.hasBegun() }

// finalRefusal returns the refusal of a request that no endpoint took.
func (c *candidateSearch) finalRefusal(ctx context.Context) *usher.Refusal {
	switch {
	case ctx.Err() != nil:
		return usher.NewRefusal(contextRefusalKind(ctx), "the request ended before an endpoint took it")
	case c.isTooLate():
		return usher.NewRefusal(usher.RefusalLeaving, "no endpoint can end the request before the instance stops")
	case c.overloaded:
		return usher.NewRefusal(usher.RefusalOverloaded, "every endpoint is full and keeps no less urgent work").WithRetryAfter(overloadedRetryAfter)
	case c.deadlineUnreachable:
		return usher.NewRefusal(usher.RefusalDeadlineExceeded, "no endpoint can end the request before its deadline")
	default:
		return usher.NewRefusal(usher.RefusalNoEndpoint, "no endpoint can be reached").WithRetryAfter(time.Second)
	}
}
