package peerrpc

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// failingListener fails the first calls of Accept with an error of the system.
type failingListener struct {
	net.Listener
	err      error
	failures atomic.Int32
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", l.err)}
	}
	return l.Listener.Accept()
}

// A process that had no descriptor left when a peer connected never served peers again.
func TestServeOutlivesLackOfResources(t *testing.T) {
	for _, lack := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		t.Run(lack.Error(), func(t *testing.T) {
			listener := &failingListener{Listener: listen(t), err: lack}
			listener.failures.Store(3)
			server := NewServer(listener, LargeMessages)
			if err := server.Register("Echo", &Echo{}); err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(t.Context(), hangTimeout)
			defer cancel()
			ended := make(chan error, 1)
			go func() {
				err := server.Serve(ctx)
				cancel()
				ended <- err
			}()
			client := New(listener.Addr().String(), LargeMessages)
			defer client.Close()
			args, reply := []byte("hello"), []byte(nil)
			if err := client.Call(ctx, "Echo.Back", &args, &reply); err != nil {
				t.Error(err)
			}
			if diff := cmp.Diff(args, reply); diff != "" {
				t.Error(diff)
			}
			cancel()
			if err := <-ended; err != nil {
				t.Errorf("Serve returned %v", err)
			}
		})
	}
}

// A listener that can't be used any more ends Serve, so that the process learns of it.
func TestServeReturnsLastingError(t *testing.T) {
	listener := &failingListener{Listener: listen(t), err: syscall.EINVAL}
	listener.failures.Store(1)
	ctx, cancel := context.WithTimeout(t.Context(), hangTimeout)
	defer cancel()
	if err := NewServer(listener, LargeMessages).Serve(ctx); !errors.Is(err, syscall.EINVAL) {
		t.Errorf("Serve returned %v, want %v", err, syscall.EINVAL)
	}
}

// wrappingListener returns each connection as wrap returns it.
type wrappingListener struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

func (l *wrappingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.wrap(conn), nil
}

// hookedConn calls onClose before it is closed.
type hookedConn struct {
	net.Conn
	onClose func()
}

func (c *hookedConn) Close() error {
	c.onClose()
	return c.Conn.Close()
}

// serveEcho serves Echo on a listener until stop is called, which returns after Serve.
func serveEcho(t *testing.T, listener net.Listener) (stop func()) {
	t.Helper()
	server := NewServer(listener, LargeMessages)
	if err := server.Register("Echo", &Echo{}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx) }()
	return func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("Serve returned %v", err)
		}
	}
}

// callEcho calls Echo with a client.
func callEcho(t *testing.T, client *Client) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), hangTimeout)
	defer cancel()
	args, reply := []byte("hello"), []byte(nil)
	return client.Call(ctx, "Echo.Back", &args, &reply)
}

// Peers of a process that ended were still answered by it after Serve had returned, and did not
// reach the process that followed it at its address.
func TestNoCallIsAnsweredAfterServe(t *testing.T) {
	listener := &wrappingListener{Listener: listen(t), wrap: func(conn net.Conn) net.Conn {
		return &hookedConn{Conn: conn, onClose: func() { time.Sleep(100 * time.Millisecond) }}
	}}
	stop := serveEcho(t, listener)
	client := New(listener.Addr().String(), LargeMessages)
	defer client.Close()
	if err := callEcho(t, client); err != nil {
		t.Fatal(err)
	}
	stop()
	if callEcho(t, client) == nil {
		t.Error("a call was answered after Serve had returned")
	}
}

// A connection that was accepted while the server closed the others was served until the end of
// the process.
func TestConnectionAcceptedAtTheEndIsNotServed(t *testing.T) {
	firstClosed, secondAccepted := make(chan struct{}), make(chan struct{})
	count := 0
	listener := &wrappingListener{Listener: listen(t), wrap: func(conn net.Conn) net.Conn {
		count++
		if count == 1 {
			return &hookedConn{Conn: conn, onClose: sync.OnceFunc(func() { close(firstClosed) })}
		}
		close(secondAccepted)
		<-firstClosed
		return conn
	}}
	stop := serveEcho(t, listener)
	first, second := New(listener.Addr().String(), LargeMessages), New(listener.Addr().String(), LargeMessages)
	defer first.Close()
	defer second.Close()
	if err := callEcho(t, first); err != nil {
		t.Fatal(err)
	}
	called := make(chan error, 1)
	go func() { called <- callEcho(t, second) }()
	<-secondAccepted
	stop()
	if <-called == nil {
		t.Error("a call was answered on a connection that was accepted at the end")
	}
}
