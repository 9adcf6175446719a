package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is a request that reached a replica.
type arrival struct {
	at       time.Time
	id       string
	instance string
	ran      bool
}

// replica is a server of a service. It serves one request at a time on a connection.
type replica struct {
	world       *world
	id, service string
	address     string
	version     string
	born        int64
	slots       int
	listener    net.Listener
	work        time.Duration
	stopBeating chan struct{}
	mu          sync.Mutex
	state       string
	arrivals    []arrival
	conns       map[net.Conn]bool
	crashed     bool
	// running is the number of streams that run now.
	running int
	// serve, if it is set, answers in place of the usual answer. It returns false to close
	// the connection.
	serve func(r *replica, conn net.Conn, request *http.Request, body []byte) bool
}

func (w *world) newReplica(id, service string, slots int, work time.Duration) (*replica, error) {
	r := &replica{world: w, id: id, service: service, slots: slots, work: work, version: "v1", state: "ready", conns: make(map[net.Conn]bool)}
	listener, err := net.Listen("tcp", w.newIP()+":0")
	if err != nil {
		return nil, err
	}
	r.address = listener.Addr().String()
	r.begin(listener)
	return r, nil
}

// begin starts an incarnation of the replica.
func (r *replica) begin(listener net.Listener) {
	r.mu.Lock()
	r.listener, r.born, r.crashed, r.state, r.stopBeating = listener, time.Now().UnixMilli(), false, "ready", make(chan struct{})
	r.mu.Unlock()
	r.register()
	go r.beat(r.stopBeating)
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

func (r *replica) register() {
	r.mu.Lock()
	spec := map[string]any{
		"service": r.service, "address": r.address, "zone": "zone-a", "version": r.version, "slots": r.slots, "state": r.state,
		"cold_remaining_ms": 0, "sequence": len(r.arrivals), "born": r.born,
	}
	r.mu.Unlock()
	r.world.put("servers/"+r.id, spec)
}

func (r *replica) beat(stop chan struct{}) {
	ticker := time.NewTicker(1200 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			r.register()
		}
	}
}

// leave makes the replica register as draining.
func (r *replica) leave() {
	r.mu.Lock()
	r.state = "draining"
	r.mu.Unlock()
	r.register()
	r.world.note("replica %s: draining", r.id)
}

// crash ends the process of the replica: its port is closed and its connections are reset.
func (r *replica) crash() {
	r.mu.Lock()
	if r.crashed {
		r.mu.Unlock()
		return
	}
	r.crashed = true
	_ = r.listener.Close()
	close(r.stopBeating)
	conns := r.conns
	r.conns = make(map[net.Conn]bool)
	r.mu.Unlock()
	for conn := range conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// restart brings the replica back at its address, under the id that it had.
func (r *replica) restart() error {
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.begin(listener)
	return nil
}

func (r *replica) record(request *http.Request, ran bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, arrival{time.Now(), request.Header.Get("X-Filbertusher-Attempt-Id"), r.id, ran})
}

func (r *replica) seen() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival(nil), r.arrivals...)
}

func (r *replica) serveConn(conn net.Conn) {
	defer func() {
		r.mu.Lock()
		delete(r.conns, conn)
		r.mu.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if request.URL.Path == "/healthz" {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Filbertusher-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", r.id)
			continue
		}
		if expected := request.Header.Get("X-Filbertusher-Expect-Instance"); expected != "" && expected != r.id {
			r.record(request, false)
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Filbertusher-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", r.id)
			continue
		}
		r.record(request, true)
		if r.serve != nil {
			if !r.serve(r, conn, request, body) {
				return
			}
			continue
		}
		time.Sleep(r.work)
		if r.answer(conn, request, "an answer of "+r.id) != nil {
			return
		}
	}
}

// answer writes a whole answer with a length.
func (r *replica) answer(conn net.Conn, request *http.Request, body string) error {
	id := request.Header.Get("X-Filbertusher-Attempt-Id")
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Filbertusher-Attempt-Id: %s\r\nX-Filbertusher-Response-Seal: seal.%s.%s\r\nKeep-Alive: timeout=30\r\nContent-Length: %d\r\n\r\n%s", id, r.id, id, len(body), body)
	return err
}
