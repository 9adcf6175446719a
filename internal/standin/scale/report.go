package scale

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Report prints the results as a table and the slopes over them.
func Report(out io.Writer, results []*Result) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "nodes\tcompanions\tworkspaces\trate/s\tready s\tstart calls\tidle calls/s\twatches\tidle core % (max)\tidle B/s (max)\tchanging core % (max)\tchanging B/s (max)\tcalls/s\tin force ms median/p95/max\tburst/s\tburst ms median/max\tafter outage calls/s\tRSS MiB mean/max/own")
	for _, r := range results {
		fmt.Fprintf(table, "%d\t%d\t%d\t%g\t%.1f\t%d\t%.1f\t%d\t%.2f (%.2f)\t%.0f (%.0f)\t%.2f (%.2f)\t%.0f (%.0f)\t%.1f\t%.0f/%.0f/%.0f\t%.0f\t%.0f/%.0f\t%.1f\t%.0f/%.0f/%.0f\n",
			r.Nodes(), r.Companions, r.Workspaces, r.Rate, r.ReadySeconds, r.StartCalls, r.Idle.StoreCallsPerSecond, r.Idle.WatchesWaiting,
			r.Idle.CorePercent, r.Idle.CorePercentMax, r.Idle.BytesPerSecond, r.Idle.BytesPerSecondMax,
			r.Changing.CorePercent, r.Changing.CorePercentMax, r.Changing.BytesPerSecond, r.Changing.BytesPerSecondMax, r.Changing.StoreCallsPerSecond,
			r.Delays.Median, r.Delays.P95, r.Delays.Max, r.BurstRate, r.BurstDelays.Median, r.BurstDelays.Max,
			r.ReturnCallsPerSecond, r.Memory.Mean, r.Memory.Max, r.Memory.AnonymousMax)
	}
	_ = table.Flush()
	reportFits(out, results)
}

// quantity is one column whose growth with the number of nodes is fitted.
type quantity struct {
	name string
	of   func(*Result) float64
}

var quantities = []quantity{
	{"store calls/s, idle", func(r *Result) float64 { return r.Idle.StoreCallsPerSecond }},
	{"store calls/s, changing", func(r *Result) float64 { return r.Changing.StoreCallsPerSecond }},
	{"store calls of a whole start", func(r *Result) float64 { return float64(r.StartCalls) }},
	{"core percent of a node, idle", func(r *Result) float64 { return r.Idle.CorePercent }},
	{"bytes/s of a node, idle", func(r *Result) float64 { return r.Idle.BytesPerSecond }},
	{"bytes/s of a node, changing", func(r *Result) float64 { return r.Changing.BytesPerSecond }},
	{"in force on the last, median ms", func(r *Result) float64 { return r.Delays.Median }},
	{"in force on the last, max ms", func(r *Result) float64 { return r.Delays.Max }},
}

// The sizes that the fits are carried to: the target and twice that.
const (
	targetNodes = 1100
	twiceNodes  = 2200
)

// reportFits prints straight lines through the results that differ in nothing
// but the number of nodes.
func reportFits(out io.Writer, results []*Result) {
	if len(results) == 0 {
		return
	}
	same := make([]*Result, 0, len(results))
	for _, r := range results {
		if r.Workspaces == results[0].Workspaces && r.Rate == results[0].Rate {
			same = append(same, r)
		}
	}
	if len(same) < 3 {
		return
	}
	fmt.Fprintln(out, "\nfits over the number of nodes n (least squares), and what they give")
	for _, q := range quantities {
		slope, base := Fit(same, func(r *Result) float64 { return float64(r.Nodes()) }, q.of)
		fmt.Fprintf(out, "%s = %.4g + %.4g n; n=%d: %.4g; n=%d: %.4g\n",
			q.name, base, slope, targetNodes, base+slope*targetNodes, twiceNodes, base+slope*twiceNodes)
	}
}

// Fit returns the straight line through y over x with the least squares.
func Fit(results []*Result, x, y func(*Result) float64) (slope, base float64) {
	n := float64(len(results))
	var sumX, sumY, sumXX, sumXY float64
	for _, r := range results {
		sumX += x(r)
		sumY += y(r)
		sumXX += x(r) * x(r)
		sumXY += x(r) * y(r)
	}
	slope = (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	return slope, (sumY - slope*sumX) / n
}
