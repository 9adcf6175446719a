package load

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"filbertusher/pkg/usher"
)

// tierCount is the number of tiers in the mixes.
const tierCount = 3

// summary is one row of an experiment's table. Offered and OnTime count requests
// by rank.
type summary struct {
	Run
	Offered [tierCount]int
	OnTime  [tierCount]int
	Damaged int
	Unknown int
	// UsefulPercent is the percentage of the engines' capacity that was spent on
	// answers within their deadline.
	UsefulPercent float64
	Totals        *Totals
	PriorityInversions
	// UrgentP95 is the 95th percentile of the total latency of urgent requests.
	UrgentP95 time.Duration
}

const tableHeader = "mix        policy      load seed | offered u/n/b  | on time u/n/b %      | useful % wasted % reused % | shed inv  overtaken damaged unknown | urgent p95"

func newSummary(run Run, results []*Result, totals *Totals, slowest *Hardware) *summary {
	s := &summary{Run: run, Totals: totals, PriorityInversions: CountPriorityInversions(results, slowest)}
	var urgent []time.Duration
	for _, r := range results {
		s.Offered[r.Rank]++
		if r.OnTime {
			s.OnTime[r.Rank]++
		}
		if r.Damaged {
			s.Damaged++
		}
		if r.Outcome == usher.OutcomeUnknown {
			s.Unknown++
		}
		if r.Rank == 0 && r.Outcome == usher.OutcomeRan {
			urgent = append(urgent, r.Total)
		}
	}
	s.UrgentP95 = percentile(urgent, 0.95)
	return s
}

func percentile(durations []time.Duration, share float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sort.Slice(durations, func(i, j int) bool { return durations[i] < durations[j] })
	return durations[min(len(durations)-1, int(share*float64(len(durations))))]
}

// wasteByCause returns the prompt tokens of requests with an unknown outcome,
// grouped by cause. This is an upper bound of the wasted prefill, because a
// request may have been stopped before or during its prefill.
func wasteByCause(results []*Result) map[string]int64 {
	tokens := make(map[string]int64)
	for _, r := range results {
		if r.Outcome != usher.OutcomeUnknown {
			continue
		}
		cause := string(r.Refusal)
		if cause == "" {
			cause = "callerTimeout"
		}
		tokens[cause] += int64(r.PromptTokens)
	}
	return tokens
}

func percent[T int | int64 | time.Duration](part, whole T) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}

func (s *summary) format() string {
	var offered, onTime []string
	for i := range s.Offered {
		offered = append(offered, fmt.Sprint(s.Offered[i]))
		onTime = append(onTime, fmt.Sprintf("%.1f", percent(s.OnTime[i], s.Offered[i])))
	}
	return fmt.Sprintf("%-10s %-11s %4.1f %4d | %-14s | %-20s | %6.1f %8.2f %8.1f | %8d %10d %7d %7d | %s",
		s.Mix, s.Policy, s.Load, s.Seed, strings.Join(offered, "/"), strings.Join(onTime, "/"),
		s.UsefulPercent, percent(s.Totals.WastedPrefill, s.Totals.PrefillTokens),
		percent(s.Totals.ReusedTokens, s.Totals.PrefillTokens+s.Totals.ReusedTokens),
		s.Shed, s.Overtaken, s.Damaged, s.Unknown, s.UrgentP95.Round(time.Millisecond))
}
