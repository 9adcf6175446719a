package load

import (
	"sort"
	"time"

	"filbertusher/pkg/usher"
)

// settleMargin is how long before a refusal a lower-tier request has to be
// sent, so that it had surely reached the system by then.
const settleMargin = 100 * time.Millisecond

// Inversions counts, over the results of one run, what must not happen to a
// higher tier. Every count is of higher-tier requests, each at most once.
type Inversions struct {
	// Shed requests were refused as overloaded while a lower-tier request,
	// sent earlier, was still waiting in the system and was answered later.
	Shed int
	// Overtaken requests missed their deadline, or were refused because they
	// would, while a lower-tier request that was sent later began to be
	// answered before they ended.
	Overtaken int
}

// CountInversions checks the trace of one run. The caller can't see when a
// request enters an engine; it sees the first token. A lower-tier request was
// surely still waiting at a moment if even a prefill of its own length by the
// slowest engine, begun then, would have ended before its first token. For
// answers that are not streamed the whole time of decoding counts as well.
//
// Example: a batch report is sent at 1.0 s and its first token comes at 6.0 s;
// its prefill takes 0.4 s at the slowest engine. It was surely waiting at
// 5.0 s, so an urgent request that is shed at 5.0 s counts as an inversion.
func CountInversions(results []*Result, slowest *Hardware) Inversions {
	ordered := append([]*Result(nil), results...)
	sort.Slice(ordered, func(i, j int) bool { return ordered[i].Sent < ordered[j].Sent })
	var count Inversions
	for _, high := range ordered {
		ended := high.Sent + high.Total
		switch {
		case high.OnTime:
		case high.Refusal == usher.RefusalOverloaded && anyWaiting(ordered, high.Rank, ended, slowest):
			count.Shed++
		case high.Refusal != usher.RefusalOverloaded && anyOvertook(ordered, high, ended):
			count.Overtaken++
		}
	}
	return count
}

// anyWaiting says whether a request below rank was surely waiting at a moment
// and answered whole afterwards.
func anyWaiting(ordered []*Result, rank usher.Rank, at time.Duration, slowest *Hardware) bool {
	for _, low := range ordered {
		if low.Sent > at-settleMargin {
			return false
		}
		if low.Rank > rank && low.Outcome == usher.OutcomeRan && low.Sent+low.FirstToken-slowest.unloaded(low) > at {
			return true
		}
	}
	return false
}

// unloaded is the longest time that an engine may take for the part of a
// request up to what the caller saw first.
func (h *Hardware) unloaded(r *Result) time.Duration {
	step := h.DecodeStep + time.Duration(h.MaxBatch)*h.DecodePerRequest
	chunk := time.Duration(h.PrefillChunk) * h.PrefillPerToken
	chunks := time.Duration(r.PromptTokens/h.PrefillChunk + 1)
	took := chunks * (step + chunk)
	if r.FirstToken == r.Total {
		took += time.Duration(r.AnswerTokens) * (step + chunk)
	}
	return took
}

func anyOvertook(ordered []*Result, high *Result, ended time.Duration) bool {
	for _, low := range ordered {
		if low.Sent > ended {
			return false
		}
		later := low.Sent > high.Sent+settleMargin
		if later && low.Rank > high.Rank && low.Outcome == usher.OutcomeRan && low.Sent+low.FirstToken < ended {
			return true
		}
	}
	return false
}
