package rollout

import (
	"filbertusher/pkg/usher"
)

// ServiceState is the rollout of one service in the diagnostic dump.
type ServiceState struct {
	InForce  usher.SoftwareVersion   `json:"inForce"`
	Rejected []usher.SoftwareVersion `json:"rejected,omitempty"`
	Order    *OrderState             `json:"order,omitempty"`
}

// OrderState is an order in the diagnostic dump.
type OrderState struct {
	Target    usher.SoftwareVersion `json:"target"`
	Written   usher.Version         `json:"written"`
	Recorded  usher.RolloutState    `json:"recorded"`
	Stage     string                `json:"stage"`
	Why       string                `json:"why,omitempty"`
	BlockedBy string                `json:"blockedBy,omitempty"`
	AgeMS     int64                 `json:"ageMS"`
	// DurationMS is the time from the order to its deadline.
	DurationMS int64 `json:"durationMS"`
	// Sent, Charged and Allowed are this instance's sends since the order, those for
	// candidates, and how many of these are allowed while they are observed.
	Sent    int     `json:"sent"`
	Charged int     `json:"charged"`
	Allowed float64 `json:"allowed"`
	Running int     `json:"runningAtOldEndpoints"`
	// Current and Candidates are the answers that all instances saw.
	Current    map[usher.RouteName]Counts `json:"current"`
	Candidates map[usher.RouteName]Cell   `json:"candidates"`
}

// State returns the rollouts' section of the diagnostic dump.
func (t *Table) State() any {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Now()
	state := make(map[usher.ServiceName]ServiceState)
	for name, s := range t.services {
		var dumped ServiceState
		dumped.InForce, _ = s.inForce()
		for version := range s.rejected {
			dumped.Rejected = append(dumped.Rejected, version)
		}
		if o := s.order; o != nil {
			fleet := t.fleet(name, s)
			candidates := make(map[usher.RouteName]Cell)
			for key, cell := range fleet.Cells {
				candidates[key.Route] = candidates[key.Route].plus(cell)
			}
			dumped.Order = &OrderState{
				Target: o.Target, Written: o.Written, Recorded: o.recorded(), Stage: string(o.stage), Why: o.why,
				BlockedBy: o.verdict.blockedBy, AgeMS: o.age(now).Milliseconds(), DurationMS: o.duration().Milliseconds(),
				Sent: o.exposure.sends, Charged: o.exposure.used(), Allowed: o.exposure.allowance(),
				Running: t.runningBeside(name, s, now), Current: fleet.Routes, Candidates: candidates,
			}
		} else if len(s.rejected) == 0 && !s.hasCompleted {
			continue
		}
		state[name] = dumped
	}
	return state
}
