package main

import (
	"time"
)

// latecomer restarts one gateway within 10 s of the loss of another, and counts what the
// restarted one refuses with 429 although the tenant keeps to its quota. It breaks no rule by
// its words, so it is no case.
func latecomer(w *world, trouble bool) (bool, error) {
	w.config["routes"] = []map[string]any{route("stock", "/stock/", "safe", "desk", map[string]any{"max_attempts": 2})}
	w.config["services"] = []map[string]any{{"name": "desk", "health_path": "/healthz", "max_connections": 100}}
	w.config["tenants"] = []map[string]any{{
		"name": "depot", "api_keys": []string{"depot-key"}, "priority": 1, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 20000, "burst": 20000,
	}}
	w.configure()
	for _, id := range []string{"i-desk-1", "i-desk-2"} {
		if _, err := w.newReplica(id, "desk", 6, 5*time.Millisecond); err != nil {
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
	send := func(g *gatewayProcess, seconds time.Duration) (refused, all int) {
		stop := make(chan struct{})
		time.AfterFunc(seconds, func() { close(stop) })
		for _, r := range w.traffic(stop, 15*time.Millisecond, func() *reply {
			return w.call(g, "GET", "/stock/item", "depot-key", "", 1500*time.Millisecond)
		}) {
			all++
			if r.status == 429 {
				refused++
			}
		}
		return refused, all
	}
	// 66 requests a second are 13,300 tokens a second, of 20,000.
	refused, all := send(fleet[0], 40*time.Second)
	w.note("edge-1 alone, 40 s: %d of %d refused with 429", refused, all)
	if trouble {
		fleet[2].kill()
		w.note("edge-3 is lost for good")
	}
	time.Sleep(2 * time.Second)
	fleet[1].kill()
	time.Sleep(800 * time.Millisecond)
	if err := fleet[1].start(false, seeds...); err != nil {
		return false, err
	}
	if !fleet[1].awaitReady(10 * time.Second) {
		return false, errNotReady
	}
	for i := range 6 {
		refused, all := send(fleet[1], 5*time.Second)
		w.note("edge-2 after its restart, %d s to %d s: %d of %d refused with 429", 5*i, 5*i+5, refused, all)
	}
	return false, nil
}
