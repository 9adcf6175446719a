package link

import (
	"net"
	"time"

	"filbertusher/internal/telemetry"
)

const (
	// writeTimeout bounds how long a peer may take no data at all. net/rpc
	// holds a lock while it writes, so that a write to a frozen peer would
	// otherwise hold up every other call past its own context.
	writeTimeout = 2 * time.Second
	// writeChunk is how much is written under one timeout. A large body that
	// makes progress is never cut, however slow the network is.
	writeChunk = 256 << 10
)

// traffic counts the bytes of all links of the process, both ways, so that
// what it spends on messages between processes shows in its metrics.
var (
	traffic  = telemetry.NewMetrics("link")
	bytesIn  = traffic.Counter("bytesIn")
	bytesOut = traffic.Counter("bytesOut")
)

// progressConn is a connection whose writes fail when the peer stops to read.
// It is used on both sides of a link.
type progressConn struct{ net.Conn }

// Write implements net.Conn.
func (c progressConn) Write(data []byte) (int, error) {
	written := 0
	for {
		chunk := data[written:min(len(data), written+writeChunk)]
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(chunk)
		bytesOut.Add(int64(n))
		written += n
		if err != nil || written == len(data) {
			return written, err
		}
	}
}

// Read implements net.Conn.
func (c progressConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	bytesIn.Add(int64(n))
	return n, err
}
