package suspect_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"filbertusher/internal/suspect"
	"filbertusher/pkg/usher"
)

// TestTablesConverge lets processes see crashes and clearances and tell each
// other in any order: once all have heard all, they know the same.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := []*suspect.Table{suspect.NewTable(), suspect.NewTable(), suspect.NewTable()}
		at := func() int { return rapid.IntRange(0, len(tables)-1).Draw(t, "table") }
		header := func() *usher.RequestHeader {
			return &usher.RequestHeader{Workspace: "w", Digest: usher.Digest(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "digest"))}
		}
		t.Repeat(map[string]func(*rapid.T){
			"crash": func(*rapid.T) { tables[at()].Crashed(header()) },
			"clear": func(*rapid.T) { tables[at()].Cleared(header()) },
			"tell":  func(*rapid.T) { tables[at()].Learn(tables[at()].Shared()) },
		})
		for range tables {
			for _, from := range tables {
				for _, to := range tables {
					to.Learn(from.Shared())
				}
			}
		}
		same := cmpopts.IgnoreFields(suspect.Suspect{}, "Seen")
		sorted := cmpopts.SortSlices(func(a, b suspect.Suspect) bool { return a.Fingerprint < b.Fingerprint })
		for _, other := range tables[1:] {
			if diff := cmp.Diff(tables[0].Shared(), other.Shared(), same, sorted); diff != "" {
				t.Fatal(diff)
			}
		}
	})
}

// TestClearanceWins proves that an old crash does not come back after a
// clearance, though messages still carry it.
func TestClearanceWins(t *testing.T) {
	header := &usher.RequestHeader{Workspace: "w", Digest: "d"}
	fingerprint := func() suspect.Fingerprint { return suspect.Of(header) }
	first, second := suspect.NewTable(), suspect.NewTable()
	first.Crashed(header)
	old := first.Shared()
	second.Learn(old)
	second.Cleared(header)
	second.Learn(old)
	if got := second.Crashes(fingerprint); got != 0 {
		t.Errorf("an old message brought %d crashes back", got)
	}
	first.Learn(second.Shared())
	if got := first.Crashes(fingerprint); got != 0 {
		t.Errorf("the clearance left %d crashes", got)
	}
}

// TestGate lets many requests in at once, some of which ask to be alone.
func TestGate(t *testing.T) {
	gate := suspect.NewGate()
	var inside, alone atomic.Int64
	var group sync.WaitGroup
	for i := range 200 {
		group.Go(func() {
			wantsAlone := i%10 == 0
			if !gate.Enter(context.Background(), wantsAlone) {
				t.Error("the gate did not let a request in")
				return
			}
			now := inside.Add(1)
			if wantsAlone {
				alone.Add(1)
			}
			if alone.Load() > 0 && now > 1 {
				t.Error("a suspect was not alone")
			}
			if wantsAlone {
				alone.Add(-1)
			}
			inside.Add(-1)
			gate.Leave()
		})
	}
	group.Wait()
	ended, cancel := context.WithCancel(context.Background())
	gate.Enter(context.Background(), false)
	cancel()
	if gate.Enter(ended, true) {
		t.Error("a suspect entered beside another request")
	}
	if !gate.Enter(context.Background(), false) {
		t.Error("a suspect that gave up kept the gate closed")
	}
}

// A process that has not heard of the first crash counts the second one as such,
// because the request says how often it has crashed endpoints before.
func TestCrashCountsOnWhatTheSenderKnew(t *testing.T) {
	first, second := suspect.NewTable(), suspect.NewTable()
	header := &usher.RequestHeader{Workspace: "w", Digest: "a"}
	header.Crashes = first.Crashed(header)
	if got := second.Crashed(header); got != 2 {
		t.Errorf("the second crash counts as %d", got)
	}
	first.Learn(second.Shared())
	if got := first.Crashes(func() suspect.Fingerprint { return suspect.Of(header) }); got != 2 {
		t.Errorf("the first process knows of %d crashes", got)
	}
}
