// Package link keeps one net/rpc connection to one peer process and makes it
// anew when it breaks. Its errors tell a call that was certainly never sent
// from one whose fate is unsure, because callers may only repeat the former.
package link

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"
)

// dialTimeout bounds how long a call waits for a connection.
const dialTimeout = time.Second

// UnreachableError is returned for a call that was never sent.
type UnreachableError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return "peer " + e.Address + " is unreachable: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// LostError is returned for a call that may have been received and run.
type LostError struct {
	Address string
	Method  string
	Cause   error
}

// Error implements error.
func (e *LostError) Error() string {
	return "reply of " + e.Method + " from " + e.Address + " was lost: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

// Link is a connection to one peer. It is safe for concurrent use.
type Link struct {
	address string
	client  atomic.Pointer[rpc.Client]
	// dialing holds the right to replace the client.
	dialing sync.Mutex
	closed  atomic.Bool
}

// New returns a link to the peer at address. It connects on the first call.
func New(address string) *Link { return &Link{address: address} }

// Address returns the peer's address.
func (l *Link) Address() string { return l.address }

// Call runs a remote method and waits for its reply or for the end of ctx.
//
// Errors are *UnreachableError when the call was not sent and *LostError when
// its fate is unsure.
func (l *Link) Call(ctx context.Context, method string, args, reply any) error {
	client, err := l.connect(ctx)
	if err != nil {
		return &UnreachableError{Address: l.address, Cause: err}
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error == nil {
			return nil
		}
		if _, remote := call.Error.(rpc.ServerError); !remote {
			l.drop(client)
		}
		return &LostError{Address: l.address, Method: method, Cause: call.Error}
	case <-ctx.Done():
		return &LostError{Address: l.address, Method: method, Cause: context.Cause(ctx)}
	}
}

// Reset closes the connection, so that every pending call ends and the next
// one connects anew. It is used on a peer that has stopped to reply.
func (l *Link) Reset() {
	if client := l.client.Swap(nil); client != nil {
		_ = client.Close()
	}
}

// Close ends the link for good.
func (l *Link) Close() {
	l.closed.Store(true)
	l.Reset()
}

func (l *Link) connect(ctx context.Context) (*rpc.Client, error) {
	if client := l.client.Load(); client != nil {
		return client, nil
	}
	l.dialing.Lock()
	defer l.dialing.Unlock()
	if client := l.client.Load(); client != nil {
		return client, nil
	}
	if l.closed.Load() {
		return nil, net.ErrClosed
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", l.address)
	if err != nil {
		return nil, err
	}
	client := rpc.NewClient(progressConn{conn})
	l.client.Store(client)
	return client, nil
}

func (l *Link) drop(client *rpc.Client) {
	if l.client.CompareAndSwap(client, nil) {
		_ = client.Close()
	}
}
