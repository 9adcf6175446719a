package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// blamedStream answers with a stream in chunks.
func blamedStream(r *replica, conn net.Conn, request *http.Request, _ []byte) bool {
	id := request.Header.Get("X-Filbertusher-Attempt-Id")
	r.mu.Lock()
	r.running++
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Filbertusher-Attempt-Id: %s\r\nX-Filbertusher-Response-Seal: seal.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, id); err != nil {
		return false
	}
	for n := 1; n <= heldEvents; n++ {
		event := eventOf(id, n)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		time.Sleep(heldInterval)
	}
	_, err := conn.Write([]byte("0\r\n\r\n"))
	return err == nil
}

// blamed kills all gateways and, once they are back, crashes three replicas of twelve. RECOVER: of the requests sent later than recovery_s after that, a quarter has to be
// served, if a quarter was before.
func blamed(w *world, trouble bool) (bool, error) {
	const (
		recovery    = 12 * time.Second
		callerCount = 3
	)
	w.config["routes"] = []map[string]any{route("answer", "/answer/", "streaming", "model", map[string]any{
		"timeout_ms": 15000, "target_latency_ms": 1000, "priority": 1, "gap_aim_ms": 400, "session_affinity": true,
	})}
	w.config["services"] = []map[string]any{{"name": "model", "health_path": "/healthz", "max_connections": 620, "engine": map[string]any{"slots": 14, "stride": 5}}}
	w.config["tenants"] = []map[string]any{{
		"name": "depot", "api_keys": []string{"depot-key"}, "priority": 1, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 500000, "burst": 500000,
	}}
	w.configure()
	var replicas []*replica
	for i := range 12 {
		r, err := w.newReplica(fmt.Sprintf("i-model-%d", i+1), "model", 14, 0)
		if err != nil {
			return false, err
		}
		r.serve = blamedStream
		replicas = append(replicas, r)
	}
	var fleet []*gatewayProcess
	for _, name := range []string{"edge-1", "edge-2"} {
		g, err := w.newGateway(name)
		if err != nil {
			return false, err
		}
		fleet = append(fleet, g)
	}
	start := func(bootstrap bool) error {
		for _, g := range fleet {
			if err := g.start(bootstrap, fleet[0].peer, fleet[1].peer); err != nil {
				return err
			}
		}
		return nil
	}
	if err := start(true); err != nil {
		return false, err
	}
	for _, g := range fleet {
		if !g.awaitReady(15 * time.Second) {
			return false, errNotReady
		}
	}
	stop := make(chan struct{})
	var mu sync.Mutex
	var replies []*reply
	var callers sync.WaitGroup
	for i := range callerCount {
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(400 * time.Millisecond):
				}
				r := w.call(fleet[(i+n)%len(fleet)], "POST", "/answer/tank", "depot-key", fmt.Sprintf(`{"question": "%d-%d"}`, i, n), 15*time.Second,
					"X-Filbertusher-Model-Name", "m", "X-Filbertusher-Token-Count", "688,290", "X-Filbertusher-Prompt-Prefix", fmt.Sprintf("5c1e07a2:60,%04x%04x:628", i, n))
				w.noteReply("request", r)
				mu.Lock()
				replies = append(replies, r)
				mu.Unlock()
			}
		})
	}
	time.Sleep(10 * time.Second)
	final := time.Now()
	for _, g := range fleet {
		g.kill()
	}
	w.note("final fault: all gateways are killed")
	time.Sleep(800 * time.Millisecond)
	if err := start(false); err != nil {
		return false, err
	}
	back := time.Now()
	if trouble {
		if err := crashBusy(w, replicas, callerCount, 2*time.Second); err != nil {
			close(stop)
			return false, err
		}
	}
	time.Sleep(time.Until(back.Add(recovery + 16*time.Second)))
	close(stop)
	callers.Wait()
	var before, servedBefore, after, servedAfter int
	for _, r := range replies {
		switch {
		case r.sent.Before(final.Add(-4 * time.Second)):
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

// crashBusy crashes the replicas that run streams, at most a quarter of all, while no stream has
// ended since the gateways were started. They are back after away. If fewer than three have
// crashed then, it does so once more.
func crashBusy(w *world, replicas []*replica, callers int, away time.Duration) error {
	for crashed := 0; crashed < 3; {
		var busy []*replica
		for end := time.Now().Add(5 * time.Second); ; time.Sleep(20 * time.Millisecond) {
			busy = nil
			running := 0
			for _, r := range replicas {
				r.mu.Lock()
				if !r.crashed && r.running > 0 {
					busy = append(busy, r)
					running += r.running
				}
				r.mu.Unlock()
			}
			if running == callers {
				break
			}
			if time.Now().After(end) {
				return errNotBusy
			}
		}
		if len(busy) > len(replicas)/4 {
			return errNotBusy
		}
		for _, r := range busy {
			w.note("replica %s: crashes", r.id)
			r.crash()
		}
		crashed += len(busy)
		time.Sleep(away)
		for _, r := range busy {
			if err := r.restart(); err != nil {
				return err
			}
			w.note("replica %s: back", r.id)
		}
	}
	return nil
}

var errNotBusy = errors.New("the streams did not run as the case needs")
