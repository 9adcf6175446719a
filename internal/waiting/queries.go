package waiting

import (
	"time"

	"filbertusher/pkg/usher"
)

// Report implements usher.Admission.
func (r *Room) Report() usher.LoadReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.pace.learn(now, r.running, r.saturated())
	prefill, decode := r.pace.perToken()
	report := usher.LoadReport{
		Endpoint: r.endpoint, Running: r.running, Waiting: r.line.count,
		Limit: r.pace.limit(), PrefillPerToken: prefill, DecodePerToken: decode,
		LowestKept: r.line.leastUrgent(), PrefillBacklog: r.prefill.backlog(now),
	}
	for rank := range report.WaitByRank {
		report.WaitByRank[rank] = r.wait(r.line.workAbove(usher.Rank(rank) + 1))
	}
	report.QueuedWork = r.wait(r.line.workAbove(noRank))
	return report
}

// TierState is one tier in the dump.
type TierState struct {
	Rank       usher.Rank `json:"rank"`
	Waiting    int        `json:"waiting"`
	Workspaces int        `json:"workspaces"`
	Work       string     `json:"work"`
}

// State is the room's part of the dump.
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
}

// State returns the room's part of the dump.
func (r *Room) State() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	prefill, decode := r.pace.perToken()
	state := State{
		Limit: r.pace.limit(), Running: r.running, Waiting: r.line.count, WaitingTokens: int(r.line.tokens),
		PrefillPerToken: prefill.String(), DecodePerToken: decode.String(),
		LongInPrefill: r.prefill.long, Counts: r.counts,
	}
	for _, t := range r.line.tiers {
		state.Tiers = append(state.Tiers, TierState{
			Rank: t.rank, Waiting: t.count, Workspaces: len(t.workspaces), Work: t.work.Round(time.Millisecond).String(),
		})
	}
	return state
}
