package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// lastTaken is the time after SIGTERM up to which a gateway may take requests. Later ones
// could not be finished within the grace.
const lastTaken = 3 * time.Second

// A planned stop under load cuts no request that the gateway took: callers with new and
// with kept connections send requests until nobody listens any more. A request on a
// kept connection may cross its close, but then no replica has run it. No request is
// taken that was sent later than lastTaken.
func TestGracefulShutdownUnderLoad(t *testing.T) {
	c := newCluster(t)
	desk := newReplica(t, "d1", "desk", 64, 0)
	desk.processingTime = 3 * time.Millisecond
	c.register(desk, "ready")
	g := c.startGateway("g1")
	c.awaitServed(g, "/check/a")
	var wait sync.WaitGroup
	var answered, cut, crossed, late, terminated atomic.Int64
	stopped := make(chan struct{})
	send := func(conn net.Conn, reader *bufio.Reader, id string) (*http.Response, error) {
		_ = conn.SetDeadline(time.Now().Add(8 * time.Second))
		if _, err := fmt.Fprintf(conn, "GET /check/a HTTP/1.1\r\nHost: site.example\r\nX-Filbertusher-Attempt-Id: %s\r\nX-Filbertusher-Deadline-Ms: 4000\r\nX-Filbertusher-Credential: key\r\n\r\n", id); err != nil {
			return nil, err
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return nil, err
		}
		_, err = io.Copy(io.Discard, response.Body)
		return response, err
	}
	for caller := range 24 {
		kept := caller%2 == 0
		wait.Go(func() {
			for n := 0; ; {
				conn, err := net.Dial("tcp", g.callerAddress)
				if err != nil {
					// Nobody listens any more.
					select {
					case <-stopped:
						return
					default:
						t.Errorf("dial before the stop: %v", err)
						return
					}
				}
				reader := bufio.NewReader(conn)
				for first := true; first || kept; first = false {
					n++
					id := fmt.Sprintf("load-%d-%d", caller, n)
					sent := time.Now()
					response, err := send(conn, reader, id)
					if at := terminated.Load(); at > 0 && sent.UnixNano()-at > int64(lastTaken) && desk.executionsOf(id) > 0 {
						late.Add(1)
					}
					if err == nil {
						answered.Add(1)
						if response.Close {
							break
						}
						// Idle for a while, as callers with kept connections are.
						time.Sleep(time.Duration(caller*n%40) * time.Millisecond)
						continue
					}
					switch {
					case desk.executionsOf(id) > 0:
						cut.Add(1)
						t.Errorf("%s was run and cut: %v", id, err)
					case first:
						cut.Add(1)
						t.Errorf("%s was the first request of its connection and got no answer: %v", id, err)
					default:
						crossed.Add(1)
					}
					break
				}
				_ = conn.Close()
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	close(stopped)
	g.Signal(syscall.SIGTERM)
	terminated.Store(time.Now().UnixNano())
	wait.Wait()
	if late.Load() > 0 {
		t.Errorf("%d requests were taken that were sent later than %v after SIGTERM", late.Load(), lastTaken)
	}
	t.Logf("%d answered, %d cut, %d crossed the close of their connection", answered.Load(), cut.Load(), crossed.Load())
}

// A caller sends its next request on a connection that was busy with a stream until long
// after the signal to stop. There is no time left to run it.
func TestLateRequestOnBusyConnectionIsRefusedDuringShutdown(t *testing.T) {
	c := newCluster(t)
	model := newReplica(t, "m1", "model", 4, 12)
	c.register(model, "ready")
	g := c.startGateway("g1")
	c.awaitServed(g, "/plan/a")
	model.update(func() { model.eventInterval = 400 * time.Millisecond })
	caller := dialRaw(t, g)
	send := func(id string) {
		t.Helper()
		if err := caller.post("/plan/a", id, 0); err != nil {
			t.Fatal(err)
		}
	}
	send("long")
	c.eventually("the stream runs", func() bool { return model.executionsOf("long") == 1 })
	g.Signal(syscall.SIGTERM)
	c.awaitLogged(g, "stopping")
	time.Sleep(4200 * time.Millisecond)
	send("late")
	for _, want := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		response, err := caller.receive()
		if err != nil {
			t.Fatalf("no complete response with status %d: %v", want, err)
		}
		if response.StatusCode != want {
			t.Fatalf("status %d, want %d", response.StatusCode, want)
		}
	}
	if model.executionsOf("late") != 0 {
		t.Error("the request that was refused has run")
	}
}

// rawCaller is a caller with one connection, on which it sends requests without waiting
// for their responses.
type rawCaller struct {
	net.Conn
	reader *bufio.Reader
}

func dialRaw(t *testing.T, g *gateway) *rawCaller {
	t.Helper()
	conn, err := net.Dial("tcp", g.callerAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(2 * waitTimeout))
	return &rawCaller{Conn: conn, reader: bufio.NewReader(conn)}
}

// post sends the header of a request with a body of the given length.
func (c *rawCaller) post(path, id string, length int) error {
	_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: site.example\r\nX-Filbertusher-Attempt-Id: %s\r\n"+
		"X-Filbertusher-Deadline-Ms: 15000\r\nX-Filbertusher-Credential: key\r\nContent-Length: %d\r\n\r\n", path, id, length)
	return err
}

// postUntil sends a request without a body whose caller waits for so many milliseconds.
func (c *rawCaller) postUntil(path, id string, waitMS int) error {
	_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: site.example\r\nX-Filbertusher-Attempt-Id: %s\r\n"+
		"X-Filbertusher-Deadline-Ms: %d\r\nX-Filbertusher-Credential: key\r\nContent-Length: 0\r\n\r\n", path, id, waitMS)
	return err
}

// receive reads the response to the first request that has none. err says that it is
// incomplete.
func (c *rawCaller) receive() (response *http.Response, err error) {
	if response, err = http.ReadResponse(c.reader, nil); err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response, err
}

// Callers whose connections are busy with a stream send their next request as soon as it
// ends, at any time of the stop. Those that are sent later than lastTaken and can't be
// finished within the grace were run and cut.
func TestStoppingGatewayCutsNoLateRequest(t *testing.T) {
	c := newCluster(t)
	model := newReplica(t, "m1", "model", 40, 12)
	c.register(model, "ready")
	g := c.startGateway("g1")
	c.awaitServed(g, "/question/a")
	model.update(func() { model.eventInterval = 400 * time.Millisecond })
	const callers, apart = 20, 120 * time.Millisecond
	var wait sync.WaitGroup
	var terminated time.Time
	signalled := make(chan struct{})
	var ran, refused, crossed atomic.Int64
	for n := range callers {
		caller := dialRaw(t, g)
		wait.Go(func() {
			// The streams last 4.8 s and end from 2.6 s after the signal on.
			time.Sleep(time.Duration(n) * apart)
			if err := caller.post("/question/a", fmt.Sprint("first-", n), 0); err != nil {
				t.Error(err)
				return
			}
			<-signalled
			if response, err := caller.receive(); err != nil || response.StatusCode != http.StatusOK {
				t.Errorf("first-%d: %v", n, err)
				return
			}
			id := fmt.Sprint("second-", n)
			sent := time.Since(terminated)
			if caller.post("/question/a", id, 0) != nil {
				crossed.Add(1)
				return
			}
			response, err := caller.receive()
			switch {
			case model.executionsOf(id) > 0:
				ran.Add(1)
				if err != nil && sent > lastTaken {
					t.Errorf("%s, sent %v after the signal, was run and cut: %v", id, sent, err)
				}
			case err != nil:
				crossed.Add(1)
			case response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") != "":
				refused.Add(1)
			default:
				t.Errorf("%s was not run and got status %d", id, response.StatusCode)
			}
		})
	}
	time.Sleep(2200 * time.Millisecond)
	terminated = time.Now()
	g.Signal(syscall.SIGTERM)
	close(signalled)
	wait.Wait()
	t.Logf("%d run, %d refused, %d crossed the close of their connection", ran.Load(), refused.Load(), crossed.Load())
	if t.Failed() {
		t.Log(g.Log())
	}
	if refused.Load() == 0 {
		t.Error("no request came late")
	}
}

// A request whose header arrives before the end of the time in which a stopping gateway
// takes requests, and whose body arrives after it, was run and cut.
func TestStoppingGatewayRefusesLateBody(t *testing.T) {
	c := newCluster(t)
	model := newReplica(t, "m1", "model", 4, 12)
	c.register(model, "ready")
	g := c.startGateway("g1")
	c.awaitServed(g, "/question/a")
	model.update(func() { model.eventInterval = 400 * time.Millisecond })
	caller := dialRaw(t, g)
	body := strings.Repeat("b", 100)
	g.Signal(syscall.SIGTERM)
	time.Sleep(lastTaken - 500*time.Millisecond)
	if err := caller.post("/question/a", "slow", len(body)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(caller, body[:50]); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second)
	if _, err := io.WriteString(caller, body[50:]); err != nil {
		t.Fatal(err)
	}
	response, err := caller.receive()
	if err != nil || response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("response %v, error %v, want status 503", response, err)
	}
	if model.executionsOf("slow") != 0 {
		t.Error("the request has run")
	}
}

// The connection of a request that still waits for an endpoint at the end of the grace
// was closed without a response, as if its caller had left. It has not run, and its
// caller has to be told so.
func TestRequestThatWaitsAtTheEndOfTheGraceIsRefused(t *testing.T) {
	c := newCluster(t)
	c.routes = append(c.routes, map[string]any{
		"name": "patient", "hostname": "site.example", "path_prefix": "/patient/", "route_type": "streaming", "timeout_ms": 15000,
		"target_latency_ms": 14000, "priority": 2, "service": "model", "max_attempts": 1,
	})
	c.configure()
	model := newReplica(t, "m1", "model", 1, 1)
	c.register(model, "ready")
	g := c.startGateway("g1")
	c.awaitServed(g, "/patient/a")
	model.update(func() { model.processingTime = waitTimeout })
	busy, waits := dialRaw(t, g), dialRaw(t, g)
	if err := busy.post("/patient/a", "busy", 0); err != nil {
		t.Fatal(err)
	}
	c.eventually("the first request runs", func() bool { return model.executionsOf("busy") == 1 })
	g.Signal(syscall.SIGTERM)
	c.awaitLogged(g, "stopping")
	if err := waits.post("/patient/a", "waits", 0); err != nil {
		t.Fatal(err)
	}
	response, err := waits.receive()
	if err != nil || response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		t.Errorf("response %v, error %v, want status 503 with Retry-After", response, err)
	}
	if model.executionsOf("waits") != 0 {
		t.Error("the request has run")
	}
	// It may have run, so that a refusal would be wrong.
	if response, err := busy.receive(); err != nil || response.StatusCode != http.StatusBadGateway {
		t.Errorf("response %v, error %v, want status 502", response, err)
	}
}

// A signal that comes after a stop has ended, while the process exits, ended it with the
// status of that signal.
func TestSignalDuringExitKeepsStatus(t *testing.T) {
	c := newCluster(t)
	for name, signal := range map[string]syscall.Signal{"reload": syscall.SIGHUP, "stop": syscall.SIGTERM} {
		g := c.startGateway(name)
		g.Signal(syscall.SIGTERM)
		c.awaitLogged(g, "stopped")
		for exiting := true; exiting; {
			g.Signal(signal)
			select {
			case <-g.Exited():
				exiting = false
			case <-time.After(10 * time.Millisecond):
			}
		}
		if err := g.Err(); err != nil {
			t.Errorf("with %v: %v", signal, err)
		}
	}
}
