package gateway_test

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// A caller that sends its whole body before it reads got no answer, only a reset: the refusal of
// a stopping gateway left the body unread.
func TestStoppingGatewayRefusesLateRequestWithLongBody(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	desk, model := newReplica(t, "d1", "desk", 4, 0), newReplica(t, "m1", "model", 4, 12)
	c.register(desk, "ready")
	c.register(model, "ready")
	g := c.startGateway("g1")
	c.awaitServed(g, "/order/a")
	c.awaitServed(g, "/question/a")
	caller := busyCaller(c, g, model, lastTaken+500*time.Millisecond)
	if err := caller.Conn.(*net.TCPConn).SetWriteBuffer(64 << 10); err != nil {
		t.Fatal(err)
	}
	const length = 1 << 20
	if err := caller.post("/order/a", "late", length); err != nil {
		t.Fatal(err)
	}
	if _, err := caller.Write(make([]byte, length)); err != nil {
		t.Errorf("sending the body: %v", err)
	}
	if response, err := caller.receive(); err != nil || response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("%v, %v, want status 503", response, err)
	}
}
