// Package report turns the JSON lines of the load tool into one HTML file with
// plots of goodput by tier and of wasted prefill over time, with a mark where a
// fault was injected. The file needs nothing else: the plots are inline SVG.
package report

import (
	"bufio"
	"encoding/json"
	"io"
	"sort"
	"strconv"
	"time"

	"filbertusher/internal/standin/load"
	"filbertusher/pkg/usher"
)

// maxLine bounds a line of a results file, in bytes.
const maxLine = 1 << 20

// LineError is returned for a line that is no line of a results file.
type LineError struct {
	Number int
	Cause  error
}

// Error implements error.
func (e *LineError) Error() string {
	return "line " + strconv.Itoa(e.Number) + " is no result: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Cause }

// Run is all that a results file says of one run.
type Run struct {
	load.Run
	results []*load.Result
	marks   []*load.Mark
	totals  []*load.Totals
}

// Read returns the runs of a results file in the order in which they begin.
func Read(lines io.Reader) ([]*Run, error) {
	var runs []*Run
	byRun := make(map[load.Run]*Run)
	of := func(key load.Run) *Run {
		run, ok := byRun[key]
		if !ok {
			run = &Run{Run: key}
			byRun[key] = run
			runs = append(runs, run)
		}
		return run
	}
	scanner := bufio.NewScanner(lines)
	scanner.Buffer(nil, maxLine)
	for number := 1; scanner.Scan(); number++ {
		var line load.Line
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			return nil, &LineError{Number: number, Cause: err}
		}
		switch {
		case line.Result != nil:
			run := of(line.Result.Run)
			run.results = append(run.results, line.Result)
		case line.Mark != nil:
			run := of(line.Mark.Run)
			run.marks = append(run.marks, line.Mark)
		case line.Totals != nil:
			run := of(line.Totals.Run)
			run.totals = append(run.totals, line.Totals)
		}
	}
	for _, run := range runs {
		sort.SliceStable(run.totals, func(i, j int) bool { return run.totals[i].At < run.totals[j].At })
	}
	return runs, scanner.Err()
}

// length is the time of the last thing that happened in the run.
func (r *Run) length() time.Duration {
	last := time.Second
	for _, result := range r.results {
		last = max(last, result.Sent)
	}
	for _, totals := range r.totals {
		last = max(last, totals.At)
	}
	return last
}

// TierSummary is what became of the requests of one tier.
type TierSummary struct {
	Tier    usher.TierName
	Rank    usher.Rank
	Sent    int
	OnTime  int
	Late    int
	Refused int
	Unknown int
	Damaged int
}

// Goodput is the share of requests that were answered on time, in percent.
func (t TierSummary) Goodput() float64 { return percent(int64(t.OnTime), int64(t.Sent)) }

func percent(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}

// tiers returns a summary of each tier, the most urgent first.
func (r *Run) tiers() []TierSummary {
	byName := make(map[usher.TierName]*TierSummary)
	for _, result := range r.results {
		tier, ok := byName[result.Tier]
		if !ok {
			tier = &TierSummary{Tier: result.Tier, Rank: result.Rank}
			byName[result.Tier] = tier
		}
		tier.add(result)
	}
	tiers := make([]TierSummary, 0, len(byName))
	for _, tier := range byName {
		tiers = append(tiers, *tier)
	}
	sort.Slice(tiers, func(i, j int) bool {
		if tiers[i].Rank != tiers[j].Rank {
			return tiers[i].Rank < tiers[j].Rank
		}
		return tiers[i].Tier < tiers[j].Tier
	})
	return tiers
}

func (t *TierSummary) add(result *load.Result) {
	t.Sent++
	switch {
	case result.Damaged:
		t.Damaged++
	case result.OnTime:
		t.OnTime++
	case result.Outcome == usher.OutcomeUnknown:
		t.Unknown++
	case result.Refusal != "":
		t.Refused++
	default:
		t.Late++
	}
}

// goodput returns, for each tier, the useful answers a second of requests that
// were sent in each bucket of width.
func (r *Run) goodput(tier usher.TierName, width time.Duration, buckets int) []float64 {
	counts := make([]float64, buckets)
	for _, result := range r.results {
		if result.Tier == tier && result.OnTime && !result.Damaged {
			counts[min(int(result.Sent/width), buckets-1)] += 1 / width.Seconds()
		}
	}
	return counts
}

// wasted returns the wasted prefill in tokens a second between two readings.
func (r *Run) wasted() []point {
	var points []point
	var before load.Totals
	for _, totals := range r.totals {
		elapsed := (totals.At - before.At).Seconds()
		if elapsed <= 0 {
			continue
		}
		wasted := float64(totals.WastedPrefill-before.WastedPrefill) / elapsed
		points = append(points, point{from: before.At, to: totals.At, value: max(wasted, 0)})
		before = *totals
	}
	return points
}
