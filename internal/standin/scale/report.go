package scale

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Report prints the results as a table, followed by linear fits over the number of
// processes.
func Report(out io.Writer, results []*Result) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "nodes\tcompanions\tworkspaces\trate/s\tready s\tstart calls\tidle calls/s\twatches\tidle core % (max)\tidle B/s (max)\tchanging core % (max)\tchanging B/s (max)\tcalls/s\tactive ms median/p95/max\tburst/s\tburst ms median/max\tafter outage calls/s\tRSS MiB mean/max/anonymous max")
	for _, r := range results {
		fmt.Fprintf(table, "%d\t%d\t%d\t%g\t%.1f\t%d\t%.1f\t%d\t%.2f (%.2f)\t%.0f (%.0f)\t%.2f (%.2f)\t%.0f (%.0f)\t%.1f\t%.0f/%.0f/%.0f\t%.0f\t%.0f/%.0f\t%.1f\t%.0f/%.0f/%.0f\n",
			r.Nodes(), r.Companions, r.Workspaces, r.Rate, r.ReadySeconds, r.StartCalls, r.Idle.StoreCallsPerSecond, r.Idle.WatchesWaiting,
			r.Idle.CorePercent, r.Idle.CorePercentMax, r.Idle.BytesPerSecond, r.Idle.BytesPerSecondMax,
			r.Changing.CorePercent, r.Changing.CorePercentMax, r.Changing.BytesPerSecond, r.Changing.BytesPerSecondMax, r.Changing.StoreCallsPerSecond,
			r.Delays.Median, r.Delays.P95, r.Delays.Max, r.BurstRate, r.BurstDelays.Median, r.BurstDelays.Max,
			r.RecoveryCallsPerSecond, r.Memory.Mean, r.Memory.Max, r.Memory.AnonymousMax)
	}
	_ = table.Flush()
	printFits(out, results)
}

// quantity is a value of a result that is fitted over the number of processes.
type quantity struct {
	name  string
	value func(*Result) float64
}

var quantities = []quantity{
	{"store calls/s, idle", func(r *Result) float64 { return r.Idle.StoreCallsPerSecond }},
	{"store calls/s, changing", func(r *Result) float64 { return r.Changing.StoreCallsPerSecond }},
	{"store calls while the fleet starts", func(r *Result) float64 { return float64(r.StartCalls) }},
	{"core percent per node, idle", func(r *Result) float64 { return r.Idle.CorePercent }},
	{"bytes/s per node, idle", func(r *Result) float64 { return r.Idle.BytesPerSecond }},
	{"bytes/s per node, changing", func(r *Result) float64 { return r.Changing.BytesPerSecond }},
	{"active on the last node, median ms", func(r *Result) float64 { return r.Delays.Median }},
	{"active on the last node, max ms", func(r *Result) float64 { return r.Delays.Max }},
}

// The numbers of processes that the fits are extrapolated to: the target and twice
// the target.
const (
	targetNodes       = 1100
	doubleTargetNodes = 2200
)

// printFits prints linear fits over the results that differ only in the number of
// processes.
func printFits(out io.Writer, results []*Result) {
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
	fmt.Fprintln(out, "\nleast-squares fits over the number of nodes n, and their extrapolation")
	for _, q := range quantities {
		slope, base := FitLine(same, func(r *Result) float64 { return float64(r.Nodes()) }, q.value)
		fmt.Fprintf(out, "%s = %.4g + %.4g n; n=%d: %.4g; n=%d: %.4g\n",
			q.name, base, slope, targetNodes, base+slope*targetNodes, doubleTargetNodes, base+slope*doubleTargetNodes)
	}
}

// FitLine returns the slope and the intercept of the least-squares line of y over x.
func FitLine(results []*Result, x, y func(*Result) float64) (slope, base float64) {
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
