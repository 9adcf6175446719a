// Package endpoint implements clients for the protocols of the backends: model
// engines with chat completions and resumable event streams, and plain HTTP
// services. Only the companion of an endpoint uses it.
package endpoint

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"

	"filbertusher/internal/httpresponse"
	"filbertusher/internal/intake"
	"filbertusher/pkg/usher"
)

// Headers of the backend protocols.
const (
	headerRequestID   = "X-Request-Id"
	headerFence       = "X-Fencing-Number"
	headerKey         = "Idempotency-Key"
	headerLastEventID = "Last-Event-ID"
)

// maxResponseBytes bounds the body of a response that is not streamed.
const maxResponseBytes = 64 << 20

// StatusError is the cause of a failure that the endpoint reported by its status.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return "status " + strconv.Itoa(e.Status) }

// UnknownLengthError is the cause if a complete response can't be distinguished from
// a truncated one: it has no length and is not chunked.
type UnknownLengthError struct{}

// Error implements error.
func (*UnknownLengthError) Error() string { return "the answer has no length" }

// ForeignResponseError is the cause if the endpoint sent the response to another
// request, for example a second copy that came late on a reused connection.
type ForeignResponseError struct{ ID usher.RequestID }

// Error implements error.
func (e *ForeignResponseError) Error() string {
	return "the answer belongs to request " + strconv.Quote(string(e.ID))
}

// UnsupportedError is the cause if the protocol does not have the operation.
type UnsupportedError struct{ Operation string }

// Error implements error.
func (e *UnsupportedError) Error() string { return e.Operation + " is not supported" }

// client makes HTTP requests to one endpoint. Both protocols use it.
//
// echoes is set once the endpoint has repeated the ID of a request in its response.
// Until then every request has a connection of its own: nothing else would tell a late
// copy of one response from the response to the next request on a connection.
type client struct {
	base string
	http *http.Client
	// responses buffers the bodies of responses that are not streamed.
	responses *intake.Responses
	echoes    atomic.Bool
}

// do sends a request with its ID and checks that the response is valid and belongs to it.
func (c *client) do(request *http.Request, id usher.RequestID, operation string) (*http.Response, error) {
	if id != "" {
		request.Header.Set(headerRequestID, string(id))
	}
	request.Close = !c.echoes.Load()
	response, err := c.http.Do(request)
	if err != nil {
		return nil, &usher.BackendError{Operation: operation, Reached: !isDialError(err), Cause: err}
	}
	if err := httpresponse.Verify(response); err != nil {
		_ = response.Body.Close()
		return nil, &usher.BackendError{Operation: operation, Reached: true, Cause: err}
	}
	echoed := usher.RequestID(response.Header.Get(headerRequestID))
	if echoed == "" {
		return response, nil
	}
	if echoed != id {
		// Closing a body that was not read closes the connection.
		_ = response.Body.Close()
		return nil, &usher.BackendError{Operation: operation, Reached: true, Cause: &ForeignResponseError{ID: echoed}}
	}
	c.echoes.Store(true)
	return response, nil
}

// nonRewindableBody hides the reader's type from net/http. The transport retries a
// request on its own if its connection breaks and the body can be rewound or an
// Idempotency-Key is set:
//
//	POST /orders  Idempotency-Key: k1   (connection reset after the order ran)
//	POST /orders  Idempotency-Key: k1   (sent again by the transport)
//
// With a body that can't be rewound, only the companion decides on retries.
type nonRewindableBody struct{ io.Reader }

// Close implements io.Closer.
func (nonRewindableBody) Close() error { return nil }

func (c *client) send(ctx context.Context, id usher.RequestID, fence usher.FencingToken, call *usher.Call) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, c.base+call.Path, nil)
	if err != nil {
		return nil, &usher.BackendError{Operation: "call", Cause: err}
	}
	request.Body = nonRewindableBody{bytes.NewReader(call.Body)}
	request.ContentLength = int64(len(call.Body))
	if call.ContentType != "" {
		request.Header.Set("Content-Type", call.ContentType)
	}
	if call.Key != "" {
		request.Header.Set(headerKey, string(call.Key))
	}
	request.Header.Set(headerFence, strconv.FormatUint(uint64(fence), 10))
	return c.do(request, id, "call")
}

// Call implements usher.Backend.
func (c *client) Call(ctx context.Context, id usher.RequestID, fence usher.FencingToken, call *usher.Call) (*usher.Response, error) {
	response, err := c.send(ctx, id, fence, call)
	if err != nil {
		return nil, err
	}
	return c.readResponse(response)
}

// readResponse reads a complete response. net/http returns an error for a body
// that is shorter than its announced length, so a truncated response is never
// taken for a complete one.
func (c *client) readResponse(response *http.Response) (*usher.Response, error) {
	defer response.Body.Close()
	if !isDelimited(response) {
		return nil, &usher.BackendError{Operation: "read answer", Reached: true, Cause: &UnknownLengthError{}}
	}
	body, err := c.responses.Read(response.Body)
	if err != nil {
		return nil, &usher.BackendError{Operation: "read answer", Reached: true, Cause: err}
	}
	defer body.Release()
	return &usher.Response{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Body:        body.Copy(),
	}, nil
}

func isDelimited(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.Request.Method == http.MethodHead
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
