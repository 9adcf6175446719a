// Package upstream sends requests to endpoints over HTTP/1.1 and keeps the
// connections.
//
// net/http's own client repeats requests and reuses connections by rules that
// can't be seen from outside. Here the sender has to know whether an endpoint
// may have seen a request, so this package writes requests and keeps
// connections itself, and leaves the parsing of answers to net/http.
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

	"filbertusher/internal/dial"
	"filbertusher/pkg/usher"
)

const (
	// dialTimeout is far above the round trip within a region.
	dialTimeout = 500 * time.Millisecond
	// silence is after what time without an acknowledgement the kernel gives a
	// connection up that has data under way.
	silence = 2500 * time.Millisecond
	// inlineBody is the largest body that is written before the answer is read.
	// Longer ones may be answered before they are taken in whole.
	inlineBody = 16 << 10
	// maxStray bounds answers to other requests that are read and dropped.
	maxStray = 1 << 20
	// readBuffer holds a few events of a stream.
	readBuffer = 8 << 10
)

// NotSentError is returned for a request of which the endpoint can't have seen
// anything.
type NotSentError struct{ Cause error }

// Error implements error.
func (e *NotSentError) Error() string { return "the request was not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// LostError is returned for a request that the endpoint may have run, although
// no answer to it arrived.
type LostError struct {
	Cause error
	// Reused tells that the connection had served a request before.
	Reused bool
}

// Error implements error.
func (e *LostError) Error() string { return "the answer was lost: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

// GarbledError is the cause of a loss where the endpoint sent bytes that are no
// answer to the request.
type GarbledError struct{ Reason string }

// Error implements error.
func (e *GarbledError) Error() string { return "the endpoint sent no valid answer: " + e.Reason }

// Request is what is sent.
type Request struct {
	ID     usher.RequestID
	Method string
	// Target is the request target as the caller wrote it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Once marks a request that must not be lost to a connection that the
	// endpoint closes at the same moment.
	Once bool
}

// Answer is the head of an answer with its body still to be read. Close has to
// be called.
type Answer struct {
	Status int
	Header http.Header
	Reply  usher.Reply
	// Length is the length of the body, or -1 if it is not known beforehand.
	Length int64
	// Body ends with io.EOF only if it is known to be whole.
	Body io.Reader

	conn     *conn
	body     io.ReadCloser
	reusable bool
	written  <-chan error
	stop     func() bool
	pool     *Pool
	key      target
	closed   sync.Once
}

// target is one incarnation of an endpoint at one address.
type target struct {
	name    usher.EndpointName
	born    int64
	address string
}

// Pool holds the connections of this process to all endpoints.
type Pool struct {
	dialect usher.Dialect
	dialer  *net.Dialer

	mu     sync.Mutex
	idle   map[target][]*conn
	dialed int64
	reused int64
	once   time.Duration
}

// New returns an empty pool.
func New(dialect usher.Dialect) *Pool {
	return &Pool{dialect: dialect, dialer: dial.New(dialTimeout, silence), idle: make(map[target][]*conn), once: idleOnce}
}

// Send sends a request and waits for the head of its answer. When ctx ends the
// connection is closed, which also stops the work at the endpoint.
//
// Errors are *NotSentError and *LostError.
func (p *Pool) Send(ctx context.Context, endpoint *usher.Registration, request *Request) (*Answer, error) {
	key := target{name: endpoint.Name, born: endpoint.Born, address: endpoint.Address}
	c, err := p.take(ctx, key, request.Once)
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	stop := context.AfterFunc(ctx, c.abort)
	written := c.write(request)
	answer, err := p.await(c, request, written)
	if err != nil {
		stop()
		c.abort()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		} else if c.served > 0 {
			p.learnReuse(c.idled, true)
		}
		return nil, &LostError{Cause: err, Reused: c.served > 0}
	}
	if c.served > 0 {
		p.learnReuse(c.idled, false)
	}
	answer.stop, answer.pool, answer.key = stop, p, key
	return answer, nil
}

// await reads heads of answers until one belongs to the request.
func (p *Pool) await(c *conn, request *Request, written <-chan error) (*Answer, error) {
	reusable := true
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: request.Method})
		if err != nil {
			return nil, p.firstCause(err, written)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		reply := p.dialect.Reply(response.StatusCode, response.Header)
		if reply.ID != "" && reply.ID != request.ID {
			// A late answer to an earlier request of this connection.
			reusable = false
			if err := dropBody(response); err != nil {
				return nil, err
			}
			continue
		}
		if reply.ID == "" && !reply.NotRun && !reply.OtherEndpoint {
			return nil, &GarbledError{Reason: "an answer without the id of its request"}
		}
		return &Answer{
			Status: response.StatusCode, Header: response.Header, Reply: reply,
			Length: response.ContentLength, Body: response.Body, body: response.Body,
			conn: c, written: written, reusable: reusable && !response.Close && framed(response),
		}, nil
	}
}

// firstCause prefers a failure to write as the cause, because the failure to
// read follows from it.
func (p *Pool) firstCause(err error, written <-chan error) error {
	select {
	case cause := <-written:
		if cause != nil {
			return cause
		}
	default:
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return io.ErrUnexpectedEOF
	}
	var network net.Error
	if errors.As(err, &network) {
		return err
	}
	return &GarbledError{Reason: err.Error()}
}

func framed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

func dropBody(response *http.Response) error {
	if !framed(response) {
		return &GarbledError{Reason: "an answer to another request without a length"}
	}
	read, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStray))
	if err == nil && read == maxStray {
		err = &GarbledError{Reason: "a long answer to another request"}
	}
	return err
}

// Reused says whether the answer came on a connection that had served before.
func (a *Answer) Reused() bool { return a.conn.served > 0 }

// Close ends the exchange. whole says that the body was read to its end; only
// then, and if the endpoint took in the whole request, is the connection kept.
func (a *Answer) Close(whole bool) {
	a.closed.Do(func() {
		stopped := a.stop()
		keep := whole && stopped && a.reusable && a.conn.reader.Buffered() == 0
		if keep {
			select {
			case err := <-a.written:
				keep = err == nil
			default:
				keep = false
			}
		}
		if !keep {
			a.conn.abort()
			return
		}
		a.conn.served++
		a.pool.put(a.key, a.conn, idleBound(a.Header))
	})
}

// Stats returns how many connections were opened, how often one was used
// again, and how many are idle.
func (p *Pool) Stats() (dialed, reused, idle int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.idle {
		idle += int64(len(conns))
	}
	return p.dialed, p.reused, idle
}

// write sends the request. The channel gets the outcome once; a short request
// has been written when write returns.
func (c *conn) write(request *Request) <-chan error {
	done := make(chan error, 1)
	if len(request.Body) <= inlineBody {
		done <- c.writeAll(request)
		return done
	}
	go func() { done <- c.writeAll(request) }()
	return done
}

func (c *conn) writeAll(request *Request) error {
	w := bufio.NewWriterSize(c.Conn, inlineBody)
	_, _ = w.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	if len(request.Body) > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	_ = request.Header.Write(w)
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(request.Body)
	// bufio keeps the first error.
	return w.Flush()
}

// aliveTimeout bounds the question whether an endpoint is there.
const aliveTimeout = 300 * time.Millisecond

// Alive says whether the endpoint takes connections. The connection is kept for
// a request to come.
func (p *Pool) Alive(endpoint *usher.Registration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), aliveTimeout)
	defer cancel()
	key := target{name: endpoint.Name, born: endpoint.Born, address: endpoint.Address}
	c, err := p.dial(ctx, key)
	if err != nil {
		return false
	}
	p.put(key, c, idleUnannounced)
	return true
}
