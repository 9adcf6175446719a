// Package gateway serves callers and sends their requests to endpoints
// directly. Its files follow a request's way: accept, run, whole or stream, and
// refuse.
package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"filbertusher/internal/budget"
	"filbertusher/internal/dispatch"
	"filbertusher/internal/pause"
	"filbertusher/internal/quota"
	"filbertusher/internal/record"
	"filbertusher/internal/routing"
	"filbertusher/internal/suspect"
	"filbertusher/internal/upstream"
	"filbertusher/pkg/usher"
)

// Dependencies are what a gateway works with.
type Dependencies struct {
	Dialect   usher.Dialect
	Routes    *routing.Holder
	Scheduler *dispatch.Scheduler
	Pool      *upstream.Pool
	Quota     *quota.Quota
	Budget    *budget.Budget
	Suspects  *suspect.Table
	Recorder  usher.Recorder
	IDs       record.IDSource
	Log       zerolog.Logger
}

// Options are the settings of a gateway.
type Options struct {
	// Revocation is how long a credential may be honoured after it was taken
	// away; zero means without bound.
	Revocation time.Duration
}

const (
	// proofShare is the part of the revocation bound up to which a proof of the
	// configuration counts. The rest is the way of a request to the endpoint.
	proofShare = 0.92
	// readyShare is the part up to which an instance calls itself ready.
	readyShare = 0.6
	// headerTimeout bounds how long a caller may take to send the head of a
	// request before a configuration says it.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long a connection may be idle until then.
	idleTimeout = time.Minute
	// defaultMaxBody bounds bodies until then.
	defaultMaxBody = 8 << 20
	// maxHeader bounds the head of a request.
	maxHeader = 64 << 10
	// sweepEvery is how often idle connections are looked at.
	sweepEvery = time.Second
)

// Gateway is the callers' side of one process.
type Gateway struct {
	Dependencies
	options atomic.Pointer[Options]
	leaving atomic.Bool
	server  *http.Server
	metrics *metrics
	lines   *limiter

	mu   sync.Mutex
	idle map[net.Conn]time.Time
}

// New returns a gateway that does not serve yet.
func New(options Options, dependencies Dependencies) *Gateway {
	g := &Gateway{Dependencies: dependencies, metrics: newMetrics(), lines: newLimiter(), idle: make(map[net.Conn]time.Time)}
	g.options.Store(&options)
	g.server = &http.Server{
		Handler: g, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeader,
		ConnState: g.noteState, ErrorLog: nil,
	}
	return g
}

// SetOptions changes the settings while requests are served.
func (g *Gateway) SetOptions(options Options) { g.options.Store(&options) }

// Ready says whether callers should be sent here.
func (g *Gateway) Ready() bool {
	if g.leaving.Load() || g.Routes.Index() == nil {
		return false
	}
	bound := g.options.Load().Revocation
	return bound == 0 || g.Routes.Age() < time.Duration(float64(bound)*readyShare)
}

// fresh says whether the configuration is proven to be young enough to honour
// credentials.
func (g *Gateway) fresh() bool {
	bound := g.options.Load().Revocation
	return bound == 0 || g.Routes.Age() < time.Duration(float64(bound)*proofShare)
}

// Serve serves callers until the listener is closed.
func (g *Gateway) Serve(ctx context.Context, listener net.Listener) error {
	g.server.BaseContext = func(net.Listener) context.Context { return ctx }
	go pause.Every(ctx, sweepEvery, g.sweep)
	if err := g.server.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}

// Leave tells callers that the instance stops: each answer closes its
// connection from now on, and nothing is refused.
func (g *Gateway) Leave() { g.leaving.Store(true) }

// Shutdown closes the listener and waits for the requests in flight until ctx
// ends.
func (g *Gateway) Shutdown(ctx context.Context) error { return g.server.Shutdown(ctx) }

func (g *Gateway) noteState(conn net.Conn, state http.ConnState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if state == http.StateIdle {
		g.idle[conn] = time.Now()
		return
	}
	delete(g.idle, conn)
}

// sweep closes callers' connections that stay idle for longer than the
// configuration allows. The bound may change, which http.Server's may not.
func (g *Gateway) sweep() {
	bound := idleTimeout
	if index := g.Routes.Index(); index != nil && index.Table.Limits.IdleTimeout > 0 {
		bound = index.Table.Limits.IdleTimeout
	}
	g.closeIdle(time.Now().Add(-bound))
}

func (g *Gateway) closeIdle(before time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for conn, since := range g.idle {
		if since.Before(before) {
			delete(g.idle, conn)
			_ = conn.Close()
		}
	}
}
