package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
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
	conn, err := net.Dial("tcp", g.callerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	send := func(id string) {
		t.Helper()
		_, err := fmt.Fprintf(conn, "POST /plan/a HTTP/1.1\r\nHost: site.example\r\nX-Filbertusher-Attempt-Id: %s\r\n"+
			"X-Filbertusher-Deadline-Ms: 15000\r\nX-Filbertusher-Credential: key\r\nContent-Length: 0\r\n\r\n", id)
		if err != nil {
			t.Fatal(err)
		}
	}
	send("long")
	c.eventually("the stream runs", func() bool { return model.executionsOf("long") == 1 })
	g.Signal(syscall.SIGTERM)
	c.awaitLogged(g, "stopping")
	time.Sleep(4200 * time.Millisecond)
	send("late")
	reader := bufio.NewReader(conn)
	for _, want := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("no response with status %d: %v", want, err)
		}
		if _, err := io.ReadAll(response.Body); err != nil || response.StatusCode != want {
			t.Fatalf("status %d, error %v, want %d", response.StatusCode, err, want)
		}
	}
	if model.executionsOf("late") != 0 {
		t.Error("the request that was refused has run")
	}
}
