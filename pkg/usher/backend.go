package usher

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
)

// Call is a caller's HTTP request as it is forwarded to an endpoint. It contains
// only what the endpoint may see.
type Call struct {
	Method      string
	Path        string
	ContentType string
	// Key is forwarded to plain services, which may use it for deduplication.
	Key  IdempotencyKey
	Body []byte
}

// Digest returns the SHA-256 of method, path and body. Requests with equal
// digests are treated as the same request.
func (c *Call) Digest() Digest {
	hash := sha256.New()
	hash.Write([]byte(c.Method))
	hash.Write([]byte{0})
	hash.Write([]byte(c.Path))
	hash.Write([]byte{0})
	hash.Write(c.Body)
	return Digest(hex.EncodeToString(hash.Sum(nil)))
}

// Response is an endpoint's complete, unstreamed response to a request.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	// Usage is reported by the model engine; zero for plain services.
	Usage Usage
}

// Digest returns the SHA-256 of the body.
func (r *Response) Digest() Digest { return DigestOf(r.Body) }

// DigestOf returns the SHA-256 of data.
func DigestOf(data []byte) Digest {
	sum := sha256.Sum256(data)
	return Digest(hex.EncodeToString(sum[:]))
}

// Succeeded reports whether the endpoint accepted the request and ran it: the
// status is below 400.
func (r *Response) Succeeded() bool { return r.Status < http.StatusBadRequest }

// Usage holds the token counts that an engine reports for a request.
// CachedTokens are prompt tokens that were served from the KV cache.
type Usage struct {
	PromptTokens Tokens
	CachedTokens Tokens
	AnswerTokens Tokens
}

// StreamEvent is one event of a streamed response. Offsets count from 0 without
// gaps, so that a reader can distinguish a repeated event from a lost one.
type StreamEvent struct {
	Offset uint64
	Data   []byte
}

// EventStream is a streamed response. Next returns io.EOF after the last event
// of a complete response, and any other error if the stream ended before that.
type EventStream interface {
	Next() (StreamEvent, error)
	Close() error
}

// Backend is the client of one endpoint. Only the endpoint's companion uses it.
// Errors are *BackendError.
type Backend interface {
	// Call runs a request and returns its complete response.
	Call(ctx context.Context, id RequestID, fence FencingToken, call *Call) (*Response, error)
	// Stream runs a request whose response is streamed. If the endpoint
	// rejects the request, its response is returned in place of a stream.
	Stream(ctx context.Context, id RequestID, fence FencingToken, call *Call) (EventStream, *Response, error)
	// Resume continues an interrupted stream at the event with offset from.
	Resume(ctx context.Context, id RequestID, from uint64) (EventStream, error)
	// Cancel stops the endpoint's work on a request.
	Cancel(ctx context.Context, id RequestID) error
}

// CacheTransfer is implemented by backends whose KV cache can be exported and
// imported, so that a preempted request need not repeat its prefill.
type CacheTransfer interface {
	// ExportCache returns the KV cache entries computed for a request's prompt.
	ExportCache(ctx context.Context, id RequestID) ([]byte, error)
	// ImportCache loads exported entries into the endpoint.
	ImportCache(ctx context.Context, cache []byte) error
}

// BackendError is returned when an endpoint sent no response. Reached is true
// if the endpoint may have received the request.
type BackendError struct {
	Operation string
	Reached   bool
	Cause     error
}

// Error implements error.
func (e *BackendError) Error() string { return "endpoint: " + e.Operation + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *BackendError) Unwrap() error { return e.Cause }
