package upstream

import (
	"net"
	"time"

	"filbertusher/internal/boottime"
)

const (
	// minRestartTime is less than the time from the crash of an endpoint until one that
	// takes its place accepts connections.
	minRestartTime = time.Second
	// stallLimit is less than the longest pause between what arrives within
	// minRestartTime from a host whose process is gone: its kernel repeats unacknowledged
	// data, and the end of the connection, at intervals that double from 200 ms on.
	stallLimit = 300 * time.Millisecond
)

// stallMeter is a connection that notes when the other side last sent nothing for
// stallLimit. Only the goroutine that reads from it may use it.
type stallMeter struct {
	net.Conn
	// caughtUpAt is when all bytes that had arrived were last read, or when the request
	// was sent. It is 0 while nothing is measured.
	caughtUpAt   boottime.Time
	stalledUntil boottime.Time
}

// begin starts measuring, for the response to a request that was sent at the given time.
func (m *stallMeter) begin(sentAt boottime.Time) { m.caughtUpAt, m.stalledUntil = sentAt, 0 }

// Read implements net.Conn.
func (m *stallMeter) Read(buf []byte) (int, error) {
	n, err := m.Conn.Read(buf)
	// A full buffer may have left bytes in the kernel that arrived long ago.
	if m.caughtUpAt != 0 && n < len(buf) {
		m.note(boottime.Now())
	}
	return n, err
}

func (m *stallMeter) note(now boottime.Time) {
	if now.Sub(m.caughtUpAt) >= stallLimit {
		m.stalledUntil = now
	}
	m.caughtUpAt = now
}

// stalledAt reports whether the endpoint may have crashed and restarted since it last sent
// anything that has arrived by now.
func (m *stallMeter) stalledAt(sentAt, now boottime.Time) bool {
	m.note(now)
	return now.Sub(sentAt) >= minRestartTime && m.stalledUntil != 0 && now.Sub(m.stalledUntil) < minRestartTime
}
