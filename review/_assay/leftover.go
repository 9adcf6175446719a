package main

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"
)

var errNotReady = errors.New("a gateway did not become ready")

// leftover loses two of three gateways for good, then kills all processes that are left and
// starts them again. RECOVER: of the requests sent later than recovery_s after that, at least
// a quarter has to be served, if a quarter was before.
func leftover(w *world, trouble bool) (bool, error) {
	const recovery = 12 * time.Second
	w.config["routes"] = []map[string]any{route("stock", "/stock/", "safe", "desk", map[string]any{"max_attempts": 2})}
	w.config["services"] = []map[string]any{{"name": "desk", "health_path": "/healthz", "max_connections": 100}}
	w.config["tenants"] = []map[string]any{{
		"name": "depot", "api_keys": []string{"depot-key"}, "priority": 1, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 40000, "burst": 40000,
	}}
	w.configure()
	for _, id := range []string{"i-desk-1", "i-desk-2"} {
		if _, err := w.newReplica(id, "desk", 6, 10*time.Millisecond); err != nil {
			return false, err
		}
	}
	var fleet []*gatewayProcess
	for _, name := range []string{"edge-1", "edge-2", "edge-3"} {
		g, err := w.newGateway(name)
		if err != nil {
			return false, err
		}
		fleet = append(fleet, g)
	}
	seeds := []string{fleet[0].peer, fleet[1].peer, fleet[2].peer}
	for _, g := range fleet {
		if err := g.start(true, seeds...); err != nil {
			return false, err
		}
	}
	for _, g := range fleet {
		if !g.awaitReady(15 * time.Second) {
			return false, errNotReady
		}
	}
	// The balancer asks each gateway once a second.
	var mu sync.Mutex
	rotation := fleet
	stop := make(chan struct{})
	var balancer sync.WaitGroup
	balancer.Go(func() {
		for {
			var ready []*gatewayProcess
			for _, g := range fleet {
				if g.ready() {
					ready = append(ready, g)
				}
			}
			mu.Lock()
			rotation = ready
			mu.Unlock()
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
			}
		}
	})
	// 50 requests a second use 10,000 of the tenant's 40,000 tokens a second.
	replies := make(chan []*reply, 1)
	go func() {
		replies <- w.traffic(stop, 20*time.Millisecond, func() *reply {
			mu.Lock()
			ready := rotation
			mu.Unlock()
			if len(ready) == 0 {
				ready = fleet
			}
			r := w.call(ready[rand.IntN(len(ready))], "GET", "/stock/item", "depot-key", "", 1500*time.Millisecond)
			w.noteReply("request", r)
			return r
		})
	}()
	time.Sleep(6 * time.Second)
	left := fleet
	if trouble {
		for _, g := range fleet[1:] {
			g.kill()
			w.note("platform: %s is lost for good", g.name)
		}
		left = fleet[:1]
	}
	time.Sleep(4 * time.Second)
	final := time.Now()
	for _, g := range left {
		g.kill()
	}
	w.note("final fault: all processes that are left are killed")
	time.Sleep(800 * time.Millisecond)
	for _, g := range left {
		if err := g.start(false, seeds...); err != nil {
			return false, err
		}
	}
	back := time.Now()
	time.Sleep(recovery + 10*time.Second)
	close(stop)
	all := <-replies
	balancer.Wait()
	var before, servedBefore, after, servedAfter int
	for _, r := range all {
		switch {
		case r.sent.Before(final):
			before++
			if r.served() {
				servedBefore++
			}
		case r.sent.After(back.Add(recovery)):
			after++
			if r.served() {
				servedAfter++
			}
		}
	}
	w.note("served before the final fault: %d of %d; sent later than %v after the processes were back: %d of %d", servedBefore, before, recovery, servedAfter, after)
	return 4*servedBefore >= before && 4*servedAfter < after, nil
}
