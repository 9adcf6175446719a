package usher

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
)

// Call is a caller's HTTP request as it is passed on to an endpoint. Only
// headers that the endpoint may see are in it.
type Call struct {
	Method      string
	Path        string
	ContentType string
	// Key is passed on to plain services, which may deduplicate by it.
	Key  IdempotencyKey
	Body []byte
}

// Digest returns the digest that tells one call from another.
func (c *Call) Digest() Digest {
	hash := sha256.New()
	hash.Write([]byte(c.Method))
	hash.Write([]byte{0})
	hash.Write([]byte(c.Path))
	hash.Write([]byte{0})
	hash.Write(c.Body)
	return Digest(hex.EncodeToString(hash.Sum(nil)))
}

// Answer is the whole answer of an endpoint to a call.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Usage is what the engine reported; zero for plain services.
	Usage Usage
}

// Digest returns the SHA-256 of the body.
func (a *Answer) Digest() Digest { return DigestOf(a.Body) }

// DigestOf returns the digest of data.
func DigestOf(data []byte) Digest {
	sum := sha256.Sum256(data)
	return Digest(hex.EncodeToString(sum[:]))
}

// Succeeded says whether the endpoint took the call as valid and ran it.
func (a *Answer) Succeeded() bool { return a.Status < http.StatusBadRequest }

// Usage is what an engine reports of the work in a request.
type Usage struct {
	PromptTokens Tokens
	CachedTokens Tokens
	AnswerTokens Tokens
}

// StreamEvent is one event of a streamed answer. Offsets count from 0 without
// gaps, so that a reader can tell a repeated event from a lost one.
type StreamEvent struct {
	Offset uint64
	Data   []byte
}

// EventStream is a streamed answer. Next returns io.EOF after the last event
// of a whole answer, and any other error when the stream broke before it.
type EventStream interface {
	Next() (StreamEvent, error)
	Close() error
}

// Backend is the protocol of one endpoint, spoken only by its companion.
// Errors are *BackendError.
type Backend interface {
	// Call runs a request and returns its whole answer.
	Call(ctx context.Context, id RequestID, fence Fence, call *Call) (*Answer, error)
	// Stream runs a request whose answer is streamed. A refusal by the
	// endpoint is returned as an Answer in place of a stream.
	Stream(ctx context.Context, id RequestID, fence Fence, call *Call) (EventStream, *Answer, error)
	// Resume continues a stream that broke, from the event with offset from.
	Resume(ctx context.Context, id RequestID, from uint64) (EventStream, error)
	// Cancel ends the work of a request in the endpoint.
	Cancel(ctx context.Context, id RequestID) error
}

// CacheTransfer is implemented by backends whose KV cache can be kept outside
// of them, so that the prefill of a paused request is not lost.
type CacheTransfer interface {
	// ExportCache returns what was computed of the prompt of a request.
	ExportCache(ctx context.Context, id RequestID) ([]byte, error)
	// ImportCache makes it known to the endpoint again.
	ImportCache(ctx context.Context, cache []byte) error
}

// BackendError is returned when an endpoint gave no answer. Reached says
// whether the endpoint may have seen the call.
type BackendError struct {
	Operation string
	Reached   bool
	Cause     error
}

// Error implements error.
func (e *BackendError) Error() string { return "endpoint: " + e.Operation + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *BackendError) Unwrap() error { return e.Cause }
