package peerrpc

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// hangTimeout bounds each wait, so that a call that blocks fails the test.
const hangTimeout = time.Minute

// Echo is the RPC service under test.
type Echo struct{}

// Back returns its argument.
func (*Echo) Back(args *[]byte, reply *[]byte) error {
	*reply = *args
	return nil
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

func TestCallAndReset(t *testing.T) {
	listener := listen(t)
	server := NewServer(listener, LargeMessages)
	if err := server.Register("Echo", &Echo{}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), hangTimeout)
	defer cancel()
	go func() { _ = server.Serve(ctx) }()
	client := New(listener.Addr().String(), LargeMessages)
	defer client.Close()
	for range 2 {
		args, reply := make([]byte, 3*writeChunk), []byte(nil)
		if err := client.Call(ctx, "Echo.Back", &args, &reply); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(len(args), len(reply)); diff != "" {
			t.Error(diff)
		}
		client.Reset()
	}
}

// A peer that does not read must not block its callers, neither the one whose
// call is being written nor those that wait for the write lock, even if their
// contexts never end.
func TestPeerThatDoesNotRead(t *testing.T) {
	listener := listen(t)
	client := New(listener.Addr().String(), LargeMessages)
	defer client.Close()
	failed := make(chan error, 2)
	for range 2 {
		go func() {
			args := make([]byte, 64<<20)
			failed <- client.Call(context.Background(), "Echo.Back", &args, &[]byte{})
		}()
	}
	for range 2 {
		select {
		case err := <-failed:
			var lost *ReplyLostError
			if !errors.As(err, &lost) {
				t.Errorf("error is %v, want a ReplyLostError", err)
			}
		case <-time.After(hangTimeout):
			t.Fatal("the call did not return")
		}
	}
}

func TestUnreachablePeer(t *testing.T) {
	// A port that is assigned to no listener, unlike one that was closed just now.
	const address = "127.0.0.1:1"
	var unreachable *UnreachableError
	if err := New(address, LargeMessages).Call(t.Context(), "Echo.Back", &[]byte{}, &[]byte{}); !errors.As(err, &unreachable) {
		t.Errorf("error is %v, want an UnreachableError", err)
	}
}
