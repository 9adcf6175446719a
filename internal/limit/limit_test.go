package limit

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	_ "filbertusher/internal/standin/property"
	"filbertusher/pkg/usher"
)

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		now := time.Unix(0, 0)
		l := New()
		l.now = func() time.Time { return now }
		var limits usher.TierLimits
		var permits []Permit
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "limits":
				limits = usher.TierLimits{}
				var requests, tokens int
				d.MaybeScanArgs(t, "requests", &requests)
				d.MaybeScanArgs(t, "tokens", &tokens)
				d.MaybeScanArgs(t, "concurrency", &limits.Concurrency)
				limits.RequestsPerSecond, limits.TokensPerSecond = float64(requests), float64(tokens)
			case "advance":
				by, err := time.ParseDuration(d.CmdArgs[0].Key)
				if err != nil {
					t.Fatal(err)
				}
				now = now.Add(by)
			case "release":
				permits[0].Release()
				permits = permits[1:]
			case "acquire":
				entries, count, cost := 1, 1, 10
				d.MaybeScanArgs(t, "entries", &entries)
				d.MaybeScanArgs(t, "times", &count)
				d.MaybeScanArgs(t, "cost", &cost)
				h := &usher.RequestHeader{Workspace: "w", Tier: "t", Cost: usher.RequestCost{PromptTokens: usher.Tokens(cost)}}
				for i := range count {
					permit, refusal := l.Acquire(h, limits, float64(entries))
					if refusal != nil {
						return fmt.Sprintf("%d acquired, then %s: %s, retry after %v\n", i, refusal.Kind, refusal.Message, refusal.RetryAfter)
					}
					permits = append(permits, permit)
				}
				return fmt.Sprintf("%d acquired\n", count)
			}
			return ""
		})
	})
}

// TestSumOverEntries checks that the sum exceeds a limit by no more than the stated
// bound, however the requests are spread over the entries. The entries know their
// number.
func TestSumOverEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		entries := make([]*Limiter, rapid.IntRange(1, 8).Draw(t, "entries"))
		for i := range entries {
			entries[i] = New()
			entries[i].now = func() time.Time { return now }
		}
		limits := usher.TierLimits{
			RequestsPerSecond: float64(rapid.IntRange(1, 50).Draw(t, "requests")),
			Concurrency:       rapid.IntRange(1, 50).Draw(t, "concurrency"),
		}
		h := &usher.RequestHeader{Workspace: "w", Tier: "t"}
		start := now
		admitted, inFlight := 0, 0
		var permits []Permit
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "pause")) * time.Millisecond)
			if len(permits) > 0 && rapid.Bool().Draw(t, "release") {
				permits[0].Release()
				permits = permits[1:]
				inFlight--
				continue
			}
			permit, refusal := entries[rapid.IntRange(0, len(entries)-1).Draw(t, "entry")].Acquire(h, limits, float64(len(entries)))
			if refusal == nil {
				permits = append(permits, permit)
				admitted++
				inFlight++
			}
			elapsed := now.Sub(start).Seconds()
			if most := limits.RequestsPerSecond*(elapsed+burstDuration.Seconds()) + float64(len(entries)); float64(admitted) > most {
				t.Fatalf("%d requests were admitted in %vs at a limit of %v/s and %d entries", admitted, elapsed, limits.RequestsPerSecond, len(entries))
			}
			if inFlight > limits.Concurrency+len(entries)-1 {
				t.Fatalf("%d requests in flight at a limit of %d and %d entries", inFlight, limits.Concurrency, len(entries))
			}
		}
	})
}

// BenchmarkAcquire measures one decision at the target number of workspaces.
func BenchmarkAcquire(b *testing.B) {
	headers := make([]usher.RequestHeader, 34000)
	for i := range headers {
		headers[i] = usher.RequestHeader{Workspace: usher.WorkspaceName(fmt.Sprint("workspace-", i)), Tier: "t"}
	}
	before := heapInUse()
	l := New()
	limits := usher.TierLimits{RequestsPerSecond: 1e9, TokensPerSecond: 1e12, Concurrency: 1000}
	for i := range headers {
		permit, _ := l.Acquire(&headers[i], limits, 330)
		permit.Release()
	}
	memory := float64(heapInUse()-before) / (1 << 20)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		permit, _ := l.Acquire(&headers[i%len(headers)], limits, 330)
		permit.Release()
	}
	b.ReportMetric(memory, "MB")
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
