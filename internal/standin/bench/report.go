package bench

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// The targets, as ratios to a bare forwarder in the same run.
const (
	addedTarget = 2.0
	shortTarget = 1.5
	tokenTarget = 0.7
	gapTarget   = 5 * time.Millisecond
)

// samples are the times of many answers.
type samples struct{ first, total []time.Duration }

func (s *samples) add(seen sample) {
	s.first = append(s.first, seen.first)
	s.total = append(s.total, seen.total)
}

// quantile returns the time that the share q of all times does not pass.
func quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	return sorted[int(q*float64(len(sorted)-1))]
}

// printAdded compares what the forwarders and the path add to direct times.
func printAdded(out io.Writer, what string, direct, forwarders, path []time.Duration) {
	for _, q := range []float64{0.5, 0.99} {
		base := quantile(direct, q)
		bare, ours := quantile(forwarders, q)-base, quantile(path, q)-base
		fmt.Fprintf(out, "%s, %g in 100: direct %v, forwarders add %v, path adds %v: ratio %.2f (target %.1f)\n",
			what, q*100, base, bare, ours, float64(ours)/float64(bare), addedTarget)
	}
}

func printCost(out io.Writer, process string, each, forwarder time.Duration, target float64) {
	fmt.Fprintf(out, "%s %v, %.2f of a forwarder (target %.1f), %.0f a second a core\n", process, each, float64(each)/float64(forwarder), target, perCore(each))
}

func perCore(each time.Duration) float64 {
	if each <= 0 {
		return 0
	}
	return float64(time.Second) / float64(each)
}
