package suspect_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	_ "filbertusher/internal/standin/property"
	"filbertusher/internal/suspect"
	"filbertusher/pkg/usher"
)

// TestTablesConverge records crashes and clearances in several tables and merges
// them in random order. Once each table has merged all others, all are equal.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := []*suspect.Table{suspect.NewTable(), suspect.NewTable(), suspect.NewTable()}
		drawTable := func() int { return rapid.IntRange(0, len(tables)-1).Draw(t, "table") }
		drawHeader := func() *usher.RequestHeader {
			return &usher.RequestHeader{Workspace: "w", Digest: usher.Digest(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "digest"))}
		}
		t.Repeat(map[string]func(*rapid.T){
			"crash": func(*rapid.T) { tables[drawTable()].RecordCrash(drawHeader()) },
			"clear": func(*rapid.T) { tables[drawTable()].MarkCleared(drawHeader()) },
			"merge": func(*rapid.T) { tables[drawTable()].Merge(tables[drawTable()].Recent()) },
		})
		for range tables {
			for _, from := range tables {
				for _, to := range tables {
					to.Merge(from.Recent())
				}
			}
		}
		ignoreSeen := cmpopts.IgnoreFields(suspect.CrashRecord{}, "Seen")
		sortByFingerprint := cmpopts.SortSlices(func(a, b suspect.CrashRecord) bool { return a.Fingerprint < b.Fingerprint })
		for _, other := range tables[1:] {
			if diff := cmp.Diff(tables[0].Recent(), other.Recent(), ignoreSeen, sortByFingerprint); diff != "" {
				t.Fatal(diff)
			}
		}
	})
}

// TestClearanceSupersedesCrash checks that a message with an old crash record does
// not undo a clearance.
func TestClearanceSupersedesCrash(t *testing.T) {
	header := &usher.RequestHeader{Workspace: "w", Digest: "d"}
	fingerprint := func() suspect.Fingerprint { return suspect.FingerprintOf(header) }
	first, second := suspect.NewTable(), suspect.NewTable()
	first.RecordCrash(header)
	outdated := first.Recent()
	second.Merge(outdated)
	second.MarkCleared(header)
	second.Merge(outdated)
	if got := second.Crashes(fingerprint); got != 0 {
		t.Errorf("got %d crashes after merging an old message, want 0", got)
	}
	first.Merge(second.Recent())
	if got := first.Crashes(fingerprint); got != 0 {
		t.Errorf("got %d crashes after merging the clearance, want 0", got)
	}
}

// TestExclusiveLock takes the lock from many goroutines at once, every tenth time
// exclusively, and checks that exclusive holders are by themselves.
func TestExclusiveLock(t *testing.T) {
	lock := suspect.NewRunLock()
	var holders, exclusiveHolders atomic.Int64
	var group sync.WaitGroup
	for i := range 200 {
		group.Go(func() {
			exclusive := i%10 == 0
			if !lock.Acquire(context.Background(), exclusive) {
				t.Error("the lock was not acquired")
				return
			}
			current := holders.Add(1)
			if exclusive {
				exclusiveHolders.Add(1)
			}
			if exclusiveHolders.Load() > 0 && current > 1 {
				t.Error("an exclusive holder was not the only holder")
			}
			if exclusive {
				exclusiveHolders.Add(-1)
			}
			holders.Add(-1)
			lock.Release()
		})
	}
	group.Wait()
	cancelled, cancel := context.WithCancel(context.Background())
	lock.Acquire(context.Background(), false)
	cancel()
	if lock.Acquire(cancelled, true) {
		t.Error("an exclusive lock was acquired beside a shared one")
	}
	if !lock.Acquire(context.Background(), false) {
		t.Error("a cancelled exclusive waiter still blocks shared holders")
	}
}

// TestCrashCountsOnFromSender checks that a process which has not heard of the
// first crash counts the second one as the second, because the request's header
// carries the number of earlier crashes.
func TestCrashCountsOnFromSender(t *testing.T) {
	first, second := suspect.NewTable(), suspect.NewTable()
	header := &usher.RequestHeader{Workspace: "w", Digest: "a"}
	header.Crashes = first.RecordCrash(header)
	if got := second.RecordCrash(header); got != 2 {
		t.Errorf("got %d crashes after the second crash, want 2", got)
	}
	first.Merge(second.Recent())
	if got := first.Crashes(func() suspect.Fingerprint { return suspect.FingerprintOf(header) }); got != 2 {
		t.Errorf("got %d crashes in the first table, want 2", got)
	}
}
