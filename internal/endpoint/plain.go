package endpoint

import (
	"context"
	"net"
	"net/http"
	"strings"

	"filbertusher/internal/intake"
	"filbertusher/pkg/usher"
)

// PlainClient is a client of a plain HTTP service. It can't stream or cancel.
type PlainClient struct{ client }

var _ usher.Backend = (*PlainClient)(nil)

// NewPlainClient returns a client of the service at address, an IP address and port.
// All bodies of responses together may use responseMemory bytes.
func NewPlainClient(address string, httpClient *http.Client, responseMemory int64) *PlainClient {
	return &PlainClient{client{base: "http://" + address, http: httpClient, responses: intake.NewResponses(responseMemory, maxResponseBytes)}}
}

// Listens returns whether the service accepts connections.
func (p *PlainClient) Listens(ctx context.Context) bool {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", strings.TrimPrefix(p.base, "http://"))
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// Stream implements usher.Backend. The response is never streamed.
func (p *PlainClient) Stream(ctx context.Context, id usher.RequestID, fence usher.FencingToken, call *usher.Call) (usher.EventStream, *usher.Response, error) {
	answer, err := p.Call(ctx, id, fence, call)
	return nil, answer, err
}

// Resume implements usher.Backend.
func (p *PlainClient) Resume(context.Context, usher.RequestID, uint64) (usher.EventStream, error) {
	return nil, &usher.BackendError{Operation: "resume", Cause: &UnsupportedError{Operation: "resume"}}
}

// Cancel implements usher.Backend.
func (p *PlainClient) Cancel(context.Context, usher.RequestID) error {
	return &usher.BackendError{Operation: "cancel", Cause: &UnsupportedError{Operation: "cancel"}}
}
