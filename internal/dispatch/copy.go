package dispatch

import (
	"net"
	"slices"
	"time"

	"filbertusher/pkg/usher"
)

// maxCopyLoad is the fraction of a service's slots in use above which no copies of requests
// are sent. The remaining slots are left to requests that have none yet.
const maxCopyLoad = 0.85

// CopyRefusal is why a copy of a request gets no endpoint, or "".
type CopyRefusal string

// The causes of such refusals.
const (
	// CopyWaiting means that requests wait, which go before copies.
	CopyWaiting CopyRefusal = "waiting"
	// CopyBusy means that too many of the slots are in use.
	CopyBusy CopyRefusal = "busy"
	// CopyStopping means that this instance stops before the copy could end.
	CopyStopping CopyRefusal = "stopping"
	// CopyNoEndpoint means that no other endpoint has a free slot.
	CopyNoEndpoint CopyRefusal = "noEndpoint"
	// CopyNotSooner means that the best other endpoint is not expected to respond soon.
	CopyNotSooner CopyRefusal = "notSooner"
)

// TryAdmitCopy admits a copy of a request that runs at first, at another endpoint and, if
// possible, on another machine. The endpoint has to be expected to send the first event
// within the given time. Copies never wait, and are not admitted while requests do.
func (s *Scheduler) TryAdmitCopy(request *Request, first *usher.Registration, within time.Duration) (*Grant, CopyRefusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	svc, now := s.service(request.Service), s.options.Now()
	switch {
	case svc.queue.len() > 0:
		return nil, CopyWaiting
	case !s.canFinish(svc, request, now):
		return nil, CopyStopping
	case svc.load() > maxCopyLoad:
		return nil, CopyBusy
	}
	elsewhere := *request
	elsewhere.Tried = append(slices.Clone(request.Tried), svc.onMachine(machineOf(first))...)
	e := s.bestEndpoint(svc, &elsewhere, now)
	if e == nil {
		e = s.bestEndpoint(svc, request, now)
	}
	if e == nil {
		return nil, CopyNoEndpoint
	}
	tokens := max(0, request.Prompt-svc.prefixes.cachedTokens(request.Prefix, e.Name))
	if e.timeToFirstEvent(svc, tokens, now) > within {
		return nil, CopyNotSooner
	}
	return s.newGrant(svc, e, request, now), ""
}

// load returns the fraction of the service's slots that are in use by all instances.
func (svc *service) load() float64 {
	used, slots := 0, 0
	for _, e := range svc.endpoints {
		used += e.own.Running + e.others.Running
		slots += e.slotCount(svc.spec)
	}
	return float64(used) / float64(max(1, slots))
}

// onMachine returns the endpoints on a machine.
func (svc *service) onMachine(machine string) (names []usher.EndpointName) {
	for _, e := range svc.endpoints {
		if machineOf(&e.Registration) == machine {
			names = append(names, e.Name)
		}
	}
	return names
}

// machineOf returns the host of the endpoint's address, which tells machines apart.
func machineOf(r *usher.Registration) string {
	host, _, err := net.SplitHostPort(r.Address)
	if err != nil {
		return r.Address
	}
	return host
}

// UncachedPrompt returns the number of prompt tokens that the endpoint is expected to read.
func (g *Grant) UncachedPrompt() usher.Tokens { return g.prompt }

// Work returns the work that the endpoint does until the first event, as the time that it takes
// an average one: to read the prompt, or all that a plain service does.
func (g *Grant) Work() time.Duration {
	g.scheduler.mu.Lock()
	defer g.scheduler.mu.Unlock()
	if !g.service.spec.Engine {
		return baseFirstEvent
	}
	return time.Duration(g.prompt) * basePrefillPerToken
}

// PredictedFirstEvent returns the time to the first event at an average endpoint that is idle.
func (g *Grant) PredictedFirstEvent() time.Duration {
	g.scheduler.mu.Lock()
	defer g.scheduler.mu.Unlock()
	if !g.service.spec.Engine {
		return baseFirstEvent
	}
	return baseFirstEvent + time.Duration(g.prompt)*basePrefillPerToken
}

// Overdue records that the first event has not arrived yet, which is all that is known of a
// request that is cancelled for its copy.
func (g *Grant) Overdue() {
	s := g.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	if g.firstEventSeen || g.ended {
		return
	}
	e, now := g.endpoint, s.options.Now()
	expected := max(g.expected, time.Millisecond)
	if ratio := e.currentRatio(g.sent) * float64(now.Sub(g.sent)) / float64(expected); ratio > e.currentRatio(now) {
		e.recordRatio(min(maxRatio, ratio), now)
	}
}
