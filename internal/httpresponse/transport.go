package httpresponse

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Transport is a transport of net/http that scans the framing of responses. Its user has to
// verify them too.
type Transport struct{ *http.Transport }

// NewTransport returns a transport that uses base, which it changes. A request fails with an
// *InvalidError as its cause if the framing of its response is faulty.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &scanningConn{Conn: conn}, nil
	}
	return &Transport{Transport: base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*scanningConn); ok {
			conn.scanner.Store(new(FramingScanner))
		}
	}}
	return t.Transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
}

// scanningConn is a connection with a scanner for the response to its current request.
type scanningConn struct {
	net.Conn
	scanner atomic.Pointer[FramingScanner]
}

// Read implements net.Conn.
func (c *scanningConn) Read(buf []byte) (int, error) {
	n, err := c.Conn.Read(buf)
	if scanner := c.scanner.Load(); scanner != nil {
		if invalid := scanner.Scan(buf[:n]); invalid != nil {
			return 0, invalid
		}
	}
	return n, err
}
