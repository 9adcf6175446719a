package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"syscall"
	"testing"
	"time"
)

// A replica preempts a stream for seconds and goes on. The gateway offers the rest to
// another replica, and gives the first one up only when that has accepted it. It gave the
// stream up first before, and cut it where the other one rejected it, most often when it
// was about to stop.
func TestPausedStreamIsGivenUpOnlyForAnother(t *testing.T) {
	const neverEnds = time.Minute
	for _, test := range []struct {
		name string
		// pause is how long the first replica makes no event. other changes the second one.
		pause time.Duration
		other func(*replica)
		moves bool
	}{
		{"rejected", 2600 * time.Millisecond, func(r *replica) { r.shedFor = "0" }, false},
		{"goes on before it is accepted", 2600 * time.Millisecond, func(r *replica) { r.processingTime = time.Second }, false},
		{"not accepted in time", 3200 * time.Millisecond, func(r *replica) { r.processingTime = 4 * time.Second }, false},
		{"accepted", neverEnds, func(*replica) {}, true},
	} {
		for _, stops := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, stops=%v", test.name, stops), func(t *testing.T) {
				t.Parallel()
				c := newCluster(t)
				first, other := newReplica(t, "m1", "model", 4, 12), newReplica(t, "m2", "model", 4, 12)
				c.register(first, "ready")
				g := c.startGateway("g1")
				c.awaitServed(g, "/plan/a")
				first.update(func() { first.stall = test.pause })
				got := make(chan callResult, 1)
				go func() {
					got <- g.call(t.Context(), http.MethodPost, "/plan/a", "paused", "X-Filbertusher-Deadline-Ms", "9000")
				}()
				c.eventually("the stream runs", func() bool { return first.executionsOf("paused") == 1 })
				other.update(func() { test.other(other) })
				c.register(other, "ready")
				if stops {
					g.Signal(syscall.SIGTERM)
				}
				result := <-got
				if result.err != nil || result.body != first.completeStream("paused") {
					t.Errorf("the caller got %q and %v", result.body, result.err)
				}
				if moved := other.executionsOf("paused") == 1 && first.cancelledRuns() == 1; moved != test.moves {
					t.Errorf("the stream moved: %v, want %v", moved, test.moves)
				}
			})
		}
	}
}

// cancelledRuns returns how many runs ended because their gateway disconnected.
func (r *replica) cancelledRuns() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cancelled
}

// A request that may be sent once only meets a replica that sheds. Its caller was told to come
// back after half a second, as all others, whatever the replica had asked for.
func TestRejectedCallersComeBackAfterPause(t *testing.T) {
	c := newCluster(t)
	g := c.startGateway("g1")
	desk := newReplica(t, "d1", "desk", 8, 0)
	c.register(desk, "ready")
	c.awaitServed(g, "/check/a")
	desk.update(func() { desk.shedFor, desk.arrivals = "20", nil })
	const callers = 40
	results := make(chan callResult, callers)
	since := time.Now()
	for i := range callers {
		go func() { results <- g.call(t.Context(), http.MethodPost, "/order/a", fmt.Sprint("rejected", i)) }()
	}
	earliest, latest := time.Hour, time.Duration(0)
	for range callers {
		result := <-results
		seconds, err := strconv.ParseFloat(result.header.Get("Retry-After"), 64)
		if result.status != http.StatusServiceUnavailable || err != nil {
			t.Fatalf("status %d, Retry-After %q", result.status, result.header.Get("Retry-After"))
		}
		back := time.Duration(seconds * float64(time.Second))
		earliest, latest = min(earliest, back), max(latest, back)
	}
	if desk.arrivalsSince(since) == 0 {
		t.Error("the replica has rejected nothing")
	}
	if earliest < 20*time.Second-time.Since(since) || latest-earliest < 2*time.Second {
		t.Errorf("callers come back %v to %v after the replica has asked for 20 s", earliest, latest)
	}
}
