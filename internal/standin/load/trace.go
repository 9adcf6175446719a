package load

import (
	"sort"
	"time"

	"filbertusher/pkg/usher"
)

// sendMargin is the minimum time between two sends for them to count as
// ordered. A request that was sent this long before an event has certainly
// reached the system by then.
const sendMargin = 100 * time.Millisecond

// PriorityInversions counts the priority inversions in the results of one run. Both
// fields count higher-tier requests, each at most once.
type PriorityInversions struct {
	// Shed counts the requests that were refused as overloaded while a
	// lower-tier request that was sent earlier still waited in the system; the
	// lower-tier request was answered later.
	Shed int
	// Overtaken counts the requests that missed their deadline, or were refused
	// because they would, while the answer to a lower-tier request that was
	// sent later began before they ended. Every request that was neither on time
	// nor refused as overloaded is taken for one of these.
	Overtaken int
}

// CountPriorityInversions counts the priority inversions in the results of one run. The
// client sees only the first token, not when a request enters an engine. A
// lower-tier request certainly still waited at a given time if even the slowest
// engine, starting its prefill then, would have finished the prefill before the
// first token arrived. For answers that are not streamed, the decoding time is
// added to the prefill time.
//
// Example: a batch request is sent at 1.0 s and its first token arrives at
// 6.0 s; its prefill takes 0.4 s on the slowest engine. It certainly still waited
// at 5.0 s, so an urgent request that is shed at 5.0 s counts as an inversion.
func CountPriorityInversions(results []*Result, slowest *Hardware) PriorityInversions {
	bySent := append([]*Result(nil), results...)
	sort.Slice(bySent, func(i, j int) bool { return bySent[i].Sent < bySent[j].Sent })
	var count PriorityInversions
	for _, higher := range bySent {
		ended := higher.Sent + higher.Total
		switch {
		case higher.OnTime:
		case higher.Refusal == usher.RefusalOverloaded && anyLowerTierWaiting(bySent, higher.Rank, ended, slowest):
			count.Shed++
		case higher.Refusal != usher.RefusalOverloaded && anyLowerTierOvertook(bySent, higher, ended):
			count.Overtaken++
		}
	}
	return count
}

// anyLowerTierWaiting reports whether a request of a tier below rank was
// certainly waiting at the given time and got a complete answer afterwards.
func anyLowerTierWaiting(bySent []*Result, rank usher.Rank, at time.Duration, slowest *Hardware) bool {
	for _, lower := range bySent {
		if lower.Sent > at-sendMargin {
			return false
		}
		if lower.Rank > rank && lower.Outcome == usher.OutcomeRan && lower.Sent+lower.FirstToken-slowest.maxTimeToFirstOutput(lower) > at {
			return true
		}
	}
	return false
}

// maxTimeToFirstOutput returns an upper bound of the time from admission by the
// engine to the first output that the client sees: the first token of a stream,
// or the complete answer if it is not streamed.
func (h *Hardware) maxTimeToFirstOutput(r *Result) time.Duration {
	step := h.DecodeStep + time.Duration(h.MaxBatch)*h.DecodePerRequest
	chunk := time.Duration(h.PrefillChunk) * h.PrefillPerToken
	chunks := time.Duration(r.PromptTokens/h.PrefillChunk + 1)
	duration := chunks * (step + chunk)
	if r.FirstToken == r.Total {
		duration += time.Duration(r.AnswerTokens) * (step + chunk)
	}
	return duration
}

func anyLowerTierOvertook(bySent []*Result, higher *Result, ended time.Duration) bool {
	for _, lower := range bySent {
		if lower.Sent > ended {
			return false
		}
		sentLater := lower.Sent > higher.Sent+sendMargin
		if sentLater && lower.Rank > higher.Rank && lower.Outcome == usher.OutcomeRan && lower.Sent+lower.FirstToken < ended {
			return true
		}
	}
	return false
}
