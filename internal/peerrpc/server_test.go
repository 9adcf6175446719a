package peerrpc

import (
	"context"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"

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
