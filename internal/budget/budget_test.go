package budget

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"filbertusher/pkg/usher"
)

// window is when things happened, without those before the window.
type window []time.Time

func (w *window) within(now time.Time, span time.Duration) float64 {
	for len(*w) > 0 && now.Sub((*w)[0]) >= span {
		*w = (*w)[1:]
	}
	return float64(len(*w))
}

// Any number of instances that ask nobody stay below the bound together, in
// every window, also when some are replaced.
func TestSumStaysWithinTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rules := Rules{Ratio: 0.2, Extra: 54, Window: 10 * time.Second}
		n := rapid.IntRange(1, 8).Draw(t, "instances")
		now := time.Unix(1000, 0)
		instances := make([]*Budget, n)
		start := func(i int) {
			instances[i] = New(rules, func() time.Time { return now })
			instances[i].SetMembers(n)
		}
		for i := range instances {
			start(i)
		}
		replaced := rapid.IntRange(0, 600).Draw(t, "replaced")
		perStep := rapid.IntRange(0, 5).Draw(t, "requests")
		var requests, retries window
		for step := range 1200 {
			now = now.Add(25 * time.Millisecond)
			if step == replaced {
				start(0)
			}
			b := instances[step%n]
			for range perStep {
				b.Earn("s")
				requests = append(requests, now)
			}
			for b.Spend("s") {
				retries = append(retries, now)
			}
			if got, may := retries.within(now, rules.Window), rules.Ratio*requests.within(now, rules.Window)+rules.Extra; got > may {
				t.Fatalf("step %d: %.0f retries in a window, %.0f may be", step, got, may)
			}
		}
	})
}

func TestServicesHaveBudgetsOfTheirOwn(t *testing.T) {
	b := New(Rules{Ratio: 0.2, Extra: 54, Window: 10 * time.Second}, time.Now)
	for b.Spend("a") {
	}
	if !b.Spend("b") {
		t.Error("retries at one service used up the budget of another")
	}
	if b.Left(usher.ServiceName("a")) >= 1 {
		t.Error("a spent budget has something left")
	}
}
