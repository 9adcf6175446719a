// Package dispatch decides which requests go to which endpoint and when, and
// which are refused, for the instances that send to endpoints directly.
//
// Engines know no priorities and serve what they get in the order of arrival,
// so no more is sent to an engine than it runs at once. What is beyond that
// waits here, where it can still be ordered:
//
//	free place in an engine -> the most urgent request that can use it
//	no free place           -> wait while an answer on time is still possible,
//	                           then refuse, which is true: nothing was sent
//
// Several instances send to the same engines. Each has a fixed part of an
// engine's places, and may use those that the others leave free, as far as
// their news tell.
package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"filbertusher/pkg/usher"
)

// Ask is a request that wants an endpoint.
type Ask struct {
	ID      usher.RequestID
	Service usher.ServiceName
	Rank    usher.Rank
	// Prompt and Answer are the expected tokens; both are zero for requests to
	// plain services. MostAnswer is the longest answer that the caller takes.
	Prompt     usher.Tokens
	Answer     usher.Tokens
	MostAnswer usher.Tokens
	Prefix     []usher.PromptPart
	// Arrived is when the caller's request was accepted, Target by when its
	// answer should begin, and Deadline after when it is of no use.
	Arrived  time.Time
	Target   time.Time
	Deadline time.Time
	// Started requests have run in part: the rest of a stream whose beginning the
	// caller has, or a request whose endpoint has gone silent.
	Started bool
	// Tried are the endpoints that had the request already.
	Tried []usher.EndpointName
}

// Options are the settings of a scheduler.
type Options struct {
	Zone usher.AvailabilityZone
	// Self names this instance among those that share the endpoints.
	Self string
	Now  func() time.Time
}

// Spec is what the scheduler has to know of a service.
type Spec struct {
	Engine         bool
	Slots          int
	TokensPerEvent int
}

// Scheduler is the state of one process. It is safe for concurrent use.
type Scheduler struct {
	options Options

	mu       sync.Mutex
	members  []string
	services map[usher.ServiceName]*service
	peers    map[string]*peer
	// settled is when the parts of the instances were worked out.
	settled time.Time
	// ticking says that a goroutine looks after the requests that wait.
	ticking bool
}

// service is the endpoints of one service and what waits for them.
type service struct {
	name    usher.ServiceName
	spec    Spec
	engines map[usher.EndpointName]*engine
	line    line
	drain   rate
	// arrivals are how many requests of each rank come.
	arrivals [ranks]rate
	// durations are how long requests of each rank take, once granted.
	durations [ranks]time.Duration
	// parts are the parts of the places that belong to each member.
	parts []float64
	// sizes are the mean sizes of the requests of each rank.
	sizes  [ranks]float64
	prefix *prefixes
	counts counts
}

// counts are for the metrics.
type counts struct{ granted, waited, refused, expired int64 }

// Load is what one instance has under way at an endpoint.
type Load struct {
	Running int
	// Prefill is the prompt tokens of requests without a first event.
	Prefill usher.Tokens
	// PaceMS is the time between two events of a stream in milliseconds, and
	// RatioPercent how much longer first events take than the model says. Both are
	// zero unless the instance has seen them of late itself.
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

// tick is how often requests that wait are looked at when nothing happens.
const tick = 10 * time.Millisecond

// Admit waits until the request may be sent to an endpoint. The grant has to
// be ended. Errors are *usher.Refusal, or the cause of ctx when the caller left.
func (s *Scheduler) Admit(ctx context.Context, ask *Ask) (*Grant, error) {
	w := &waiter{ask: ask, decided: make(chan decision, 1)}
	s.mu.Lock()
	now := s.options.Now()
	s.enter(w, now)
	s.startTicking()
	s.mu.Unlock()
	select {
	case d := <-w.decided:
		return d.grant, d.refusal()
	case <-ctx.Done():
		s.leave(w)
		// The decision may have been made meanwhile.
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

// Try returns a place that is free now and that nobody waits for, or nil.
func (s *Scheduler) Try(ask *Ask) *Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, now := s.service(ask.Service), s.options.Now()
	if v.line.len() > 0 {
		return nil
	}
	e := s.best(v, ask, now)
	if e == nil {
		return nil
	}
	return s.grant(v, e, ask, now)
}

// enter decides on a new request, or lets it wait. It needs the lock.
func (s *Scheduler) enter(w *waiter, now time.Time) {
	v := s.service(w.ask.Service)
	w.entered = now
	v.arrivals[rankOf(w)].note(now)
	if len(v.engines) == 0 {
		w.patience = now.Add(absentPatience)
	} else {
		w.patience = s.patience(v, w.ask, now)
	}
	w.density = v.density(w.ask)
	if v.line.len() == 0 {
		// A place that nobody waits for serves a late request better than none.
		w.patience = maxTime(w.patience, now.Add(tick))
	}
	v.line.add(w)
	s.match(v, now)
	s.dismiss(v, rankOf(w), now)
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (s *Scheduler) leave(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service(w.ask.Service).line.remove(w)
}

func (s *Scheduler) service(name usher.ServiceName) *service {
	v := s.services[name]
	if v == nil {
		v = &service{name: name, engines: make(map[usher.EndpointName]*engine), prefix: newPrefixes()}
		s.services[name] = v
	}
	return v
}

// match gives free places to the requests that wait, and refuses those that
// have waited for too long. It needs the lock.
func (s *Scheduler) match(v *service, now time.Time) {
	s.expire(v, now)
	for v.line.len() > 0 {
		w, e := s.pair(v, now)
		if w == nil {
			return
		}
		v.line.remove(w)
		v.line.granted(w)
		v.drain.note(now)
		v.counts.granted++
		if now.Sub(w.entered) > tick {
			v.counts.waited++
		}
		w.decided <- decision{grant: s.grant(v, e, w.ask, now)}
	}
}

// pair returns the request to serve next and the best endpoint for it. A
// request that has tried all endpoints with a free place does not hold up
// those behind it.
func (s *Scheduler) pair(v *service, now time.Time) (*waiter, *engine) {
	if !s.anyRoom(v, now) {
		return nil, nil
	}
	for w := range v.line.inOrder() {
		if e := s.best(v, w.ask, now); e != nil {
			return w, e
		}
	}
	return nil, nil
}

func (s *Scheduler) anyRoom(v *service, now time.Time) bool {
	for _, e := range v.engines {
		if s.room(v, e, now) {
			return true
		}
	}
	return false
}

func (s *Scheduler) expire(v *service, now time.Time) {
	for _, w := range v.line.expired(now) {
		v.line.remove(w)
		v.counts.expired++
		w.decided <- decision{refused: s.refuse(v, w.ask, now, "no endpoint had room in time")}
	}
}

// startTicking needs the lock.
func (s *Scheduler) startTicking() {
	if s.ticking || !s.waiting() {
		return
	}
	s.ticking = true
	go s.look()
}

func (s *Scheduler) look() {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for range ticker.C {
		s.mu.Lock()
		for _, v := range s.services {
			s.match(v, s.options.Now())
		}
		if !s.waiting() {
			s.ticking = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
	}
}

func (s *Scheduler) waiting() bool {
	for _, v := range s.services {
		if v.line.len() > 0 {
			return true
		}
	}
	return false
}

// refuse returns the refusal of a request that was not sent.
func (s *Scheduler) refuse(v *service, ask *Ask, now time.Time, why string) *usher.Refusal {
	kind := usher.RefusalOverloaded
	if len(v.engines) == 0 {
		kind = usher.RefusalNoEndpoint
	}
	return usher.NewRefusal(kind, why).WithRetryAfter(s.comeBack(v, ask, now))
}

const (
	// leastReturn is the shortest time after which a refused caller is asked
	// back, and returnSpread the time over which returns are spread.
	leastReturn  = 300 * time.Millisecond
	returnSpread = 1500 * time.Millisecond
	// patientPart is the part of its time left up to which a caller can wait
	// before it comes back, and earliestPart how much of that passes at least when
	// nothing at all is served.
	patientPart  = 1.0 / 3
	earliestPart = 0.7
)

// comeBack returns when the caller should try again. The larger the part of the
// requests that is refused, the longer the overload will last, and one that comes
// back into it is refused again. Returns are spread, so that the refused don't
// come as a wave.
func (s *Scheduler) comeBack(v *service, ask *Ask, now time.Time) time.Duration {
	most := time.Duration(float64(ask.Deadline.Sub(now)) * patientPart)
	arriving := 0.0
	for rank := range ranks {
		arriving += v.arrivals[rank].perSecond(now)
	}
	refused := 0.0
	if arriving > 0 {
		refused = max(0, 1-v.drain.perSecond(now)/arriving)
	}
	earliest := time.Duration(refused * earliestPart * float64(most))
	spread := max(returnSpread, earliest/2)
	wait := earliest + time.Duration(rand.Float64()*float64(spread))
	return max(leastReturn, min(wait, most))
}
