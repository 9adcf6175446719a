package ledger

import (
	"testing"
	"time"

	"filbertusher/pkg/usher"
)

// TestTakeBack takes back a waiting request and runs it again under the same ID.
// Requests that were dispatched or never offered must not be taken back.
func TestTakeBack(t *testing.T) {
	l := New(time.Minute)
	header := usher.RequestHeader{ID: "r", Idempotent: true}
	if l.TakeBack("r") {
		t.Error("a request that was never offered was taken back")
	}
	cancelled := false
	first, isNew := l.Open(header, func() { cancelled = true })
	if !isNew || !l.TakeBack("r") || !cancelled {
		t.Fatal("a waiting request was not taken back")
	}
	if first.Dispatch() {
		t.Error("a request that was taken back was dispatched")
	}
	second, isNew := l.Open(header, func() {})
	if !isNew || !second.Dispatch() {
		t.Fatal("a request that was taken back can't be opened and dispatched again")
	}
	if l.TakeBack("r") {
		t.Error("a dispatched request was taken back")
	}
	// Pruning the first entry must not remove the second one.
	l.prune(time.Now().Add(time.Hour))
	if found, ok := l.Find("r"); !ok || found != second {
		t.Error("the dispatched request was pruned")
	}
}
