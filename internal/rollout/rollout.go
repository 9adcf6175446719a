// Package rollout decides how the traffic of a service moves to the endpoints of another
// software version on an operator's order, and when it moves back. Only gateway instances
// use it.
//
// The endpoints of a service are split in two pools: the current ones, and the candidates,
// which run the ordered version. From an order on, each instance sends the candidates a
// small share of its own requests, so that the bound on the share holds for all instances
// together without a message between them. Instances tell each other how the candidates
// answered, compared with the current endpoints.
package rollout

import (
	"sync"
	"time"

	"filbertusher/internal/boottime"
	"filbertusher/pkg/usher"
)

// Bounds are the limits that the platform sets for rollouts.
type Bounds struct {
	// ExposureShare is the largest fraction of a service's requests that may reach a bad
	// version, and ExposureSlack the number of requests that may reach it in addition.
	ExposureShare float64
	ExposureSlack float64
	// RollbackDelay is the time after which a bad version may get no more requests, since
	// its 50th bad answer.
	RollbackDelay time.Duration
}

// Options are the settings of a Table. Now defaults to boottime.Now.
type Options struct {
	Self   string
	Bounds Bounds
	Now    func() boottime.Time
}

// Table holds the rollouts of all services. It is safe for concurrent use.
type Table struct {
	mu            sync.Mutex
	options       Options
	instances     int
	sequence      uint64
	services      map[usher.ServiceName]*service
	peers         map[string]*peer
	poolsOutdated bool
}

// service is what is known of one service, with and without an order.
type service struct {
	traffic map[usher.SoftwareVersion]*traffic
	// completed is the target of the last completed order. incumbent is the version that
	// was in force when the endpoints were first known.
	completed, incumbent       usher.SoftwareVersion
	hasCompleted, hasIncumbent bool
	// rejected are the versions that were rolled back, with the version of the order.
	rejected map[usher.SoftwareVersion]usher.Version
	order    *order
}

// traffic counts the attempts at the endpoints of one version.
type traffic struct{ sent, ended uint64 }

// New returns a table without orders. Until the first call of SetOrders no order is known,
// and no endpoint is a candidate.
func New(options Options) *Table {
	if options.Now == nil {
		options.Now = boottime.Now
	}
	return &Table{
		options: options, instances: 1,
		services: make(map[usher.ServiceName]*service),
		peers:    make(map[string]*peer),
	}
}

// SetInstanceCount sets how many instances share the bounds, including this one.
func (t *Table) SetInstanceCount(instances int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.instances = max(1, instances)
	for _, s := range t.services {
		if s.order != nil {
			s.order.exposure.instances = max(s.order.exposure.instances, t.instances)
		}
	}
}

// Choose reports whether the next attempt of a request should go to a candidate, and
// charges it to the exposure if so. The caller must call Uncharge if it sends nothing.
func (t *Table) Choose(name usher.ServiceName, route usher.RouteName) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	if s == nil || s.order == nil {
		return false
	}
	o, now := s.order, t.options.Now()
	switch {
	case o.candidates == 0:
		return false
	case o.stage == stageHandingOver:
		return o.isRamping(now) && o.exposure.chooseRamp()
	case o.stage != stageObserving, o.isLearning(now), o.isIsolated, o.age(now) >= o.duration():
		return false
	default:
		return o.exposure.choose(route, o.boost(now))
	}
}

// Uncharge takes back the charge of Choose for an attempt that was not sent.
func (t *Table) Uncharge(name usher.ServiceName, _ usher.RouteName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.services[name]; s != nil && s.order != nil {
		s.order.exposure.uncharge()
	}
}

// Answer is how an endpoint answered one attempt.
type Answer struct {
	Service  usher.ServiceName
	Route    usher.RouteName
	Endpoint usher.EndpointName
	Software usher.SoftwareVersion
	// Failed is set if the endpoint failed the attempt: an error status, or an answer that
	// is missing or incomplete. An attempt that the caller or the instance ended is not an
	// answer.
	Failed bool
	// FirstEvent is the time from sending to the first event or the response's header, and
	// Duration that to the end. Events is how many events arrived. Prompt and Completion
	// are the request's expected tokens.
	FirstEvent, Duration time.Duration
	Events               int
	Prompt, Completion   usher.Tokens
}

// Sent records that an attempt was sent to an endpoint of a service, at any version, and
// Ended that it ended, whether or not there was an answer. Together they tell what still
// runs at the current endpoints.
func (t *Table) Sent(name usher.ServiceName, software usher.SoftwareVersion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(name)
	s.trafficOf(software).sent++
	if o := s.order; o != nil {
		o.exposure.sent(software == o.Target)
		o.evidence.side(software == o.Target).Sent++
	}
}

// Unsent records that an attempt that Sent counted reached no endpoint, so that it earns no
// exposure.
func (t *Table) Unsent(name usher.ServiceName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.services[name]; s != nil && s.order != nil {
		s.order.exposure.unanswered()
	}
}

// Ended is the counterpart of Sent.
func (t *Table) Ended(name usher.ServiceName, software usher.SoftwareVersion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(name)
	s.trafficOf(software).ended++
	if o := s.order; o != nil {
		o.evidence.side(software == o.Target).Ended++
	}
}

// Observe records an answer.
func (t *Table) Observe(answer Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[answer.Service]
	if s == nil || s.order == nil {
		return
	}
	o, now := s.order, t.options.Now()
	if answer.Failed && answer.FirstEvent == 0 {
		o.exposure.unanswered()
	}
	if o.isTerminal() {
		return
	}
	isSuspect := o.observe(now, answer)
	if isSuspect && now.Sub(o.judgedAt) >= judgeInterval {
		t.judge(answer.Service, s, now)
	}
}

func (t *Table) service(name usher.ServiceName) *service {
	s := t.services[name]
	if s == nil {
		s = &service{
			traffic:  make(map[usher.SoftwareVersion]*traffic),
			rejected: make(map[usher.SoftwareVersion]usher.Version),
		}
		t.services[name] = s
	}
	return s
}

func (s *service) trafficOf(software usher.SoftwareVersion) *traffic {
	v := s.traffic[software]
	if v == nil {
		v = &traffic{}
		s.traffic[software] = v
	}
	return v
}

// runningBeside returns how many attempts run at endpoints of other versions than target.
func (s *service) runningBeside(target usher.SoftwareVersion) int {
	var running int
	for software, v := range s.traffic {
		if software != target {
			running += int(v.sent) - int(v.ended)
		}
	}
	return max(0, running)
}
