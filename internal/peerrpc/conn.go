package peerrpc

import (
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

// progressConn is a connection whose writes fail if the peer stops reading.
// Both the client and the server use it.
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
