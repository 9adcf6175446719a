package outcome_test

import (
	"testing"
	"time"

	"filbertusher/internal/standin/soak"
)

// TestSoak is a short form of make soak with a fixed seed: random faults over
// the whole path, in which no promise may be broken.
func TestSoak(t *testing.T) {
	t.Parallel()
	result, err := soak.Run(t.Context(), binaries, soak.Options{
		Seed: 7, Requests: 1500, Faults: 12, Callers: 30, Overlap: 3, FaultGap: 300 * time.Millisecond,
		Desks: 3, Entries: 2, Limit: testTimeout, JournalWrites: 5,
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range result.Violations {
		t.Error(violation)
	}
	if result.Requests < 1500 || result.Count() < 12 {
		t.Errorf("only %d requests and %d faults", result.Requests, result.Count())
	}
}
