package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertusher/pkg/usher"
)

// Demand is how many places the callers of one instance would fill, by rank.
type Demand [ranks]float64

// News is what one instance tells the others of the endpoints they share.
type News struct {
	Loads  map[usher.EndpointName]Load
	Demand map[usher.ServiceName]Demand
}

// peer is what is known of another instance.
type peer struct {
	news News
	// silent is set while it is not heard from, seen when it last was.
	silent bool
	seen   time.Time
}

const (
	// settleEvery is how often the parts of the instances are worked out anew.
	settleEvery = 100 * time.Millisecond
	// silentMemory is the time constant with which the demand of an instance
	// that is not heard from is forgotten.
	silentMemory = 3 * time.Second
	// leastDemand is what an instance without callers counts for, in places, so
	// that its first ones find one.
	leastDemand = 1.0
	// partLearning is the weight of newly worked out parts.
	partLearning = 0.25
	// firstDuration is how long a request is taken to last until one has ended.
	firstDuration = 500 * time.Millisecond
)

// SetEndpoints tells which endpoints of a service may get requests. What was
// learned of an endpoint stays as long as its incarnation.
func (s *Scheduler) SetEndpoints(name usher.ServiceName, spec Spec, registrations []usher.Registration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.service(name)
	v.spec = spec
	listed := make(map[usher.EndpointName]bool, len(registrations))
	for _, r := range registrations {
		listed[r.Name] = true
		e := v.engines[r.Name]
		if e == nil || e.Born != r.Born || e.Address != r.Address {
			e = newEngine(r)
			e.order = orderOf(s.members, r.Name)
			v.engines[r.Name] = e
		}
		e.Registration = r
	}
	for name := range v.engines {
		if !listed[name] {
			delete(v.engines, name)
		}
	}
	now := s.options.Now()
	s.settle(now)
	s.match(v, now)
}

// SetMembers tells which instances share the endpoints, this one included.
func (s *Scheduler) SetMembers(members []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sorted := slices.Sorted(slices.Values(members))
	if !slices.Equal(sorted, s.members) {
		s.members = sorted
		for _, v := range s.services {
			for name, e := range v.engines {
				e.order = orderOf(s.members, name)
			}
		}
	}
	for name := range s.peers {
		if !slices.Contains(s.members, name) {
			delete(s.peers, name)
		}
	}
	s.settle(s.options.Now())
}

// Heard takes in the news of another instance.
func (s *Scheduler) Heard(name string, news News) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	old := s.peers[name]
	s.peers[name] = &peer{news: news, seen: now}
	if now.Sub(s.settled) >= settleEvery {
		s.settle(now)
	} else {
		if old != nil {
			s.countLoads(old.news.Loads, -1, now)
		}
		s.countLoads(news.Loads, 1, now)
		s.stretch()
	}
	for _, v := range s.services {
		if v.line.len() > 0 {
			s.match(v, now)
		}
	}
}

// Silent notes that an instance is no longer heard from. What it had under way
// is not counted any more; its part shrinks slowly, as it may only be cut off.
func (s *Scheduler) Silent(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.peers[name]; p != nil {
		p.silent, p.news.Loads = true, nil
	}
	s.settle(s.options.Now())
}

// News returns what the others should know of this instance.
func (s *Scheduler) News() News {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	news := News{Loads: make(map[usher.EndpointName]Load), Demand: make(map[usher.ServiceName]Demand)}
	for _, v := range s.services {
		for name, e := range v.engines {
			if load := e.told(now); load != (Load{}) {
				news.Loads[name] = load
			}
		}
		if demand := v.demand(now); demand.sum() > 0 {
			news.Demand[v.name] = demand
		}
	}
	return news
}

// demand returns how many places the requests that come here would fill.
func (v *service) demand(now time.Time) Demand {
	var d Demand
	for rank := range d {
		d[rank] = v.arrivals[rank].perSecond(now) * v.duration(rank).Seconds()
	}
	return d
}

func (d Demand) sum() float64 {
	sum := 0.0
	for _, places := range d {
		sum += places
	}
	return sum
}

// lasted learns how long requests of a rank take.
func (v *service) lasted(rank int, took time.Duration) {
	v.durations[rank] = v.duration(rank) + time.Duration(float64(took-v.duration(rank))*learning/4)
}

func (v *service) duration(rank int) time.Duration {
	if v.durations[rank] == 0 {
		return firstDuration
	}
	return v.durations[rank]
}

// settle works out what the others have at each endpoint, and which part of
// its places belongs to this instance. It needs the lock.
func (s *Scheduler) settle(now time.Time) {
	s.settled = now
	s.addLoads()
	self := slices.Index(s.members, s.options.Self)
	for _, v := range s.services {
		demands := s.demands(v, now)
		places := 0
		for _, e := range v.engines {
			places += e.slots(v.spec)
		}
		parts := v.smooth(divide(demands, float64(places)))
		for _, e := range v.engines {
			e.entitled = entitled(parts, e.order, self, e.slots(v.spec))
		}
	}
}

// smooth follows the parts slowly. Instances work them out at different moments
// from news of different age, and a place that two of them count as theirs is
// filled twice.
func (v *service) smooth(parts []float64) []float64 {
	if len(v.parts) != len(parts) {
		v.parts = parts
		return parts
	}
	for i := range parts {
		v.parts[i] += (parts[i] - v.parts[i]) * partLearning
	}
	return v.parts
}

// addLoads counts anew what the others have at each endpoint.
func (s *Scheduler) addLoads() {
	now := s.options.Now()
	for _, v := range s.services {
		for _, e := range v.engines {
			e.others, e.heard = Load{}, hearsay{}
		}
	}
	for _, p := range s.peers {
		s.countLoads(p.news.Loads, 1, now)
	}
	s.stretch()
}

// countLoads adds the loads of one instance, or takes them out with a sign of -1.
func (s *Scheduler) countLoads(loads map[usher.EndpointName]Load, sign int, now time.Time) {
	for name, load := range loads {
		for _, v := range s.services {
			if e := v.engines[name]; e != nil {
				e.others.Running += sign * load.Running
				e.others.Prefill += usher.Tokens(sign) * load.Prefill
				e.heard.add(&load, sign)
				e.believe(now)
			}
		}
	}
}

// stretch works out how far this instance may go at each endpoint until the next
// news of the others.
func (s *Scheduler) stretch() {
	for _, v := range s.services {
		for _, e := range v.engines {
			free := max(0, e.slots(v.spec)-e.own.Running-e.others.Running)
			e.reach = e.own.Running + free/len(s.members)
		}
	}
}

// demands returns the demand of each member, in the order of the members.
func (s *Scheduler) demands(v *service, now time.Time) []Demand {
	demands := make([]Demand, len(s.members))
	for i, member := range s.members {
		if member == s.options.Self {
			demands[i] = v.demand(now)
			continue
		}
		p := s.peers[member]
		if p == nil {
			continue
		}
		demands[i] = p.news.Demand[v.name]
		if p.silent {
			left := math.Exp(-now.Sub(p.seen).Seconds() / silentMemory.Seconds())
			for rank := range demands[i] {
				demands[i][rank] *= left
			}
		}
	}
	return demands
}

// divide returns the part of all places that belongs to each member. Places go
// to the most urgent demand first, wherever it is; the rank for which they no
// longer suffice is served in proportion. Places that nobody asks for are
// divided evenly.
func divide(demands []Demand, places float64) []float64 {
	parts := make([]float64, len(demands))
	left := places
	give := func(want func(Demand) float64) {
		sum := 0.0
		for i := range demands {
			sum += want(demands[i])
		}
		if sum <= 0 || left <= 0 {
			return
		}
		share := min(1, left/sum)
		for i := range demands {
			parts[i] += share * want(demands[i])
		}
		left -= share * sum
	}
	give(func(Demand) float64 { return leastDemand })
	for rank := range ranks {
		give(func(d Demand) float64 { return d[rank] })
	}
	for i := range parts {
		parts[i] += left / float64(len(parts))
		parts[i] /= max(places, 1)
	}
	return parts
}

// orderOf returns the members in an order of the endpoint's own. With it every
// instance rounds the parts of an endpoint's places alike without asking, and
// no instance is rounded down everywhere.
func orderOf(members []string, endpoint usher.EndpointName) []int {
	weights := make([]uint64, len(members))
	order := make([]int, len(members))
	for i, member := range members {
		order[i] = i
		weights[i] = xxhash.Sum64String(member + "\x00" + string(endpoint))
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(weights[a], weights[b]) })
	return order
}

// entitled returns the whole places of an endpoint that belong to a member. The
// parts are laid end to end and cut at whole places, so that all add up.
func entitled(parts []float64, order []int, self, slots int) int {
	if self < 0 {
		return slots
	}
	from := 0.0
	for _, member := range order {
		to := from + parts[member]*float64(slots)
		if member == self {
			return int(math.Round(to)) - int(math.Round(from))
		}
		from = to
	}
	return slots
}
