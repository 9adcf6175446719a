package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"
)

// shedPair is a gateway with two replicas of one service, of which one has asked to be left
// alone for shedTime.
type shedPair struct {
	*cluster
	gateway         *gateway
	serving, paused *replica
	pausedAt        time.Time
}

// shedTime is longer than the tests last.
const shedTime = time.Minute

func newShedPair(t *testing.T, service, path string, events int) *shedPair {
	t.Helper()
	p := &shedPair{cluster: newCluster(t)}
	p.revokeMS = 60000
	p.serving, p.paused = newReplica(t, "r1", service, 4, events), newReplica(t, "r2", service, 4, events)
	p.register(p.paused, "ready")
	p.gateway = p.startGateway("g1")
	p.awaitServed(p.gateway, path)
	p.paused.update(func() { p.paused.shedFor = strconv.FormatFloat(shedTime.Seconds(), 'f', -1, 64) })
	p.eventually("the replica has asked to be left alone", func() bool {
		p.gateway.call(t.Context(), http.MethodPost, path, fmt.Sprint("asks", time.Now().UnixNano()))
		return p.gateway.logs("endpointPaused", "endpoint=r2")
	})
	// It serves what it gets nevertheless.
	p.paused.update(func() { p.paused.shedFor = "" })
	p.pausedAt = time.Now()
	return p
}

// awaitServing registers the other replica and waits until it serves.
func (p *shedPair) awaitServing(path string) {
	p.t.Helper()
	p.register(p.serving, "ready")
	p.awaitServed(p.gateway, path)
}

// checkLeftAlone fails the test if the paused replica has received a request.
func (p *shedPair) checkLeftAlone() {
	p.t.Helper()
	if got := p.paused.arrivalsSince(p.pausedAt); got != 0 {
		p.t.Errorf("the paused replica received %d requests", got)
	}
}

// Where the only other replica has asked to be left alone, nothing moves there: neither what
// broke off, nor what is slow, nor what a caller takes up.
func TestNothingMovesToPausedReplica(t *testing.T) {
	t.Run("repeat", func(t *testing.T) {
		p := newShedPair(t, "desk", "/check/a", 0)
		p.awaitServing("/check/a")
		p.serving.update(func() { p.serving.pendingResets = 1 })
		if got := p.gateway.call(t.Context(), http.MethodGet, "/check/a", "lost"); got.status != http.StatusBadGateway {
			t.Errorf("status %d, error %v, want 502 for a request that may have run", got.status, got.err)
		}
		p.checkLeftAlone()
	})
	t.Run("failure", func(t *testing.T) {
		p := newShedPair(t, "desk", "/check/a", 0)
		p.awaitServing("/check/a")
		p.serving.update(func() { p.serving.pendingFailures = 1 })
		p.gateway.call(t.Context(), http.MethodGet, "/check/a", "failed")
		p.checkLeftAlone()
	})
	t.Run("slow answer", func(t *testing.T) {
		p := newShedPair(t, "desk", "/check/a", 0)
		p.awaitServing("/check/a")
		// The gateway seeks another replica after 2.5 times the target of 500 ms.
		p.serving.update(func() { p.serving.processingTime = 2500 * time.Millisecond })
		if got := p.gateway.call(t.Context(), http.MethodGet, "/check/a", "slow"); got.status != http.StatusOK {
			t.Errorf("status %d, error %v", got.status, got.err)
		}
		p.checkLeftAlone()
	})
	t.Run("broken stream", func(t *testing.T) {
		p := newShedPair(t, "model", "/plan/a", 8)
		p.awaitServing("/plan/a")
		p.serving.update(func() { p.serving.abortAfter = 3 })
		if got := p.gateway.call(t.Context(), http.MethodPost, "/plan/a", "broken"); got.err == nil {
			t.Errorf("a stream that broke off was delivered as %q", got.body)
		}
		p.checkLeftAlone()
	})
	t.Run("silent stream", func(t *testing.T) {
		p := newShedPair(t, "model", "/plan/a", 8)
		p.awaitServing("/plan/a")
		p.serving.update(func() { p.serving.stall = 2600 * time.Millisecond })
		got := p.gateway.call(t.Context(), http.MethodPost, "/plan/a", "silent", "X-Filbertusher-Deadline-Ms", "9000")
		if got.err != nil || got.body != p.serving.completeStream("silent") {
			t.Errorf("the caller got %q and %v", got.body, got.err)
		}
		p.checkLeftAlone()
	})
	t.Run("stream taken up", func(t *testing.T) {
		p := newShedPair(t, "model", "/plan/a", 8)
		got := p.gateway.call(t.Context(), http.MethodPost, "/plan/a", "rest", "Last-Event-Id", "3", "Resumes", "begun")
		wait, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		if got.status != http.StatusServiceUnavailable || err != nil || wait < (shedTime-time.Since(p.pausedAt)-time.Second).Seconds() {
			t.Errorf("status %d, Retry-After %q", got.status, got.header.Get("Retry-After"))
		}
		p.checkLeftAlone()
	})
}
