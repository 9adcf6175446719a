package retrybudget

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "filbertusher/internal/standin/property"
	"filbertusher/pkg/usher"
)

// window lists the times of the events within a sliding window.
type window []time.Time

func (w *window) count(now time.Time, length time.Duration) float64 {
	for len(*w) > 0 && now.Sub((*w)[0]) >= length {
		*w = (*w)[1:]
	}
	return float64(len(*w))
}

// Any number of instances, which do not communicate, must stay within the limit in
// every window in total, even if one of them is replaced.
func TestRetriesStayWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Ratio: 0.2, Extra: 54, Window: 10 * time.Second}
		n := rapid.IntRange(1, 8).Draw(t, "instances")
		now := time.Unix(1000, 0)
		instances := make([]*Budget, n)
		start := func(i int) {
			instances[i] = New(limits, func() time.Time { return now })
			instances[i].SetInstanceCount(n)
		}
		for i := range instances {
			start(i)
		}
		replaced := rapid.IntRange(0, 600).Draw(t, "replaced")
		requestsPerStep := rapid.IntRange(0, 5).Draw(t, "requests")
		var requests, retries window
		for step := range 1200 {
			now = now.Add(25 * time.Millisecond)
			if step == replaced {
				start(0)
			}
			b := instances[step%n]
			for range requestsPerStep {
				b.CountRequest("s")
				requests = append(requests, now)
			}
			for b.TrySpend("s") {
				retries = append(retries, now)
			}
			if got, most := retries.count(now, limits.Window), limits.Ratio*requests.count(now, limits.Window)+limits.Extra; got > most {
				t.Fatalf("step %d: %.0f retries in a window, want at most %.0f", step, got, most)
			}
		}
	})
}

func TestServicesHaveSeparateBudgets(t *testing.T) {
	b := New(Limits{Ratio: 0.2, Extra: 54, Window: 10 * time.Second}, time.Now)
	for b.TrySpend("a") {
	}
	if !b.TrySpend("b") {
		t.Error("retries of one service used up the budget of another")
	}
	if b.Balance(usher.ServiceName("a")) >= 1 {
		t.Error("a used-up budget has a retry left")
	}
}
