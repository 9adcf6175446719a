package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Many callers send long bodies at once, more than the memory of a gateway holds. It keeps
// within its memory, and each caller gets a response: that of a replica, or a refusal that
// says when to come back. Streams that run go on. The bodies were all read at once before.
func TestLongBodiesAtOnce(t *testing.T) {
	const callers, bodyBytes = 600, 1 << 20
	c := newCluster(t)
	desk, model := newReplica(t, "d1", "desk", 100, 0), newReplica(t, "m1", "model", 4, 30)
	desk.processingTime = time.Second
	c.register(desk, "ready")
	c.register(model, "ready")
	g := c.startGateway("g1")
	c.awaitServed(g, "/check/a")
	c.awaitServed(g, "/plan/a")
	model.update(func() { model.eventInterval = 100 * time.Millisecond })
	var wait sync.WaitGroup
	for n := range 3 {
		wait.Go(func() {
			id := fmt.Sprint("stream", n)
			got := g.call(t.Context(), http.MethodPost, "/plan/a", id, "X-Filbertusher-Deadline-Ms", "15000")
			if got.err != nil || got.body != model.completeStream(id) {
				t.Errorf("a stream ended after %d bytes with %v", len(got.body), got.err)
			}
		})
	}
	body := strings.Repeat("x", bodyBytes)
	var answered, refused, late, closed atomic.Int64
	for n := range callers {
		wait.Go(func() {
			id := fmt.Sprint("upload", n)
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+g.callerAddress+"/order/a", strings.NewReader(body))
			if err != nil {
				t.Error(err)
				return
			}
			request.Host = "site.example"
			request.Header.Set("X-Filbertusher-Attempt-Id", id)
			request.Header.Set("X-Filbertusher-Deadline-Ms", "4000")
			request.Header.Set("X-Filbertusher-Credential", "key")
			transport := &http.Transport{DisableKeepAlives: true}
			response, err := transport.RoundTrip(request)
			if err != nil {
				// A caller that still sends when the connection is closed may miss the refusal.
				closed.Add(1)
				if desk.executionsOf(id) > 0 {
					t.Errorf("%s was run and got no answer: %v", id, err)
				}
				return
			}
			_ = response.Body.Close()
			switch {
			case response.StatusCode == http.StatusOK:
				answered.Add(1)
			case response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") != "":
				refused.Add(1)
			case response.StatusCode == http.StatusGatewayTimeout:
				late.Add(1)
			default:
				t.Errorf("%s got status %d", id, response.StatusCode)
			}
		})
	}
	wait.Wait()
	t.Logf("%d answered, %d refused, %d too late, %d closed; %d MiB used at most", answered.Load(), refused.Load(), late.Load(), closed.Load(), g.peakResidentBytes(t)>>20)
	if answered.Load() == 0 || refused.Load() == 0 {
		t.Errorf("%d answered, %d refused, want some of both", answered.Load(), refused.Load())
	}
	if used := g.peakResidentBytes(t); used > maxResidentBytes {
		t.Errorf("%d MiB of memory were used, more than %d MiB", used>>20, maxResidentBytes>>20)
	}
}
