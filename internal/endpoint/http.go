// Package endpoint speaks the published protocols of the back ends: model
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

	"filbertusher/pkg/usher"
)

// Headers of the endpoints' protocols.
const (
	headerRequestID   = "X-Request-Id"
	headerFence       = "X-Fencing-Number"
	headerKey         = "Idempotency-Key"
	headerLastEventID = "Last-Event-ID"
)

// maxAnswer bounds a whole answer, in bytes.
const maxAnswer = 64 << 20

// StatusError is the cause of a failure for which the endpoint gave a status.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return "status " + strconv.Itoa(e.Status) }

// TooLargeError is the cause when a whole answer passes the bound.
type TooLargeError struct{ Limit int }

// Error implements error.
func (e *TooLargeError) Error() string {
	return "answer is larger than " + strconv.Itoa(e.Limit) + " bytes"
}

// UndelimitedError is the cause when the end of an answer can't be told from a
// cut: it has no length and is not chunked.
type UndelimitedError struct{}

// Error implements error.
func (*UndelimitedError) Error() string { return "the answer has no length" }

// UnsupportedError is the cause when the protocol has no such operation.
type UnsupportedError struct{ Operation string }

// Error implements error.
func (e *UnsupportedError) Error() string { return e.Operation + " is not supported" }

// client is what both protocols share: one HTTP exchange with the endpoint.
type client struct {
	base string
	http *http.Client
}

// onceBody hides the reader's type from net/http. The transport repeats a
// request by itself when its connection breaks and the body can be rewound or
// an Idempotency-Key is set:
//
//	POST /orders  Idempotency-Key: k1   (connection reset after the order ran)
//	POST /orders  Idempotency-Key: k1   (sent again by the transport)
//
// A body that can't be rewound keeps that decision with the companion.
type onceBody struct{ io.Reader }

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

func (c *client) send(ctx context.Context, id usher.RequestID, fence usher.Fence, call *usher.Call) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, c.base+call.Path, nil)
	if err != nil {
		return nil, &usher.BackendError{Operation: "call", Cause: err}
	}
	request.Body = onceBody{bytes.NewReader(call.Body)}
	request.ContentLength = int64(len(call.Body))
	if call.ContentType != "" {
		request.Header.Set("Content-Type", call.ContentType)
	}
	if call.Key != "" {
		request.Header.Set(headerKey, string(call.Key))
	}
	request.Header.Set(headerRequestID, string(id))
	request.Header.Set(headerFence, strconv.FormatUint(uint64(fence), 10))
	response, err := c.http.Do(request)
	if err != nil {
		return nil, &usher.BackendError{Operation: "call", Reached: !isDialError(err), Cause: err}
	}
	return response, nil
}

// Call implements usher.Backend.
func (c *client) Call(ctx context.Context, id usher.RequestID, fence usher.Fence, call *usher.Call) (*usher.Answer, error) {
	response, err := c.send(ctx, id, fence, call)
	if err != nil {
		return nil, err
	}
	return readAnswer(response)
}

// readAnswer reads a whole answer. net/http reports a body that is shorter
// than announced as an error, so a part never passes for the whole.
func readAnswer(response *http.Response) (*usher.Answer, error) {
	defer response.Body.Close()
	if !isDelimited(response) {
		return nil, &usher.BackendError{Operation: "read answer", Reached: true, Cause: &UndelimitedError{}}
	}
	body, err := readBody(response)
	if err == nil && len(body) > maxAnswer {
		err = &TooLargeError{Limit: maxAnswer}
	}
	if err != nil {
		return nil, &usher.BackendError{Operation: "read answer", Reached: true, Cause: err}
	}
	return &usher.Answer{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Body:        body,
	}, nil
}

func isDelimited(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.Request.Method == http.MethodHead
}

// readBody reads up to one byte more than an answer may have.
func readBody(response *http.Response) ([]byte, error) {
	if length := response.ContentLength; length >= 0 && length <= maxAnswer && response.Request.Method != http.MethodHead {
		body := make([]byte, length)
		_, err := io.ReadFull(response.Body, body)
		return body, err
	}
	return io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
