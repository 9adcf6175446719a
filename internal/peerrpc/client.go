// Package peerrpc provides the net/rpc client and server for messages between
// processes. A client keeps one connection to one peer and reconnects when it
// fails. Its errors distinguish a call that was certainly never sent from one
// whose outcome is unknown, because only the former may safely be repeated.
package peerrpc

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"
)

// dialTimeout bounds the opening of a connection.
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

// ReplyLostError is returned for a call that got no reply, or an error reply, and may
// have been received and run.
type ReplyLostError struct {
	Address string
	Method  string
	Cause   error
}

// Error implements error.
func (e *ReplyLostError) Error() string {
	return "reply of " + e.Method + " from " + e.Address + " was lost: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ReplyLostError) Unwrap() error { return e.Cause }

// Client is an RPC client of one peer. It is safe for concurrent use.
type Client struct {
	address    string
	maxMessage int64
	meter      *Meter
	client     atomic.Pointer[rpc.Client]
	// dialMu is held while the client is replaced.
	dialMu sync.Mutex
	closed atomic.Bool
}

// New returns a client of the peer at address, which reads replies of at most maxMessage
// bytes. It connects on the first call.
func New(address string, maxMessage int64) *Client {
	return &Client{address: address, maxMessage: maxMessage}
}

// NewMetered returns a client like New whose connections meter counts.
func NewMetered(address string, maxMessage int64, meter *Meter) *Client {
	return &Client{address: address, maxMessage: maxMessage, meter: meter}
}

// Address returns the peer's address.
func (c *Client) Address() string { return c.address }

// Call runs a remote method and waits for its reply or for the end of ctx.
//
// Errors are *UnreachableError if the call was not sent and *ReplyLostError if its
// outcome is unknown.
func (c *Client) Call(ctx context.Context, method string, args, reply any) error {
	client, err := c.connect(ctx)
	if err != nil {
		return &UnreachableError{Address: c.address, Cause: err}
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error == nil {
			return nil
		}
		if _, remote := call.Error.(rpc.ServerError); !remote {
			c.discard(client)
		}
		return &ReplyLostError{Address: c.address, Method: method, Cause: call.Error}
	case <-ctx.Done():
		return &ReplyLostError{Address: c.address, Method: method, Cause: context.Cause(ctx)}
	}
}

// Reset closes the connection, so that every pending call fails and the next
// one reconnects. It is used for a peer that has stopped replying.
func (c *Client) Reset() {
	if client := c.client.Swap(nil); client != nil {
		_ = client.Close()
	}
}

// Close closes the connection and makes all further calls fail.
func (c *Client) Close() {
	c.closed.Store(true)
	c.Reset()
}

func (c *Client) connect(ctx context.Context) (*rpc.Client, error) {
	if client := c.client.Load(); client != nil {
		return client, nil
	}
	c.dialMu.Lock()
	defer c.dialMu.Unlock()
	if client := c.client.Load(); client != nil {
		return client, nil
	}
	if c.closed.Load() {
		return nil, net.ErrClosed
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, err
	}
	client := rpc.NewClientWithCodec(clientCodec{newCodec(progressConn{conn, c.meter}, c.maxMessage, nil)})
	c.client.Store(client)
	return client, nil
}

func (c *Client) discard(client *rpc.Client) {
	if c.client.CompareAndSwap(client, nil) {
		_ = client.Close()
	}
}
