package outcome_test

import (
	"testing"
	"time"

	"filbertusher/internal/standin/soak"
)

// TestSoak is a short run of make soak with a fixed seed: random faults hit the
// processes, links and the store, and no guarantee to a caller may be violated.
func TestSoak(t *testing.T) {
	t.Parallel()
	result, err := soak.Run(t.Context(), binaries, soak.Options{
		Seed: 7, MinRequests: 1500, MinFaults: 12, Callers: 30, MaxConcurrentFaults: 3, MeanFaultPause: 300 * time.Millisecond,
		OrderServices: 3, Entries: 2, Limit: testTimeout, JournalWrites: 5,
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range result.Violations {
		t.Error(violation)
	}
	if result.Requests < 1500 || result.FaultCount() < 12 {
		t.Errorf("the run made %d requests and %d faults, want at least 1500 and 12", result.Requests, result.FaultCount())
	}
}
