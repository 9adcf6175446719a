package load

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/google/go-cmp/cmp"

	"filbertusher/pkg/usher"
)

// TestCountInversions counts the priority inversions in the traces of
// testdata/inversions. Each line of a trace is one request:
// rank sent firstToken total outcome [refusal]
// The times are in seconds.
func TestCountInversions(t *testing.T) {
	_, slow := HardwareGenerations()
	datadriven.RunTest(t, "testdata/inversions", func(t *testing.T, data *datadriven.TestData) string {
		var results []*Result
		for line := range strings.Lines(data.Input) {
			results = append(results, parseResult(t, line))
		}
		count := CountPriorityInversions(results, &slow)
		return fmt.Sprintf("shed=%d overtaken=%d\n", count.Shed, count.Overtaken)
	})
}

func parseResult(t *testing.T, line string) *Result {
	t.Helper()
	var rank int
	var sent, firstToken, total float64
	var outcome, refusal string
	if fields, _ := fmt.Sscan(line, &rank, &sent, &firstToken, &total, &outcome, &refusal); fields < 5 {
		t.Fatalf("line %q: got %d fields, want at least 5", line, fields)
	}
	r := &Result{
		Rank: usher.Rank(rank), Sent: seconds(sent), FirstToken: seconds(firstToken), Total: seconds(total),
		PromptTokens: 128, AnswerTokens: 10, Outcome: usher.OutcomeUnknown, Refusal: usher.RefusalKind(refusal),
	}
	switch outcome {
	case "ran":
		r.Outcome, r.OnTime = usher.OutcomeRan, true
	case "late":
		r.Outcome = usher.OutcomeRan
	case "notRun":
		r.Outcome = usher.OutcomeNotRun
	}
	return r
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func TestArrivalsAreDeterministic(t *testing.T) {
	mix := &Mixes()[1]
	fast, slow := HardwareGenerations()
	options := ArrivalOptions{
		Rates: RatesAtLoad(mix, []Hardware{fast, slow}, 1), Duration: 5 * time.Second, Seed: 7,
		Bursts: []Burst{{From: time.Second, To: 2 * time.Second, Factor: 3}},
	}
	if diff := cmp.Diff(GenerateArrivals(mix, options), GenerateArrivals(mix, options)); diff != "" {
		t.Error(diff)
	}
	options.Seed = 8
	otherSeed := GenerateArrivals(mix, options)
	options.Seed = 7
	if cmp.Equal(GenerateArrivals(mix, options), otherSeed) {
		t.Error("two seeds gave the same arrivals")
	}
}

// TestCapacityMatchesEngineTime generates arrivals at the computed capacity for a
// long time and checks that they use the available engine time to within 10%.
func TestCapacityMatchesEngineTime(t *testing.T) {
	fast, slow := HardwareGenerations()
	hardware := []Hardware{fast, slow}
	for i := range Mixes() {
		mix := &Mixes()[i]
		capacity := CapacityOf(mix, hardware)
		const duration = 500 * time.Second
		arrivals := GenerateArrivals(mix, ArrivalOptions{Rates: capacity.Rates, Duration: duration, Seed: 1})
		busy := time.Duration(0)
		for _, arrival := range arrivals {
			busy += fast.engineTime(float64(arrival.PromptTokens-arrival.Class.SharedPrefixTokens), float64(arrival.Chat.MaxTokens), capacity.Batch)
		}
		// The slow engine adds half the throughput of the fast one.
		if utilization := float64(busy) / (1.5 * float64(duration)); utilization < 0.9 || utilization > 1.1 {
			t.Errorf("%s: the arrivals use %.2f of the available engine time", mix.Name, utilization)
		}
	}
}
