// Package report renders the JSON lines of the load package as one HTML file. It
// plots the goodput by tier and the wasted prefill over time, and marks the times
// at which faults were injected. The file is self-contained: the plots are inline
// SVG.
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

// maxLineBytes is the maximum length of a line in a results file.
const maxLineBytes = 1 << 20

// LineError is returned for a malformed line in a results file.
type LineError struct {
	Number int
	Cause  error
}

// Error implements error.
func (e *LineError) Error() string {
	return "line " + strconv.Itoa(e.Number) + " is not a valid result line: " + e.Cause.Error()
}

// Unwrap returns the underlying error.
func (e *LineError) Unwrap() error { return e.Cause }

// Run holds the lines of a results file that belong to one run.
type Run struct {
	load.Run
	results []*load.Result
	marks   []*load.Mark
	totals  []*load.Totals
}

// Read returns the runs of a results file in the order of their first lines.
func Read(lines io.Reader) ([]*Run, error) {
	var runs []*Run
	byRun := make(map[load.Run]*Run)
	runFor := func(key load.Run) *Run {
		run, ok := byRun[key]
		if !ok {
			run = &Run{Run: key}
			byRun[key] = run
			runs = append(runs, run)
		}
		return run
	}
	scanner := bufio.NewScanner(lines)
	scanner.Buffer(nil, maxLineBytes)
	for lineNumber := 1; scanner.Scan(); lineNumber++ {
		var line load.Line
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			return nil, &LineError{Number: lineNumber, Cause: err}
		}
		switch {
		case line.Result != nil:
			run := runFor(line.Result.Run)
			run.results = append(run.results, line.Result)
		case line.Mark != nil:
			run := runFor(line.Mark.Run)
			run.marks = append(run.marks, line.Mark)
		case line.Totals != nil:
			run := runFor(line.Totals.Run)
			run.totals = append(run.totals, line.Totals)
		}
	}
	for _, run := range runs {
		sort.SliceStable(run.totals, func(i, j int) bool { return run.totals[i].At < run.totals[j].At })
	}
	return runs, scanner.Err()
}

// length returns the time of the last request or sample of the run, and at least
// one second.
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

// TierSummary counts the requests of one tier by their result.
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

// Goodput returns the percentage of requests that were answered on time.
func (t TierSummary) Goodput() float64 { return percent(int64(t.OnTime), int64(t.Sent)) }

func percent(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}

// tiers returns a summary of each tier, ordered by rank with the most urgent tier
// first.
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

// goodputRates returns the goodput of a tier over time: for each time bucket of the
// given width, the answers on time per second to the requests sent in it.
func (r *Run) goodputRates(tier usher.TierName, width time.Duration, buckets int) []float64 {
	counts := make([]float64, buckets)
	for _, result := range r.results {
		if result.Tier == tier && result.OnTime && !result.Damaged {
			counts[min(int(result.Sent/width), buckets-1)] += 1 / width.Seconds()
		}
	}
	return counts
}

// wasteRates returns the wasted prefill between consecutive samples, in tokens per
// second.
func (r *Run) wasteRates() []segment {
	var segments []segment
	var previous load.Totals
	for _, totals := range r.totals {
		elapsed := (totals.At - previous.At).Seconds()
		if elapsed <= 0 {
			continue
		}
		wasted := float64(totals.WastedPrefill-previous.WastedPrefill) / elapsed
		segments = append(segments, segment{from: previous.At, to: totals.At, value: max(wasted, 0)})
		previous = *totals
	}
	return segments
}
