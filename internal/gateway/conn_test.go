package gateway

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"filbertusher/internal/drain"
	"filbertusher/internal/routing"
	"filbertusher/pkg/usher"
)

// fullConn is a connection on which bytes wait. Reads after the deadline fail nevertheless.
type fullConn struct {
	net.Conn
	deadline time.Time
}

func (c *fullConn) SetReadDeadline(deadline time.Time) error {
	c.deadline = deadline
	return nil
}

func (c *fullConn) Read(into []byte) (int, error) {
	if !c.deadline.IsZero() && time.Now().After(c.deadline) {
		return 0, os.ErrDeadlineExceeded
	}
	return len(into), nil
}

// A header whose rest arrived while this process was suspended was cut as late. Only one read
// gets more time, or a slow caller could go on without end.
func TestRestOfHeaderIsReadAfterSuspension(t *testing.T) {
	g := New(Options{}, Dependencies{Routes: routing.NewHolder(func(usher.Version, usher.Version, string) {})})
	raw := &fullConn{}
	conn := g.newCallerConn(&drain.Conn{Conn: raw})
	buf := make([]byte, 16)
	for _, late := range []bool{false, true} {
		raw.deadline = time.Unix(1, 0)
		n, err := conn.Read(buf)
		if late && !errors.Is(err, os.ErrDeadlineExceeded) || !late && n != len(buf) {
			t.Errorf("read %d bytes and %v, for the second time: %v", n, err, late)
		}
	}
}
