package dispatch

import "filbertusher/pkg/usher"

// endpointState describes an endpoint in the diagnostic dump.
type endpointState struct {
	Endpoint        usher.EndpointName `json:"endpoint"`
	Own             Load               `json:"own"`
	Others          Load               `json:"others"`
	Slots           int                `json:"slots"`
	Guaranteed      int                `json:"entitled"`
	Ratio           float64            `json:"ratio"`
	EventIntervalMs float64            `json:"paceMs"`
	FailureRate     float64            `json:"failing"`
	// PausedMs is how much longer the endpoint wants no requests, in milliseconds.
	PausedMs  int64 `json:"pausedMs,omitempty"`
	Suspended bool  `json:"suspended"`
	// RateLimit is the limit that the endpoint names, in requests per second, or 0.
	RateLimit float64 `json:"rateLimit"`
}

// serviceState describes a service in the diagnostic dump.
type serviceState struct {
	Service         usher.ServiceName `json:"service"`
	Waiting         int               `json:"waiting"`
	GrantsPerSecond float64           `json:"grantsPerSecond"`
	Granted         int64             `json:"granted"`
	Waited          int64             `json:"grantedAfterWaiting"`
	Refused         int64             `json:"refusedAtOnce"`
	Expired         int64             `json:"refusedAfterWaiting"`
	// HeldBack counts the decisions to leave a slot to a request with a shorter prompt.
	HeldBack int64 `json:"heldBack"`
	// PrefillPerTokenUs is the measured prefill time per token of an average engine, in
	// microseconds, or 0.
	PrefillPerTokenUs float64         `json:"prefillPerTokenUs"`
	Endpoints         []endpointState `json:"endpoints"`
}

// State returns the scheduler's section of the diagnostic dump.
func (s *Scheduler) State() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	states := make([]serviceState, 0, len(s.services))
	for _, svc := range s.services {
		state := serviceState{
			Service: svc.name, Waiting: svc.queue.len(), GrantsPerSecond: svc.grantRate.perSecond(now),
			Granted: svc.counts.granted, Waited: svc.counts.waited, Refused: svc.counts.refused, Expired: svc.counts.expired, HeldBack: svc.counts.heldBack,
			PrefillPerTokenUs: svc.prefill.perToken * 1e6,
		}
		for _, e := range svc.endpoints {
			limit := 0.0
			if e.limit.named {
				limit = e.limit.perSecond
			}
			state.Endpoints = append(state.Endpoints, endpointState{
				Endpoint: e.Name, Own: e.own, Others: e.others, Slots: e.slotCount(svc.spec), Guaranteed: e.guaranteed,
				Ratio: e.currentRatio(now), EventIntervalMs: float64(e.eventInterval.Microseconds()) / 1000, FailureRate: e.currentFailureRate(now),
				Suspended: now.Before(e.suspendedUntil), PausedMs: svc.pauseOf(e, now), RateLimit: limit,
			})
		}
		states = append(states, state)
	}
	return states
}
