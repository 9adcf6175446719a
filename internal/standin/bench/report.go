package bench

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// The performance targets. maxLatencyRatio bounds the latency that the product adds
// to a direct request, relative to the latency that two forwarders in series add.
// maxRequestCPURatio and maxTokenCPURatio bound the CPU time of the entry, and that
// of the companions, per short request and per streamed token, relative to one
// forwarder in the same run. maxAddedGap bounds the time that the product adds to
// the 95th percentile of the gaps between stream events.
const (
	maxLatencyRatio    = 2.0
	maxRequestCPURatio = 1.5
	maxTokenCPURatio   = 0.7
	maxAddedGap        = 5 * time.Millisecond
)

// samples holds the latencies of many responses.
type samples struct{ firstByte, total []time.Duration }

func (s *samples) add(measured sample) {
	s.firstByte = append(s.firstByte, measured.firstByte)
	s.total = append(s.total, measured.total)
}

// quantile returns the q-quantile of the times, with q from 0 to 1.
func quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	return sorted[int(q*float64(len(sorted)-1))]
}

// printAddedLatency prints the latency that the forwarders and the product add to
// direct requests, and the ratio of the two.
func printAddedLatency(out io.Writer, title string, direct, forwarders, path []time.Duration) {
	for _, q := range []float64{0.5, 0.99} {
		directTime := quantile(direct, q)
		forwarder, product := quantile(forwarders, q)-directTime, quantile(path, q)-directTime
		fmt.Fprintf(out, "%s, p%g: direct %v, forwarders add %v, path adds %v: ratio %.2f (target %.1f)\n",
			title, q*100, directTime, forwarder, product, float64(product)/float64(forwarder), maxLatencyRatio)
	}
}

func printCPU(out io.Writer, process string, cost, forwarder time.Duration, maxRatio float64) {
	fmt.Fprintf(out, "%s: %v, %.2f of a forwarder (target %.1f), %.0f per second per core\n", process, cost, float64(cost)/float64(forwarder), maxRatio, perCore(cost))
}

func perCore(cost time.Duration) float64 {
	if cost <= 0 {
		return 0
	}
	return float64(time.Second) / float64(cost)
}
