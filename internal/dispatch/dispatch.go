// Package dispatch schedules requests onto endpoints: it decides which request is
// sent to which endpoint and when, and which requests are refused. Only gateway
// instances use it; in this package, an instance is always one of them.
//
// Inference engines have no priorities and process requests in arrival order, so
// the scheduler sends an engine no more requests than it runs concurrently. The
// remaining requests wait in a queue of the scheduler, where they can still be
// reordered:
//
//	an endpoint has a free slot -> send the most urgent request that can use it
//	no free slot                -> wait while the target can still be met, then
//	                               refuse; the request is known not to have run
//
// Several instances send to the same engines. Each instance is guaranteed a share
// of an engine's slots, and may also use slots that the other instances leave
// free, according to the load that they report.
package dispatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"filbertusher/pkg/usher"
)

// Request is a caller's request that is to be sent to an endpoint.
type Request struct {
	ID      usher.RequestID
	Service usher.ServiceName
	// Route is the route that the request was received on. Requests of one route are
	// of the same kind.
	Route usher.RouteName
	Rank  usher.Rank
	// Prompt and Answer are the expected lengths in tokens. Both are zero for
	// requests to plain services.
	Prompt usher.Tokens
	Answer usher.Tokens
	Prefix []usher.PromptPart
	// Arrived is when the caller's request was accepted, Target is when the first
	// event of the answer is due, and Deadline is when the answer becomes useless to
	// the caller.
	Arrived  time.Time
	Target   time.Time
	Deadline time.Time
	// Started marks a request that an endpoint has already begun: the remainder of
	// a stream whose beginning the caller has received, or a request whose endpoint
	// stopped responding.
	Started bool
	// Resumable marks a stream that its caller can take up at another instance, so that what
	// was answered is not lost when this one stops.
	Resumable bool
	// Tried lists the endpoints that the request was already sent to.
	Tried []usher.EndpointName
	// Software restricts the request to endpoints with that software version; nil allows
	// any.
	Software *usher.SoftwareVersion
}

// mayUse reports whether the request may be sent to the endpoint at all.
func (r *Request) mayUse(e *endpoint) bool {
	return (r.Software == nil || *r.Software == e.Software) && !slices.Contains(r.Tried, e.Name)
}

// Options are the settings of a scheduler. Zone is the availability zone of this
// instance. Now returns the current time; it defaults to time.Now.
type Options struct {
	Zone usher.AvailabilityZone
	// Self is the name of this instance among those that share the endpoints.
	Self string
	// ZoneCostPerKiB is how much later a request may finish so that a KiB of it and its
	// answer stays in the zone.
	ZoneCostPerKiB time.Duration
	Now            func() time.Time
	// OnGrant is called with the endpoint of each grant, and OnEnd when the grant ends. Both
	// may be nil. They must not call the scheduler, which holds its lock: an endpoint that
	// SetEndpoints leaves out gets no grant that OnGrant was not called for before.
	OnGrant, OnEnd func(endpoint *usher.Registration)
}

// ServiceSpec holds the properties of a service that the scheduler needs. Engine is
// set for inference engines, and unset for plain services. Slots is the number of
// requests that an endpoint runs concurrently, unless its registration has a number
// of its own. TokensPerEvent is the number of tokens in each event of a stream.
// MaxConnections is the number of connections that an endpoint accepts from all instances
// together; zero means no limit. GapTarget is the shortest latency objective between two
// events of the service's streams; zero means that there is none.
type ServiceSpec struct {
	Engine         bool
	Slots          int
	TokensPerEvent int
	MaxConnections int
	GapTarget      time.Duration
}

// Scheduler assigns requests to the endpoints of all services on behalf of one
// instance. It is safe for concurrent use.
type Scheduler struct {
	options Options

	mu       sync.Mutex
	members  []string
	services map[usher.ServiceName]*service
	peers    map[string]*peer
	// sharesUpdated is when the shares of the instances were last computed.
	sharesUpdated time.Time
	// ticking is set while a goroutine polls the queues.
	ticking bool
	// stopAt is when this instance stops. It is zero until StopAt is called.
	stopAt time.Time
}

// service holds the endpoints and the waiting requests of one service.
type service struct {
	name      usher.ServiceName
	spec      ServiceSpec
	endpoints map[usher.EndpointName]*endpoint
	// pauses are until when incarnations of endpoints want no requests from this
	// instance. They outlast a registration that vanishes and comes back.
	pauses    map[incarnation]time.Time
	queue     waitQueue
	grantRate rate
	// arrivalRates are the arrival rates of requests by rank.
	arrivalRates [ranks]rate
	// meanDurations are the mean times from grant to end of answered requests by
	// rank. Zero means that none has ended yet.
	meanDurations [ranks]time.Duration
	// running is the number of this instance's requests at all endpoints, and slotTime
	// the mean time from grant to end of all that were answered.
	running  int
	slotTime time.Duration
	// shares are the fractions of all slots that belong to each member, in the
	// order of Scheduler.members.
	shares   []float64
	routes   map[usher.RouteName]*routeStats
	prefixes *prefixTable
	// prefill is learned from the answers of all engines, and meanInterval is their mean time
	// between two events.
	prefill      prefillModel
	meanInterval time.Duration
	counts       counts
}

// counts are the counters of one service in the diagnostic dump: the requests that
// were granted a slot, those of them that had to wait, those that were refused to
// shed load, and those that were refused at their wait deadline. heldBack counts the decisions
// to leave a slot to another request, because a long prompt would delay the streams there.
type counts struct{ granted, waited, refused, expired, heldBack int64 }

// Load is the load that one instance has at an endpoint. Running is the number of
// requests in flight.
type Load struct {
	Running int
	// Prefill is the number of prompt tokens in requests without a first event.
	Prefill usher.Tokens
	// PaceMS is the time between two events of a stream in milliseconds, and
	// RatioPercent the measured time to first event in percent of the model's
	// prediction. Both are zero unless the instance has measured them itself
	// recently.
	PaceMS, RatioPercent int
}

// New returns a scheduler without endpoints.
func New(options Options) *Scheduler {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Scheduler{
		options: options, members: []string{options.Self},
		services: make(map[usher.ServiceName]*service),
		peers:    make(map[string]*peer),
	}
}

// tickInterval is how often the queues are polled while requests wait.
const tickInterval = 10 * time.Millisecond

// Admit waits until the request may be sent to an endpoint. The caller must end
// the grant. The error is a *usher.Refusal, or the cause of ctx if that ended
// first.
func (s *Scheduler) Admit(ctx context.Context, request *Request) (*Grant, error) {
	w := &waiter{request: request, decided: make(chan decision, 1)}
	s.mu.Lock()
	now := s.options.Now()
	s.enqueue(w, now)
	s.startTicking()
	s.mu.Unlock()
	select {
	case d := <-w.decided:
		return d.grant, d.err()
	case <-ctx.Done():
		s.dequeue(w)
		// The request may have been granted in the meantime.
		select {
		case d := <-w.decided:
			if d.grant != nil {
				d.grant.End(Cancelled)
			}
		default:
		}
		return nil, context.Cause(ctx)
	}
}

// TryAdmit admits the request if a slot is free and no request of the service waits.
// Otherwise it returns nil.
func (s *Scheduler) TryAdmit(request *Request) *Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	svc, now := s.service(request.Service), s.options.Now()
	if svc.queue.len() > 0 || !s.canFinish(svc, request, now) {
		return nil
	}
	e := s.bestEndpoint(svc, request, now)
	if e == nil {
		return nil
	}
	return s.newGrant(svc, e, request, now)
}

// enqueue adds a new request to the queue of its service, then assigns free slots
// and sheds load. The caller must hold s.mu.
func (s *Scheduler) enqueue(w *waiter, now time.Time) {
	svc := s.service(w.request.Service)
	w.enqueued = now
	svc.arrivalRates[rankOf(w)].add(now)
	if len(svc.endpoints) == 0 {
		w.waitDeadline = now.Add(noEndpointWait)
	} else {
		w.waitDeadline = s.waitDeadline(svc, w.request, now)
	}
	if svc.isBlockedByPauses(w, now) {
		svc.counts.refused++
		w.decided <- decision{refusal: s.refuse(svc, w.request, now, pausedMessage)}
		return
	}
	if !s.canFinish(svc, w.request, now) {
		svc.counts.refused++
		w.decided <- decision{refusal: unfinishableRefusal()}
		return
	}
	svc.prioritize(w, now)
	if svc.queue.len() == 0 {
		// Serve a late request rather than leave a slot idle that no other request
		// is waiting for.
		w.waitDeadline = maxTime(w.waitDeadline, now.Add(tickInterval))
	}
	svc.queue.add(w)
	s.assignSlots(svc, now)
	s.shedLoad(svc, rankOf(w), now)
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (s *Scheduler) dequeue(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service(w.request.Service).queue.remove(w)
}

func (s *Scheduler) service(name usher.ServiceName) *service {
	svc := s.services[name]
	if svc == nil {
		svc = &service{
			name: name, endpoints: make(map[usher.EndpointName]*endpoint), pauses: make(map[incarnation]time.Time),
			routes: make(map[usher.RouteName]*routeStats), prefixes: newPrefixTable(),
		}
		if of, isPool := candidatesOf(name); isPool {
			// What is known of an endpoint holds in either pool.
			main := s.service(of)
			svc.pauses, svc.prefixes = main.pauses, main.prefixes
		}
		s.services[name] = svc
	}
	return svc
}

// assignSlots refuses the requests that have waited for too long or can't be finished, and
// assigns free slots to the others. The caller must hold s.mu.
func (s *Scheduler) assignSlots(svc *service, now time.Time) {
	s.refuseExpired(svc, now)
	s.refuseUnfinishable(svc, now)
	for svc.queue.len() > 0 {
		w, e := s.nextAssignment(svc, now)
		if w == nil || !svc.queue.remove(w) {
			return
		}
		svc.queue.noteGrant(w)
		svc.grantRate.add(now)
		svc.counts.granted++
		if now.Sub(w.enqueued) > tickInterval {
			svc.counts.waited++
		}
		w.decided <- decision{grant: s.newGrant(svc, e, w.request, now)}
	}
}

// nextAssignment returns the request to serve next and the best endpoint for it.
// A request that has tried all endpoints with a free slot does not block the
// requests behind it.
func (s *Scheduler) nextAssignment(svc *service, now time.Time) (*waiter, *endpoint) {
	if !s.canSendAny(svc, now) {
		return nil, nil
	}
	for w := range svc.queue.inOrder() {
		if e := s.bestEndpoint(svc, w.request, now); e != nil && !s.isWorthWaiting(svc, w, e, svc.queue.ahead, now) {
			return w, e
		}
	}
	return nil, nil
}

func (s *Scheduler) canSendAny(svc *service, now time.Time) bool {
	for _, e := range svc.endpoints {
		if s.canSend(svc, e, now) {
			return true
		}
	}
	return false
}

func (s *Scheduler) refuseExpired(svc *service, now time.Time) {
	for _, w := range svc.queue.expired(now) {
		s.refuseQueued(svc, w, now, &svc.counts.expired, "no endpoint had room in time")
	}
}

// refuseQueued refuses a request and counts it, if it is in the queue.
func (s *Scheduler) refuseQueued(svc *service, w *waiter, now time.Time, count *int64, message string) {
	if !svc.queue.remove(w) {
		return
	}
	*count++
	w.decided <- decision{refusal: s.refuse(svc, w.request, now, message)}
}

// startTicking starts polling the queues if requests wait and no goroutine polls
// them yet. The caller must hold s.mu.
func (s *Scheduler) startTicking() {
	if s.ticking || !s.anyWaiting() {
		return
	}
	s.ticking = true
	go s.pollQueues()
}

func (s *Scheduler) pollQueues() {
	// Returns once no request waits. The next one that has to wait starts a new
	// goroutine.
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for range ticker.C {
		s.mu.Lock()
		for _, svc := range s.services {
			s.assignSlots(svc, s.options.Now())
		}
		if !s.anyWaiting() {
			s.ticking = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
	}
}

func (s *Scheduler) anyWaiting() bool {
	for _, svc := range s.services {
		if svc.queue.len() > 0 {
			return true
		}
	}
	return false
}

// refuse returns the refusal of a request that was not sent.
func (s *Scheduler) refuse(svc *service, request *Request, now time.Time, message string) *usher.Refusal {
	kind := usher.RefusalOverloaded
	if len(svc.endpoints) == 0 {
		kind = usher.RefusalNoEndpoint
	}
	return usher.NewRefusal(kind, message).WithRetryAfter(max(s.retryAfter(svc, request, now), svc.retryAfterPause(request, now)))
}

const (
	// minRetryAfter is the shortest time after which a refused caller is asked to
	// retry, and minRetryJitter the shortest interval over which retries are spread.
	minRetryAfter  = 300 * time.Millisecond
	minRetryJitter = 1500 * time.Millisecond
	// maxRetryFraction is the longest time before a retry, as a fraction of the
	// time left until the request's deadline. overloadRetryFraction is the shortest
	// time before a retry if every request is refused, as a fraction of the longest
	// one.
	maxRetryFraction      = 1.0 / 3
	overloadRetryFraction = 0.7
)

// retryAfter returns how long a refused caller should wait before it retries. The
// larger the fraction of refused requests, the longer the overload will last, and
// a retry during the overload would be refused again. Random jitter keeps the
// refused callers from retrying all at the same time.
func (s *Scheduler) retryAfter(svc *service, request *Request, now time.Time) time.Duration {
	longest := time.Duration(float64(request.Deadline.Sub(now)) * maxRetryFraction)
	arriving := 0.0
	for rank := range ranks {
		arriving += svc.arrivalRates[rank].perSecond(now)
	}
	refused := 0.0
	if arriving > 0 {
		refused = max(0, 1-svc.grantRate.perSecond(now)/arriving)
	}
	earliest := time.Duration(refused * overloadRetryFraction * float64(longest))
	jitter := max(minRetryJitter, earliest/2)
	wait := earliest + time.Duration(rand.Float64()*float64(jitter))
	return max(minRetryAfter, min(wait, longest))
}
