package dispatch

import (
	"slices"
	"strings"

	"filbertusher/pkg/usher"
)

// candidatesSuffix distinguishes the pool of a service's candidates from the service.
const candidatesSuffix = "/candidates"

// CandidatePool returns the name under which the scheduler keeps the endpoints of a service
// that get part of its requests on trial during a rollout. To the scheduler, it is a service
// of its own, so that shares, queues and limits stay apart.
func CandidatePool(service usher.ServiceName) usher.ServiceName { return service + candidatesSuffix }

// candidatesOf returns the service whose candidates a pool holds, and whether it is such a pool.
func candidatesOf(pool usher.ServiceName) (service usher.ServiceName, isPool bool) {
	of, isPool := strings.CutSuffix(string(pool), candidatesSuffix)
	return usher.ServiceName(of), isPool
}

// SetPools sets the endpoints of a service and those of its candidates at once. What is known
// of an endpoint that moves between them is kept, with the requests that run there. Requests
// that wait for candidates are refused if there are none: no others may come.
func (s *Scheduler) SetPools(name usher.ServiceName, spec ServiceSpec, current, candidates []usher.Registration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	svc, pool := s.service(name), s.service(CandidatePool(name))
	s.addEndpoints(svc, spec, current)
	s.addEndpoints(pool, spec, candidates)
	svc.keepOnly(current)
	pool.keepOnly(candidates)
	s.endpointsChanged(svc)
	if len(candidates) == 0 {
		now := s.options.Now()
		for _, w := range slices.Collect(pool.queue.inOrder()) {
			s.refuseQueued(pool, w, now, &pool.counts.refused, "no endpoint is on trial any more")
		}
	}
}

// HasSoftware reports whether an endpoint of a service, or of a pool, runs a software version.
func (s *Scheduler) HasSoftware(service usher.ServiceName, software usher.SoftwareVersion) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	svc := s.services[service]
	if svc == nil {
		return false
	}
	for _, e := range svc.endpoints {
		if e.Software == software {
			return true
		}
	}
	return false
}

// isSame reports whether the registration is that of the endpoint's present incarnation.
func (e *endpoint) isSame(r *usher.Registration) bool {
	return e != nil && e.Born == r.Born && e.Address == r.Address
}

// takeFromOtherPool removes an endpoint from the other pool of its service and returns it, or
// nil if it is not there. Requests that run there stay counted. The caller must hold s.mu.
func (s *Scheduler) takeFromOtherPool(name usher.ServiceName, r *usher.Registration) *endpoint {
	other, isPool := candidatesOf(name)
	if !isPool {
		other = CandidatePool(name)
	}
	svc := s.services[other]
	if svc == nil || !svc.endpoints[r.Name].isSame(r) {
		return nil
	}
	e := svc.endpoints[r.Name]
	delete(svc.endpoints, r.Name)
	return e
}
