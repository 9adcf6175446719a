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

// TestInversions reads traces, one request a line:
// rank sent firstToken total outcome [refusal], times in seconds.
func TestInversions(t *testing.T) {
	_, slow := Generations()
	datadriven.RunTest(t, "testdata/inversions", func(t *testing.T, d *datadriven.TestData) string {
		var results []*Result
		for line := range strings.Lines(d.Input) {
			results = append(results, parseResult(t, line))
		}
		count := CountInversions(results, &slow)
		return fmt.Sprintf("shed=%d overtaken=%d\n", count.Shed, count.Overtaken)
	})
}

func parseResult(t *testing.T, line string) *Result {
	t.Helper()
	var rank int
	var sent, first, total float64
	var outcome, refusal string
	if n, _ := fmt.Sscan(line, &rank, &sent, &first, &total, &outcome, &refusal); n < 5 {
		t.Fatalf("line %q has %d fields", line, n)
	}
	r := &Result{
		Rank: usher.Rank(rank), Sent: seconds(sent), FirstToken: seconds(first), Total: seconds(total),
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

func TestPlanIsTheSameForTheSameSeed(t *testing.T) {
	mix := &Mixes()[1]
	fast, slow := Generations()
	options := PlanOptions{
		Rates: Rates(mix, []Hardware{fast, slow}, 1), Duration: 5 * time.Second, Seed: 7,
		Bursts: []Burst{{From: time.Second, To: 2 * time.Second, Factor: 3}},
	}
	if diff := cmp.Diff(Plan(mix, options), Plan(mix, options)); diff != "" {
		t.Error(diff)
	}
	options.Seed = 8
	other := Plan(mix, options)
	options.Seed = 7
	if cmp.Equal(Plan(mix, options), other) {
		t.Error("two seeds gave the same plan")
	}
}

// TestRatesFillTheEngines checks the capacity against the work of a long plan.
func TestRatesFillTheEngines(t *testing.T) {
	fast, slow := Generations()
	hardware := []Hardware{fast, slow}
	for i := range Mixes() {
		mix := &Mixes()[i]
		capacity := CapacityOf(mix, hardware)
		const length = 500 * time.Second
		plan := Plan(mix, PlanOptions{Rates: capacity.Rates, Duration: length, Seed: 1})
		work := time.Duration(0)
		for _, a := range plan {
			work += fast.work(float64(a.Prompt-a.Class.Shared), float64(a.Chat.MaxTokens), capacity.Batch)
		}
		// The slow engine does half of what the fast one does.
		if share := float64(work) / (1.5 * float64(length)); share < 0.9 || share > 1.1 {
			t.Errorf("%s: the plan fills %.2f of the engines", mix.Name, share)
		}
	}
}
