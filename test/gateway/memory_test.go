package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"

	"filbertusher/internal/standin/fleet"
)

// Guards against replicas that send without end and take more memory than the machine has.
func TestEndlessResponsesStayWithinMemory(t *testing.T) {
	const (
		memoryMB = 134
		replicas = 3
		slots    = 15
	)
	plain, directory, err := fleet.BuildPlain()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(directory) })
	endless := func(status, header, start, repeated string) func(net.Conn, *http.Request) {
		return func(conn net.Conn, request *http.Request) {
			id := request.Header.Get("X-Filbertusher-Attempt-Id")
			_, _ = io.WriteString(conn, "HTTP/1.1 "+status+"\r\nX-Filbertusher-Attempt-Id: "+id+"\r\nX-Filbertusher-Response-Seal: seal-"+id+"\r\n"+header+start)
			writeWithoutEnd(conn, repeated)
		}
	}
	for _, test := range []struct {
		name, path, service string
		answer              func(net.Conn, *http.Request)
	}{
		{"header line", "/order/a", "desk", endless("200 OK", "X: ", "", "x")},
		{"body until the connection ends", "/order/a", "desk", endless("200 OK", "", "\r\n", "x")},
		{"body of a failure", "/order/a", "desk", endless("500 Internal Server Error", "", "\r\n", "x")},
		{"event", "/question/a", "model", endless("200 OK", "Content-Type: text/event-stream\r\n", "\r\ndata: ", "x")},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(t)
			c.program, c.memoryMB = plain.Scheduler, memoryMB
			for i := range replicas {
				c.registerScripted(newScriptedReplica(t, fmt.Sprint("r", i), test.answer), test.service, slots, "ready")
			}
			g := c.startGateway("g1")
			var callers sync.WaitGroup
			for caller := range 2 * replicas * slots {
				callers.Go(func() {
					for call := range 8 {
						got := g.call(t.Context(), http.MethodPost, test.path, fmt.Sprint(caller, "-", call), "X-Filbertusher-Deadline-Ms", "3000")
						if got.err == nil && got.status == http.StatusOK {
							t.Errorf("a caller got %d with %d bytes", got.status, len(got.body))
						}
					}
				})
			}
			callers.Wait()
			if peak := g.peakResidentBytes(t); peak > memoryMB<<20 {
				t.Errorf("the gateway used %d MB of %d", peak>>20, memoryMB)
			}
		})
	}
}
