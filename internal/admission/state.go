package admission

import (
	"time"

	"filbertusher/pkg/usher"
)

// Report implements usher.Admission.
func (c *Controller) Report() usher.LoadReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.limiter.update(now, c.running, c.saturated())
	prefill, decode := c.limiter.timePerToken()
	report := usher.LoadReport{
		Endpoint: c.endpoint, Running: c.running, Waiting: c.queue.count,
		Limit: c.limiter.limit(), PrefillPerToken: prefill, DecodePerToken: decode,
		LowestKept: c.queue.leastUrgent(), PrefillBacklog: c.prefill.backlog(now),
	}
	for rank := range report.WaitByRank {
		report.WaitByRank[rank] = c.expectedWait(c.queue.workAbove(usher.Rank(rank) + 1))
	}
	report.QueuedWork = c.expectedWait(c.queue.workAbove(beyondAllRanks))
	return report
}

// TierState describes the waiting requests of one tier.
type TierState struct {
	Rank       usher.Rank `json:"rank"`
	Waiting    int        `json:"waiting"`
	Workspaces int        `json:"workspaces"`
	Work       string     `json:"work"`
}

// State is the admission state that a companion's diagnostic dump contains.
type State struct {
	Limit           int         `json:"limit"`
	Running         int         `json:"running"`
	Waiting         int         `json:"waiting"`
	WaitingTokens   int         `json:"waitingTokens"`
	PrefillPerToken string      `json:"prefillPerToken"`
	DecodePerToken  string      `json:"decodePerToken"`
	LongInPrefill   int         `json:"longInPrefill"`
	Tiers           []TierState `json:"tiers"`
	Counts          Counts      `json:"counts"`
	// StopsInMs has how much longer each entry waits that stops, negative after its end.
	StopsInMs map[usher.Incarnation]int64 `json:"stopsInMs,omitempty"`
}

// State returns the admission state for the diagnostic dump.
func (c *Controller) State() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	prefill, decode := c.limiter.timePerToken()
	state := State{
		Limit: c.limiter.limit(), Running: c.running, Waiting: c.queue.count, WaitingTokens: int(c.queue.tokens),
		PrefillPerToken: prefill.String(), DecodePerToken: decode.String(),
		LongInPrefill: c.prefill.longPrompts, Counts: c.counts, StopsInMs: make(map[usher.Incarnation]int64),
	}
	for entry, end := range c.stops.byEntry {
		state.StopsInMs[entry] = end.Sub(c.now()).Milliseconds()
	}
	for _, t := range c.queue.tiers {
		state.Tiers = append(state.Tiers, TierState{
			Rank: t.rank, Waiting: t.count, Workspaces: len(t.workspaces), Work: t.work.Round(time.Millisecond).String(),
		})
	}
	return state
}
