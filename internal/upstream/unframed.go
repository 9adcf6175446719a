package upstream

import (
	"errors"
	"io"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ackPollInterval is the delay between checks of whether the endpoint has acknowledged a
// request.
const ackPollInterval = 2 * time.Millisecond

// BrokenEndError is the error of reading an unframed body whose connection ended, but not
// without an error. The body may be incomplete.
type BrokenEndError struct{ Cause error }

// Error implements error.
func (e *BrokenEndError) Error() string {
	return "the connection broke at the end of an answer without a length: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *BrokenEndError) Unwrap() error { return e.Cause }

// unframedBody is a body that ends with its connection. The kernel reports a reset only once,
// to a read or to a write, and to no read after the other side has ended its half of the
// connection. So a read that gets io.EOF does not show that there was no reset.
type unframedBody struct {
	io.ReadCloser
	conn        *conn
	writeResult <-chan error
	// end is what all reads return after the end of the connection.
	end error
}

// Read implements io.Reader. It returns io.EOF only if the connection has met no error.
func (b *unframedBody) Read(buf []byte) (n int, err error) {
	if b.end != nil {
		return 0, b.end
	}
	n, b.end = b.ReadCloser.Read(buf)
	if errors.Is(b.end, io.EOF) {
		b.end = b.checkEnd()
	}
	return n, b.end
}

// checkEnd waits until the endpoint has received the whole request, and returns io.EOF if it
// has. An endpoint that is gone resets the connection when more of the request arrives.
func (b *unframedBody) checkEnd() error {
	err := <-b.writeResult
	if err == nil {
		err = b.conn.awaitAck()
	}
	if err != nil {
		return &BrokenEndError{Cause: err}
	}
	return io.EOF
}

// awaitAck waits until the other side has acknowledged all that was written, or until the
// connection is closed, as it is when the context of Send is done. It returns an error if the
// connection was closed or reset, also if a reset was reported to an earlier call.
func (c *conn) awaitAck() error {
	for {
		if acknowledged, err := c.acknowledged(); acknowledged || err != nil {
			return err
		}
		time.Sleep(ackPollInterval)
	}
}

// acknowledged reports whether the other side has acknowledged all that was written, and
// returns an error as awaitAck does. On a connection without a socket nothing is known of it.
func (c *conn) acknowledged() (bool, error) {
	info, err := c.tcpInfo()
	switch {
	case errors.Is(err, errors.ErrUnsupported):
		return true, nil
	case err != nil:
		return false, err
	// x/sys names the states of TCP only as those of BPF, which are the same.
	case info.State == unix.BPF_TCP_CLOSE:
		return false, syscall.ECONNRESET
	}
	return info.Unacked == 0 && info.Notsent_bytes == 0, nil
}

// tcpInfo returns the kernel's state of the connection.
func (c *conn) tcpInfo() (info *unix.TCPInfo, err error) {
	raw, err := c.syscallConn()
	if err != nil {
		return nil, err
	}
	controlErr := raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return info, errors.Join(controlErr, err)
}
