package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

// The bounds of the platform for replicas that name a limit.
const (
	namedLimit  = 2.0
	limitWindow = 4 * time.Second
	// maxInLimitWindow is how many requests a replica may get in limitWindow.
	maxInLimitWindow = int(1.5*namedLimit*4) + 5
)

// A replica that names a limit must not get more requests from all gateways together,
// must still get some, and must get its part again once it names none.
func TestReplicaThatNamesLimit(t *testing.T) {
	c := newCluster(t)
	var mu sync.Mutex
	var arrivals []time.Time
	replicas := make([]*replica, 0, 4)
	for i := range 4 {
		r := newReplica(t, fmt.Sprint("m", i), "model", 4, 5)
		r.processingTime = 10 * time.Millisecond
		replicas = append(replicas, r)
	}
	limited := replicas[0]
	limited.onArrival = func(*http.Request) {
		mu.Lock()
		defer mu.Unlock()
		arrivals = append(arrivals, time.Now())
	}
	for _, r := range replicas {
		c.register(r, "ready")
	}
	gateways := []*gateway{c.startGateway("g1"), c.startGateway("g2"), c.startGateway("g3")}
	for _, g := range gateways {
		c.awaitServed(g, "/plan/a")
	}
	sound := &soundResults{}
	send := func(duration time.Duration) {
		ctx, cancel := context.WithTimeout(t.Context(), duration)
		defer cancel()
		var callers sync.WaitGroup
		// More callers than the other replicas have slots.
		for i := range 15 {
			callers.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					id := fmt.Sprint(duration, "-", i, "-", n)
					sound.add(gateways[i%len(gateways)].call(context.Background(), http.MethodPost, "/plan/"+id, id).status == http.StatusOK)
				}
			})
		}
		callers.Wait()
	}
	arrivalsAfter := func(from time.Time) []time.Time {
		mu.Lock()
		defer mu.Unlock()
		for i, at := range arrivals {
			if at.After(from) {
				return arrivals[i:]
			}
		}
		return nil
	}

	limited.update(func() { limited.rateLimit = fmt.Sprint(namedLimit) })
	named := time.Now()
	send(contactTime + 2*limitWindow)
	bound := arrivalsAfter(named.Add(contactTime))
	for i, from := range bound {
		n := 0
		for _, at := range bound[i:] {
			if at.Sub(from) < limitWindow {
				n++
			}
		}
		if n > maxInLimitWindow {
			t.Errorf("a replica with a limit of %v a second got %d requests in %v, want at most %d", namedLimit, n, limitWindow, maxInLimitWindow)
			break
		}
	}
	if want := int(namedLimit); len(bound) < want {
		t.Errorf("the replica got %d requests in %v, want at least %d", len(bound), 2*limitWindow, want)
	}
	if 10*sound.answered < 9*sound.sent {
		t.Errorf("%d of %d requests were answered, want at least nine of ten", sound.answered, sound.sent)
	}

	limited.update(func() { limited.rateLimit = "" })
	lifted := time.Now()
	send(contactTime + limitWindow)
	if got := len(arrivalsAfter(lifted.Add(contactTime))); got <= maxInLimitWindow {
		t.Errorf("the replica got %d requests in %v after it named no limit any more, want more than %d", got, limitWindow, maxInLimitWindow)
	}
}
