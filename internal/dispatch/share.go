package dispatch

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"filbertusher/pkg/usher"
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
			v.engines[r.Name] = e
		}
		e.Registration = r
	}
	for name := range v.engines {
		if !listed[name] {
			delete(v.engines, name)
		}
	}
	s.settle()
	s.match(v, s.options.Now())
}

// SetMembers tells which instances share the endpoints, this one included.
func (s *Scheduler) SetMembers(members []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members = slices.Sorted(slices.Values(members))
	for peer := range s.peers {
		if !slices.Contains(s.members, peer) {
			delete(s.peers, peer)
		}
	}
	s.settle()
}

// Heard takes in what another instance has under way.
func (s *Scheduler) Heard(peer string, loads map[usher.EndpointName]Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers[peer] = loads
	s.settle()
	for _, v := range s.services {
		if v.line.len() > 0 {
			s.match(v, s.options.Now())
		}
	}
}

// Silent forgets the load of an instance that is no longer heard from.
func (s *Scheduler) Silent(peer string) { s.Heard(peer, nil) }

// Loads returns what this instance has under way.
func (s *Scheduler) Loads() map[usher.EndpointName]Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	loads := make(map[usher.EndpointName]Load)
	for _, v := range s.services {
		for name, e := range v.engines {
			if e.own.Running > 0 {
				loads[name] = e.own
			}
		}
	}
	return loads
}

// settle works out what the others have at each endpoint, and the part of its
// places that belongs to this instance. It needs the lock.
func (s *Scheduler) settle() {
	for _, v := range s.services {
		for name, e := range v.engines {
			e.others = Load{}
			for _, loads := range s.peers {
				e.others.Running += loads[name].Running
				e.others.Prefill += loads[name].Prefill
			}
			e.entitled = entitled(s.members, s.options.Self, name, e.slots(v.spec))
		}
	}
}

// entitled divides the places of an endpoint evenly. Those left over go to the
// instances that come first in an order of the endpoint's own, so that every
// instance works out the same without asking.
func entitled(members []string, self string, endpoint usher.EndpointName, slots int) int {
	if len(members) == 0 {
		return slots
	}
	even, over := slots/len(members), slots%len(members)
	order := slices.Clone(members)
	weight := func(member string) uint64 { return xxhash.Sum64String(member + "\x00" + string(endpoint)) }
	slices.SortFunc(order, func(a, b string) int { return cmp.Compare(weight(a), weight(b)) })
	if at := slices.Index(order, self); at >= 0 && at < over {
		return even + 1
	}
	return even
}
