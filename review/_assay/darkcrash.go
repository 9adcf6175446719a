package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// darkReplica is a replica behind its link, which one request crashes.
type darkReplica struct {
	*replica
	link   *partition
	behind string
}

const (
	poisonPath = "/stock/poison"
	// darkFor is how long a replica is away after a crash.
	darkFor = 4 * time.Second
)

// darkCrash sends a request that crashes each replica that begins to run it, again and again:
// the replica goes dark, and is back after some seconds. BUDGET: it may reach replicas in three
// retries at most, later than contact_ms after it has crashed the third.
func darkCrash(w *world, trouble bool) (bool, error) {
	const contact = 3 * time.Second
	// RESET=1 is for comparison: the replicas have no links of their own, and the crash resets
	// the connections.
	byReset := os.Getenv("RESET") == "1"
	w.config["routes"] = []map[string]any{route("stock", "/stock/", "safe", "desk", map[string]any{"max_attempts": 2, "timeout_ms": 800})}
	w.config["services"] = []map[string]any{{"name": "desk", "health_path": "/healthz", "max_connections": 100}}
	w.config["tenants"] = []map[string]any{{
		"name": "depot", "api_keys": []string{"depot-key"}, "priority": 1, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 500000, "burst": 500000,
	}}
	w.configure()
	var mu sync.Mutex
	var crashes, arrivals []time.Time
	for i := range 8 {
		r, err := w.newReplica(fmt.Sprintf("i-desk-%d", i+1), "desk", 6, 15*time.Millisecond)
		if err != nil {
			return false, err
		}
		d := &darkReplica{replica: r, behind: r.address}
		if d.link, err = w.newPartition(d.behind); err != nil {
			return false, err
		}
		if !byReset {
			r.mu.Lock()
			r.address = d.link.listener.Addr().String()
			r.mu.Unlock()
			r.register()
		}
		r.serve = func(r *replica, conn net.Conn, request *http.Request, _ []byte) bool {
			time.Sleep(r.work)
			if request.URL.Path != poisonPath || !trouble {
				return r.answer(conn, request, "the stock") == nil
			}
			mu.Lock()
			arrivals = append(arrivals, time.Now())
			crashes = append(crashes, time.Now())
			n := len(crashes)
			mu.Unlock()
			w.note("replica %s: crash %d, by %s", r.id, n, request.Header.Get("X-Filbertusher-Attempt-Id"))
			if byReset {
				r.crash()
			} else {
				d.link.forget()
				d.link.cut(true)
				r.stopProcess()
			}
			go func() {
				time.Sleep(darkFor)
				listener, err := net.Listen("tcp", d.behind)
				if err != nil {
					w.note("replica %s: %v", r.id, err)
					return
				}
				if !byReset {
					d.link.cut(false)
				}
				r.begin(listener)
				w.note("replica %s: back", r.id)
			}()
			return false
		}
	}
	var fleet []*gatewayProcess
	for _, name := range []string{"edge-1", "edge-2"} {
		g, err := w.newGateway(name)
		if err != nil {
			return false, err
		}
		fleet = append(fleet, g)
	}
	for _, g := range fleet {
		if err := g.start(true, fleet[0].peer, fleet[1].peer); err != nil {
			return false, err
		}
	}
	for _, g := range fleet {
		if !g.awaitReady(15 * time.Second) {
			return false, errNotReady
		}
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		served := 0
		all := w.traffic(stop, 40*time.Millisecond, func() *reply {
			return w.call(fleet[rand.IntN(len(fleet))], "GET", fmt.Sprintf("/stock/%d", rand.IntN(1000)), "depot-key", "", 1500*time.Millisecond)
		})
		for _, r := range all {
			if r.served() {
				served++
			}
		}
		w.note("other requests: %d of %d served", served, len(all))
	})
	for i := range 10 {
		w.noteReply("the request that crashes replicas", w.call(fleet[i%len(fleet)], "GET", poisonPath, "depot-key", "", 1500*time.Millisecond))
		time.Sleep(4 * time.Second)
	}
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	if len(crashes) >= 3 {
		for _, at := range arrivals {
			if at.Sub(crashes[2]) > contact {
				late++
			}
		}
	}
	w.note("%d crashes; %d arrivals at replicas later than %v after the third", len(crashes), late, contact)
	return late > 3, nil
}
