package entry

import (
	"context"
	"time"

	"filbertusher/internal/pause"
	"filbertusher/pkg/usher"
)

const (
	// quickOffers is how many endpoints are asked whether they have room at
	// once before the request waits at one.
	quickOffers = 2
	// reachRounds is how often all endpoints are tried while none of them can
	// be reached, reachDelay apart: a process that has just started or got a
	// new configuration connects at the same time as it serves.
	reachRounds = 4
	reachDelay  = 50 * time.Millisecond
	// overloadedRetry is what callers of shed requests are told to wait.
	overloadedRetry = time.Second
)

// choice is a request on its way through its candidates. It holds what was
// learned on the way, so that no endpoint is asked twice for the same thing.
type choice struct {
	entry    *Entry
	accepted *request
	// overloaded and hopeless tell what endpoints refused it for; asked names
	// them.
	overloaded bool
	hopeless   bool
	asked      [maxAsked]usher.EndpointName
	count      int
}

// maxAsked bounds how many endpoints one request waits at, one after another.
const maxAsked = 16

// dispatchAny offers the request to its candidates: first to those that are
// expected to finish soonest, if they have room at once; then it waits at the
// best one, with a reservation at the second.
//
// An endpoint that refuses is crossed off and the next one is asked to keep
// the request. Each refuses only when it keeps no less urgent work, so the
// request is shed only when none that could serve it keeps any.
func (e *Entry) dispatchAny(ctx context.Context, accepted *request) result {
	c := &choice{entry: e, accepted: accepted}
	if !c.rank() {
		return refused(usher.NewRefusal(usher.RefusalNoEndpoint, "no endpoint serves the request").WithRetryAfter(time.Second))
	}
	for range quickOffers {
		best := accepted.candidates[0].Endpoint
		accepted.why = whyRoom
		got, final := e.offer(ctx, accepted, best, false, 0)
		if final {
			return got
		}
		// The reply told how things stand there.
		if !c.rank() || accepted.candidates[0].Endpoint == best {
			break
		}
	}
	for range reachRounds {
		got, final := c.wait(ctx)
		if final || c.overloaded || c.hopeless || ctx.Err() != nil {
			return got
		}
		c.count = 0
		pause.For(ctx, reachDelay)
	}
	return refused(c.shed(ctx))
}

// rank orders the candidates anew by what is known now.
func (c *choice) rank() bool {
	c.accepted.candidates = c.entry.Placer.Candidates(&c.accepted.RequestHeader, c.accepted.candidates)
	return len(c.accepted.candidates) > 0
}

// wait lets the request wait at the best endpoint that has not refused it yet,
// until one answers or all have refused.
func (c *choice) wait(ctx context.Context) (result, bool) {
	for c.count < maxAsked && ctx.Err() == nil {
		c.rank()
		c.accepted.why = whyWait
		first, second := c.open()
		if first == "" {
			break
		}
		got, final := c.waitAt(ctx, first, second)
		if final {
			return got, true
		}
		c.note(got.refusal)
	}
	return refused(c.shed(ctx)), false
}

// waitAt keeps the request at first, and crosses off what refused it.
func (c *choice) waitAt(ctx context.Context, first, second usher.EndpointName) (result, bool) {
	if second != "" && c.entry.options.LateDecision && c.entry.reservations.Allow() {
		return c.waitAtTwo(ctx, first, second)
	}
	c.crossOff(first)
	return c.entry.offer(ctx, c.accepted, first, true, 0)
}

// open returns the two best candidates that were not asked yet.
func (c *choice) open() (first, second usher.EndpointName) {
	for _, candidate := range c.accepted.candidates {
		switch {
		case c.wasAsked(candidate.Endpoint):
		case first == "":
			first = candidate.Endpoint
		default:
			return first, candidate.Endpoint
		}
	}
	return first, ""
}

func (c *choice) wasAsked(endpoint usher.EndpointName) bool {
	for _, asked := range c.asked[:c.count] {
		if asked == endpoint {
			return true
		}
	}
	return false
}

func (c *choice) crossOff(endpoint usher.EndpointName) {
	if c.count < maxAsked {
		c.asked[c.count] = endpoint
		c.count++
	}
}

func (c *choice) note(refusal *usher.Refusal) {
	if refusal == nil {
		return
	}
	c.overloaded = c.overloaded || refusal.Kind == usher.RefusalOverloaded
	c.hopeless = c.hopeless || refusal.Kind == usher.RefusalDeadline
}

// shed is the refusal of a request that no endpoint keeps.
func (c *choice) shed(ctx context.Context) *usher.Refusal {
	switch {
	case ctx.Err() != nil:
		return usher.NewRefusal(endOf(ctx), "the request ended before an endpoint took it")
	case c.overloaded:
		return usher.NewRefusal(usher.RefusalOverloaded, "every endpoint is full and keeps no less urgent work").WithRetryAfter(overloadedRetry)
	case c.hopeless:
		return usher.NewRefusal(usher.RefusalDeadline, "no endpoint can end the request before its deadline")
	default:
		return usher.NewRefusal(usher.RefusalNoEndpoint, "no endpoint can be reached").WithRetryAfter(time.Second)
	}
}
