package ledger

import (
	"testing"
	"time"

	"filbertusher/pkg/usher"
)

// TestTakeBack takes a waiting request back and runs it again under its id, and
// leaves alone what was dispatched or never came.
func TestTakeBack(t *testing.T) {
	l := New(time.Minute)
	header := usher.RequestHeader{ID: "r", Idempotent: true}
	if l.TakeBack("r") {
		t.Error("a request that never came was taken back")
	}
	ended := false
	first, fresh := l.Open(header, func() { ended = true })
	if !fresh || !l.TakeBack("r") || !ended {
		t.Fatal("a waiting request was not taken back")
	}
	if first.Dispatch() {
		t.Error("a request that was taken back was dispatched")
	}
	second, fresh := l.Open(header, func() {})
	if !fresh || !second.Dispatch() {
		t.Fatal("a request that was taken back can't be offered again")
	}
	if l.TakeBack("r") {
		t.Error("a dispatched request was taken back")
	}
	// The first entry's retention must not end the second one.
	l.prune(time.Now().Add(time.Hour))
	if found, ok := l.Find("r"); !ok || found != second {
		t.Error("the running request was forgotten")
	}
}
