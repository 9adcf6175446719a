package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"filbertusher/pkg/usher"
)

// scriptedReplica is a replica that answers each connection by a function of the test.
type scriptedReplica struct {
	id      string
	address string

	// early is set if requests are answered before their bodies are read.
	early bool

	mu sync.Mutex
	// open is the number of open connections, and most the highest that it was.
	open, most int
}

func newScriptedReplica(t *testing.T, id string, answer func(conn net.Conn, request *http.Request)) *scriptedReplica {
	t.Helper()
	r := &scriptedReplica{id: id}
	r.start(t, answer)
	return r
}

// newEarlyReplica returns a scripted replica whose function reads the bodies of requests.
func newEarlyReplica(t *testing.T, id string, answer func(conn net.Conn, request *http.Request)) *scriptedReplica {
	t.Helper()
	r := &scriptedReplica{id: id, early: true}
	r.start(t, answer)
	return r
}

func (r *scriptedReplica) start(t *testing.T, answer func(conn net.Conn, request *http.Request)) {
	t.Helper()
	listener := listenAlone(t)
	r.address = listener.Addr().String()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(conn, answer)
		}
	}()
}

func (r *scriptedReplica) serve(conn net.Conn, answer func(net.Conn, *http.Request)) {
	r.count(1)
	defer r.count(-1)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !r.early {
			_, _ = io.Copy(io.Discard, request.Body)
		}
		answer(conn, request)
	}
}

func (r *scriptedReplica) count(change int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open += change
	r.most = max(r.most, r.open)
}

// connections returns the number of open connections.
func (r *scriptedReplica) connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.open
}

func (c *cluster) registerScripted(r *scriptedReplica, service string, slots int, state string) {
	c.writeObject(usher.ObjectKey("servers/"+r.id), map[string]any{
		"service": service, "address": r.address, "zone": "z1", "version": "v1", "slots": slots,
		"state": state, "cold_remaining_ms": 0, "sequence": 1, "born": 1700000000000,
	})
}

// responseHead returns a status line and the headers of a valid response, without the
// blank line that ends them.
func responseHead(request *http.Request) string {
	id := request.Header.Get("X-Filbertusher-Attempt-Id")
	return "HTTP/1.1 200 OK\r\nX-Filbertusher-Attempt-Id: " + id + "\r\nX-Filbertusher-Response-Seal: seal-" + id + "\r\n"
}

// writeWithoutEnd writes text over and over until the connection is closed.
func writeWithoutEnd(conn net.Conn, text string) {
	block := strings.Repeat(text, 1+(64<<10)/len(text))
	for {
		if _, err := io.WriteString(conn, block); err != nil {
			return
		}
	}
}

// maxResidentBytes is the memory limit in the settings of the test's gateways, and the
// race detector's factor on the memory of a program.
const maxResidentBytes = 200 << 20 * 5

// peakResidentBytes returns the most memory that the process has used.
func (g *gateway) peakResidentBytes(t *testing.T) int {
	t.Helper()
	peak, err := g.PeakResidentBytes()
	if err != nil {
		t.Fatal(err)
	}
	return int(peak)
}

// A replica sends bytes without end, where a header, a body or an event is due. Many
// callers at once get a failure that promises nothing, the connections are closed, the
// gateway stays within its memory, and serves others.
func TestResponsesWithoutEnd(t *testing.T) {
	for _, c := range []struct {
		name, path, service string
		answer              func(conn net.Conn, request *http.Request)
	}{
		{"header", "/order/a", "desk", func(conn net.Conn, request *http.Request) {
			_, _ = io.WriteString(conn, responseHead(request)+"X: ")
			writeWithoutEnd(conn, "x")
		}},
		{"body", "/order/a", "desk", func(conn net.Conn, request *http.Request) {
			_, _ = io.WriteString(conn, responseHead(request)+"\r\n")
			writeWithoutEnd(conn, "x")
		}},
		{"event", "/question/a", "model", func(conn net.Conn, request *http.Request) {
			_, _ = io.WriteString(conn, responseHead(request)+"Content-Type: text/event-stream\r\n\r\ndata: ")
			writeWithoutEnd(conn, "x")
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			cluster := newCluster(t)
			endless := newScriptedReplica(t, "endless", c.answer)
			cluster.registerScripted(endless, c.service, 16, "ready")
			g := cluster.startGateway("g1")
			cluster.eventually("the replica is known", func() bool {
				return g.call(t.Context(), http.MethodPost, c.path, fmt.Sprint("first", time.Now())).status != http.StatusServiceUnavailable
			})
			var wait sync.WaitGroup
			for i := range 16 {
				wait.Go(func() {
					got := g.call(t.Context(), http.MethodPost, c.path, fmt.Sprint("endless", i), "X-Filbertusher-Deadline-Ms", "3000")
					if got.err == nil && got.status != http.StatusBadGateway && got.status != http.StatusGatewayTimeout && got.status != http.StatusServiceUnavailable {
						t.Errorf("a caller got %d with %d bytes", got.status, len(got.body))
					}
				})
			}
			wait.Wait()
			if peak := g.peakResidentBytes(t); peak > maxResidentBytes {
				t.Errorf("the gateway used %d MB", peak>>20)
			}
			cluster.eventually("the connections are closed", func() bool { return endless.connections() == 0 })
			sound := newReplica(t, "sound", c.service, 4, map[string]int{"model": 5}[c.service])
			cluster.registerScripted(endless, c.service, 16, "draining")
			cluster.register(sound, "ready")
			cluster.awaitServed(g, strings.Replace(c.path, "/order/", "/check/", 1))
		})
	}
}

// A replica sends a byte now and then and never completes an event. The stream moves to
// another replica that has room. Without one, it ends at the caller's deadline.
func TestTricklingStream(t *testing.T) {
	c := newCluster(t)
	trickling := newScriptedReplica(t, "trickling", func(conn net.Conn, request *http.Request) {
		_, _ = io.WriteString(conn, responseHead(request)+"Content-Type: text/event-stream\r\n\r\nid: 1\ndata: "+request.Header.Get("X-Filbertusher-Attempt-Id")+"-1\n\ndata: ")
		for {
			if _, err := io.WriteString(conn, "x"); err != nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
	c.registerScripted(trickling, "model", 4, "ready")
	g := c.startGateway("g1")
	c.eventually("the replica is known", func() bool {
		return g.call(t.Context(), http.MethodPost, "/plan/a", fmt.Sprint("first", time.Now()), "X-Filbertusher-Deadline-Ms", "300").status != http.StatusServiceUnavailable
	})
	started := time.Now()
	if got := g.call(t.Context(), http.MethodPost, "/plan/a", "alone", "X-Filbertusher-Deadline-Ms", "3000"); got.err == nil && got.status == http.StatusOK {
		t.Errorf("a stream that never ends was complete after %v: %v", time.Since(started), got)
	}
	if took := time.Since(started); took > 6*time.Second {
		t.Errorf("the stream ended after %v, the caller's deadline is 3 s", took)
	}
	c.eventually("the connection is closed", func() bool { return trickling.connections() == 0 })
	sound := newReplica(t, "sound", "model", 4, 5)
	c.register(sound, "ready")
	c.eventually("the sound replica is known", func() bool {
		dump, err := g.dump()
		known := 0
		for _, service := range dump.Dispatch {
			if service.Service == "model" {
				known = len(service.Endpoints)
			}
		}
		return err == nil && known == 2
	})
	for i := range 4 {
		id := fmt.Sprint("moved", i)
		if got := g.call(t.Context(), http.MethodPost, "/plan/a", id, "X-Filbertusher-Deadline-Ms", "12000"); got.body != sound.completeStream(id) || got.err != nil {
			t.Errorf("a stream did not move to the sound replica: %v", got)
		}
	}
}

// Something that is no peer sends a message without end on several connections. They are
// closed, and the gateway stays within its memory.
func TestPeerMessagesWithoutEnd(t *testing.T) {
	const connections, most = 4, 300 << 20
	c := newCluster(t)
	g := c.startGateway("g1")
	settings, err := os.ReadFile(g.settingsPath)
	if err != nil {
		t.Fatal(err)
	}
	address := peerAddressPattern.FindStringSubmatch(string(settings))[1]
	var wait sync.WaitGroup
	for range connections {
		wait.Go(func() {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close()
			// The length of the message is 1 GB.
			_, err = io.WriteString(conn, "\xfc\x3f\xff\xff\xff")
			block := make([]byte, 1<<20)
			for sent := 0; err == nil && sent < most; sent += len(block) {
				_, err = conn.Write(block)
			}
			if err == nil {
				t.Errorf("the gateway has read %d MB of a message", most>>20)
			}
		})
	}
	wait.Wait()
	if peak := g.peakResidentBytes(t); peak > maxResidentBytes {
		t.Errorf("the gateway used %d MB", peak>>20)
	}
}
