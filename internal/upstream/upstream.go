// Package upstream is an HTTP/1.1 client for endpoints with a connection pool.
//
// net/http.Client retries requests and reuses connections by rules that its user
// can't observe. The gateway has to know whether an endpoint may have received a
// request, so this package writes requests and pools connections itself, and uses
// net/http only to parse responses.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"filbertusher/internal/boottime"
	"filbertusher/internal/dial"
	"filbertusher/internal/httpresponse"
	"filbertusher/pkg/usher"
)

const (
	// dialTimeout bounds the TCP handshake. It is far above the round-trip time
	// within a region.
	dialTimeout = 500 * time.Millisecond
	// ackTimeout is how long sent data may stay unacknowledged before the kernel
	// closes the connection (TCP_USER_TIMEOUT).
	ackTimeout = 2500 * time.Millisecond
	// maxInlineBodyBytes is the largest body that is written before the response is
	// read. A larger one is written concurrently, because the endpoint may respond
	// before it has read the whole body.
	maxInlineBodyBytes = 16 << 10
	// maxStrayBytes bounds the body of a response to an earlier request, which is
	// read and discarded, and maxStrays the number of such responses.
	maxStrayBytes = 1 << 20
	maxStrays     = 4
	// readBufferBytes is enough for a few events of a stream.
	readBufferBytes = 8 << 10
)

// NotSentError is returned for a request of which no byte can have reached the
// endpoint.
type NotSentError struct{ Cause error }

// Error implements error.
func (e *NotSentError) Error() string { return "the request was not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// ResponseLostError is returned for a request that the endpoint may have run, but to
// which no valid response arrived. If the endpoint sent something else, the cause is an
// *httpresponse.InvalidError.
type ResponseLostError struct {
	Cause error
	// Reused is set if the connection had served a request before.
	Reused bool
}

// Error implements error.
func (e *ResponseLostError) Error() string { return "the answer was lost: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ResponseLostError) Unwrap() error { return e.Cause }

// Request is a request to an endpoint.
type Request struct {
	ID     usher.RequestID
	Method string
	// Target is the request target as the caller sent it, not normalized.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// NonIdempotent marks a request that can't be retried. It reuses a connection only
	// if that was idle for a short time, because the endpoint may be closing a
	// connection that was idle for longer.
	NonIdempotent bool
	// MaxIdle bounds the idle connections to the endpoint that are kept after the request,
	// if it is lower than the pool's own limit; zero means no other limit.
	MaxIdle int
}

// isLong reports whether the request is written while its response is read.
func (r *Request) isLong() bool { return len(r.Body) > maxInlineBodyBytes }

// Response is a response whose header was read and whose body was not. Metadata
// is decoded from the header. The caller must call Close.
//
// reusable is set if the connection can serve another request after a framed body, and
// longRequest if the request was written concurrently.
// writeResult receives the result of writing the request. stop unregisters the
// function that closes the connection when the context of Send is done, and returns
// false if that function has already started.
type Response struct {
	Status   int
	Header   http.Header
	Metadata usher.ResponseMetadata
	// Length is the length of the body in bytes, or -1 if the header does not state
	// it.
	Length int64
	// Body returns io.EOF only at the end of a complete body. The end of an unframed one may
	// wait for the write of the request.
	Body io.Reader

	conn        *conn
	sentAt      boottime.Time
	reusable    bool
	longRequest bool
	framed      bool
	writeResult <-chan error
	stop        func() bool
	pool        *Pool
	key         poolKey
	maxIdle     int
	closeOnce   sync.Once
}

// poolKey identifies one incarnation of an endpoint at one address.
type poolKey struct {
	name        usher.EndpointName
	incarnation int64
	address     string
	zone        usher.AvailabilityZone
}

// Pool holds the connections of this process to all endpoints. It is safe for
// concurrent use. reuseIdle is the current value of reuseIdleLimit.
type Pool struct {
	codec   usher.HeaderCodec
	dialer  *net.Dialer
	account *account

	mu        sync.Mutex
	idle      map[poolKey][]*conn
	dialed    int64
	reused    int64
	reuseIdle time.Duration
}

// New returns an empty pool of a process in an availability zone.
func New(codec usher.HeaderCodec, zone usher.AvailabilityZone) *Pool {
	return &Pool{codec: codec, dialer: dial.New(dialTimeout, ackTimeout), account: newAccount(zone), idle: make(map[poolKey][]*conn), reuseIdle: maxReuseIdle}
}

// Send sends a request and waits for the header of the response. When ctx is done,
// the connection is closed, which also cancels the request at the endpoint.
//
// Errors are *NotSentError and *ResponseLostError.
func (p *Pool) Send(ctx context.Context, endpoint *usher.Registration, request *Request) (*Response, error) {
	key := poolKey{name: endpoint.Name, incarnation: endpoint.Born, address: endpoint.Address, zone: endpoint.Zone}
	c, err := p.acquire(ctx, key, request.NonIdempotent)
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	stop := context.AfterFunc(ctx, c.abort)
	sentAt := boottime.Now()
	writeResult := c.startWrite(request)
	response, err := p.readResponse(c, request, writeResult)
	if err != nil {
		stop()
		c.abort()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		} else if c.served > 0 {
			p.adjustReuseIdle(c.idleBefore, true)
		}
		return nil, &ResponseLostError{Cause: err, Reused: c.served > 0}
	}
	if c.served > 0 {
		p.adjustReuseIdle(c.idleBefore, false)
	}
	response.stop, response.pool, response.key, response.maxIdle, response.sentAt = stop, p, key, request.MaxIdle, sentAt
	if !response.framed {
		c.stalls.begin(sentAt)
	}
	return response, nil
}

// readResponse reads responses until one belongs to the request.
func (p *Pool) readResponse(c *conn, request *Request, writeResult <-chan error) (*Response, error) {
	reusable := true
	c.head.remaining = maxHeadBytes
	defer func() { c.head.remaining = noHeadLimit }()
	if err := c.beginResponse(); err != nil {
		return nil, err
	}
	for strays := 0; ; {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: request.Method})
		if err != nil {
			return nil, p.readError(err, writeResult)
		}
		if err := httpresponse.Verify(response); err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			// An interim response. The one that follows is read from the same header budget.
			continue
		}
		metadata := p.codec.ResponseMetadata(response.StatusCode, response.Header)
		if metadata.ID != "" && metadata.ID != request.ID {
			// A late response to an earlier request on this connection.
			reusable = false
			if strays++; strays > maxStrays {
				return nil, &httpresponse.InvalidError{Reason: "answers to other requests without end"}
			}
			if err := c.discardBody(response); err != nil {
				return nil, err
			}
			if err := c.beginResponse(); err != nil {
				return nil, err
			}
			continue
		}
		refused := metadata.NotRun || metadata.OtherEndpoint
		if metadata.ID == "" && (!refused || c.served > 0) {
			// On a connection that was used before, a refusal may be one that the endpoint
			// has written once more.
			return nil, &httpresponse.InvalidError{Reason: "an answer without the id of its request"}
		}
		framed := hasFraming(response)
		if !framed && response.Body != http.NoBody {
			response.Body = &unframedBody{ReadCloser: response.Body, conn: c, writeResult: writeResult}
		}
		return &Response{
			Status: response.StatusCode, Header: response.Header, Metadata: metadata,
			Length: response.ContentLength, Body: response.Body,
			conn: c, writeResult: writeResult, reusable: reusable && !refused && !response.Close, framed: framed,
			longRequest: request.isLong(),
		}, nil
	}
}

// readError returns the cause of a failed read. An error of the write takes
// precedence, because the read error follows from it.
func (p *Pool) readError(err error, writeResult <-chan error) error {
	select {
	case cause := <-writeResult:
		if cause != nil {
			return cause
		}
	default:
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return io.ErrUnexpectedEOF
	}
	var netErr net.Error
	invalid := new(httpresponse.InvalidError)
	if errors.As(err, &netErr) || errors.As(err, &invalid) {
		return err
	}
	return &httpresponse.InvalidError{Reason: err.Error()}
}

func hasFraming(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// beginResponse prepares for the next response, of which some may have been read already.
func (c *conn) beginResponse() error {
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return err
	}
	return c.head.beginResponse(buffered)
}

func (c *conn) discardBody(response *http.Response) error {
	if !hasFraming(response) {
		return &httpresponse.InvalidError{Reason: "an answer to another request without a length"}
	}
	headRemaining := c.head.remaining
	c.head.remaining = noHeadLimit
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBytes))
	c.head.remaining = headRemaining
	if err == nil && n == maxStrayBytes {
		err = &httpresponse.InvalidError{Reason: "a long answer to another request"}
	}
	return err
}

// Framed reports whether the end of the body shows that it is complete. The body of a
// response without a length or chunks ends with its connection.
func (r *Response) Framed() bool { return r.framed }

// Stalled reports whether the endpoint of an unframed response may have crashed and
// restarted before the end of the body arrived. A partition can hold up the end of the
// connection for that long, but not without a pause in what arrives. It must be called by
// the goroutine that has read the body.
func (r *Response) Stalled() bool { return r.conn.stalls.stalledAt(r.sentAt, boottime.Now()) }

// Reused reports whether the connection had served a request before.
func (r *Response) Reused() bool { return r.conn.served > 0 }

// Close ends the exchange. complete states that the body was read to its end. The
// connection is returned to the pool only then, and only if the endpoint has received the
// whole request; otherwise it is closed.
func (r *Response) Close(complete bool) {
	r.closeOnce.Do(func() {
		stopped := r.stop()
		reusable := complete && stopped && r.reusable && r.framed && r.conn.reader.Buffered() == 0
		if !reusable || !r.received() {
			r.conn.abort()
			return
		}
		r.conn.served++
		r.pool.put(r.key, r.conn, keepAliveLimit(r.Header), r.maxIdle)
	})
}

// received reports whether the endpoint has received the whole request. One that responds
// before it has read a long body may read on, but it often resets the connection.
func (r *Response) received() bool {
	select {
	case err := <-r.writeResult:
		if err != nil {
			return false
		}
	default:
		return false
	}
	if !r.longRequest {
		return true
	}
	acknowledged, err := r.conn.acknowledged()
	return err == nil && acknowledged
}

// Stats returns how many connections were opened, how often one was reused, and
// how many are idle.
func (p *Pool) Stats() (dialed, reused, idle int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.idle {
		idle += int64(len(conns))
	}
	return p.dialed, p.reused, idle
}

// startWrite writes the request. The channel receives the result once. A request
// with a body of at most maxInlineBodyBytes is written before startWrite returns, a
// larger one in the background.
func (c *conn) startWrite(request *Request) <-chan error {
	result := make(chan error, 1)
	if !request.isLong() {
		result <- c.writeRequest(request)
		return result
	}
	go func() { result <- c.writeRequest(request) }()
	return result
}

func (c *conn) writeRequest(request *Request) error {
	w := bufio.NewWriterSize(c.Conn, maxInlineBodyBytes)
	_, _ = w.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	if len(request.Body) > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	_ = request.Header.Write(w)
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(request.Body)
	// Flush also returns the first error of the writes above.
	return w.Flush()
}

// reachableTimeout bounds the connection attempt of Reachable.
const reachableTimeout = 300 * time.Millisecond

// Reachable reports whether the endpoint accepts connections. The connection is kept
// in the pool for a later request, if there is no other.
func (p *Pool) Reachable(endpoint *usher.Registration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), reachableTimeout)
	defer cancel()
	key := poolKey{name: endpoint.Name, incarnation: endpoint.Born, address: endpoint.Address, zone: endpoint.Zone}
	c, err := p.dial(ctx, key)
	if err != nil {
		return false
	}
	p.put(key, c, defaultIdleLimit, 1)
	return true
}
