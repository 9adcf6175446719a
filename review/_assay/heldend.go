package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	heldEvents   = 58
	heldInterval = 60 * time.Millisecond
	heartbeat    = 1200 * time.Millisecond
	// storeTimeout is how long a replica waits for an answer of the store.
	storeTimeout = 2 * time.Second
)

// heldStream answers with a stream that has no length and ends with its connection.
func heldStream(r *replica, conn net.Conn, request *http.Request, _ []byte) bool {
	id := request.Header.Get("X-Filbertusher-Attempt-Id")
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Filbertusher-Attempt-Id: %s\r\nX-Filbertusher-Response-Seal: seal.%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", id, id); err != nil {
		return false
	}
	for n := 1; n <= heldEvents; n++ {
		if _, err := conn.Write([]byte(eventOf(id, n))); err != nil {
			r.world.note("replica %s: the stream of %s breaks off before event %d", r.id, id, n)
			return false
		}
		time.Sleep(heldInterval)
	}
	r.world.note("replica %s: the stream of %s has its %d events", r.id, id, heldEvents)
	return false
}

// stopProcess ends the process of a replica as a kill does: its port is closed, and its
// connections end after what was sent on them.
func (r *replica) stopProcess() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashed = true
	_ = r.listener.Close()
	close(r.stopBeating)
	for conn := range r.conns {
		_ = conn.Close()
	}
	r.conns = make(map[net.Conn]bool)
}

// heldEnd kills a replica behind a cut and starts it again, so that the ends of its streams
// arrive when it accepts connections again. The store executes the write by which it registers
// late and does not answer it. ORDER: no stream may end as complete before its last piece.
func heldEnd(w *world, trouble bool) (bool, error) {
	w.config["routes"] = []map[string]any{route("answer", "/answer/", "streaming", "model", map[string]any{
		"timeout_ms": 15000, "target_latency_ms": 1000, "priority": 1, "gap_aim_ms": 400, "session_affinity": true,
	})}
	w.config["services"] = []map[string]any{{"name": "model", "health_path": "/healthz", "max_connections": 620, "engine": map[string]any{"slots": 14, "stride": 5}}}
	w.config["tenants"] = []map[string]any{{
		"name": "depot", "api_keys": []string{"depot-key"}, "priority": 1, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 500000, "burst": 500000,
	}}
	w.configure()
	first, err := w.newReplica("i-model-1", "model", 14, 0)
	if err != nil {
		return false, err
	}
	first.serve = heldStream
	second, err := w.newReplica("i-model-2", "model", 14, 0)
	if err != nil {
		return false, err
	}
	second.serve = heldStream
	// The second replica is reached through its link.
	behind := second.address
	link, err := w.newPartition(behind)
	if err != nil {
		return false, err
	}
	second.mu.Lock()
	second.address = link.listener.Addr().String()
	second.mu.Unlock()
	second.register()
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
	var mu sync.Mutex
	var replies []*reply
	var pending sync.WaitGroup
	second.register()
	lastBeat := time.Now()
	for i := range 12 {
		pending.Go(func() {
			r := w.call(fleet[i%len(fleet)], "POST", "/answer/tank", "depot-key", `{"question": "which pump"}`, 15*time.Second,
				"X-Filbertusher-Model-Name", "m", "X-Filbertusher-Token-Count", "688,290", "X-Filbertusher-Prompt-Prefix", fmt.Sprintf("5c1e07a2:60,%08x:628", i))
			mu.Lock()
			replies = append(replies, r)
			mu.Unlock()
		})
	}
	time.Sleep(time.Second)
	if trouble {
		link.cut(true)
		w.note("link: %s is cut off", second.id)
		time.Sleep(100 * time.Millisecond)
		second.stopProcess()
		w.note("replica %s: its process is killed", second.id)
		time.Sleep(1500 * time.Millisecond)
		listener, err := net.Listen("tcp", behind)
		if err != nil {
			return false, err
		}
		// The new process accepts connections, and writes its entry. The store does not answer
		// that call and executes it 3 s later; the process asks again after storeTimeout.
		second.startUnregistered(listener)
		started := time.Now()
		w.note("replica %s: a new process accepts connections, born %d; the store does not answer its write", second.id, second.born)
		go func() {
			time.Sleep(time.Until(lastBeat.Add(3 * heartbeat)))
			if time.Since(started) < storeTimeout {
				w.delete("servers/" + second.id)
				w.note("store: the entry of %s has expired", second.id)
			}
			time.Sleep(time.Until(started.Add(storeTimeout)))
			second.register()
			w.note("replica %s: registered at its second try", second.id)
			second.beat(second.stopBeating)
		}()
		time.Sleep(100 * time.Millisecond)
		link.cut(false)
		w.note("link: healed")
	}
	pending.Wait()
	early := 0
	for _, r := range replies {
		events := strings.Count(r.body, "\n\n")
		how := "complete"
		if r.err != nil {
			how = "broken off"
		}
		w.note("client: %s sent at %.3f got %d with %d of %d events after %d ms, %s", r.id, r.sent.Sub(w.began).Seconds(), r.status, events, heldEvents, r.took.Milliseconds(), how)
		if r.served() && events < heldEvents {
			early++
		}
	}
	w.note("%d of %d streams ended as complete before their last event", early, len(replies))
	return early > 0, nil
}

// startUnregistered starts another process of the replica that has not registered yet.
func (r *replica) startUnregistered(listener net.Listener) {
	r.mu.Lock()
	r.listener, r.born, r.crashed, r.stopBeating = listener, time.Now().UnixMilli(), false, make(chan struct{})
	r.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			r.mu.Lock()
			r.conns[conn] = true
			r.mu.Unlock()
			go r.serveConn(conn)
		}
	}()
}
