package dispatch

import "filbertusher/pkg/usher"

// engineState is an endpoint's part of the dump.
type engineState struct {
	Endpoint  usher.EndpointName `json:"endpoint"`
	Own       Load               `json:"own"`
	Others    Load               `json:"others"`
	Slots     int                `json:"slots"`
	Entitled  int                `json:"entitled"`
	Ratio     float64            `json:"ratio"`
	PaceMs    float64            `json:"paceMs"`
	Failing   float64            `json:"failing"`
	Suspended bool               `json:"suspended"`
}

// serviceState is a service's part of the dump.
type serviceState struct {
	Service   usher.ServiceName `json:"service"`
	Waiting   int               `json:"waiting"`
	PerSecond float64           `json:"grantsPerSecond"`
	Granted   int64             `json:"granted"`
	Waited    int64             `json:"grantedAfterWaiting"`
	Refused   int64             `json:"refusedAtOnce"`
	Expired   int64             `json:"refusedAfterWaiting"`
	Endpoints []engineState     `json:"endpoints"`
}

// State is the scheduler's part of the dump.
func (s *Scheduler) State() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	states := make([]serviceState, 0, len(s.services))
	for _, v := range s.services {
		state := serviceState{
			Service: v.name, Waiting: v.line.len(), PerSecond: v.drain.perSecond(now),
			Granted: v.counts.granted, Waited: v.counts.waited, Refused: v.counts.refused, Expired: v.counts.expired,
		}
		for _, e := range v.engines {
			state.Endpoints = append(state.Endpoints, engineState{
				Endpoint: e.Name, Own: e.own, Others: e.others, Slots: e.slots(v.spec), Entitled: e.entitled,
				Ratio: e.ratioNow(now), PaceMs: float64(e.pace.Microseconds()) / 1000, Failing: e.failingNow(now),
				Suspended: now.Before(e.suspended),
			})
		}
		states = append(states, state)
	}
	return states
}
