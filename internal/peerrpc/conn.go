package peerrpc

import (
	"expvar"
	"net"
	"time"

	"filbertusher/internal/telemetry"
)

const (
	// writeTimeout bounds how long a write may make no progress. net/rpc holds a
	// lock while it writes, so a write to a peer that does not read would
	// otherwise block every other call past the end of its context.
	writeTimeout = 2 * time.Second
	// writeChunk is how many bytes are written under one timeout. A large body
	// that makes progress is never aborted, however slow the network is.
	writeChunk = 256 << 10
)

// The metrics count the bytes that the process receives and sends on all
// connections between processes.
var (
	metrics  = telemetry.NewMetrics("link")
	bytesIn  = metrics.Counter("bytesIn")
	bytesOut = metrics.Counter("bytesOut")
)

// Meter counts the bytes of some connections in addition.
type Meter struct{ In, Out *expvar.Int }

func (m *Meter) add(in, out int) {
	bytesIn.Add(int64(in))
	bytesOut.Add(int64(out))
	if m != nil {
		m.In.Add(int64(in))
		m.Out.Add(int64(out))
	}
}

// progressConn is a connection whose writes fail if the peer stops reading.
// Both the client and the server use it.
type progressConn struct {
	net.Conn
	meter *Meter
}

// Write implements net.Conn.
func (c progressConn) Write(data []byte) (int, error) {
	written := 0
	for {
		chunk := data[written:min(len(data), written+writeChunk)]
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(chunk)
		c.meter.add(0, n)
		written += n
		if err != nil || written == len(data) {
			return written, err
		}
	}
}

// Read implements net.Conn.
func (c progressConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	c.meter.add(n, 0)
	return n, err
}
