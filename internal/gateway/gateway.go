// Package gateway is the HTTP server for callers. It validates each request,
// obtains an endpoint from the scheduler, sends the request there, and relays the
// response.
//
// A request passes through accept.go (validation), run.go (dispatch and retries),
// response.go or stream.go (buffered and streamed responses) and, if it is not
// answered, refuse.go. monitor.go moves a request away from an endpoint that has
// gone silent, copy.go sends a second copy of one that takes long, candidate.go sends some
// to the endpoints that a rollout tries, and crash.go detects that an endpoint crashed and
// refuses what crashes it. explain.go tells where a request would go. report.go and
// record.go log and record the outcome.
package gateway

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"filbertusher/internal/blame"
	"filbertusher/internal/dispatch"
	"filbertusher/internal/drain"
	"filbertusher/internal/hedge"
	"filbertusher/internal/inquiry"
	"filbertusher/internal/intake"
	"filbertusher/internal/pause"
	"filbertusher/internal/quota"
	"filbertusher/internal/record"
	"filbertusher/internal/retrybudget"
	"filbertusher/internal/rollout"
	"filbertusher/internal/routing"
	"filbertusher/internal/streamorigin"
	"filbertusher/internal/upstream"
	"filbertusher/pkg/usher"
)

// Dependencies are the components that a gateway uses.
type Dependencies struct {
	Codec     usher.HeaderCodec
	Routes    *routing.Holder
	Scheduler *dispatch.Scheduler
	Pool      *upstream.Pool
	Quota     *quota.Quota
	Budget    *retrybudget.Budget
	// Copies decides about second copies of requests; nil sends none.
	Copies   *hedge.Policy
	Blame    *blame.Table
	Streams  *streamorigin.Table
	Versions *streamorigin.Confirmer
	// Rollouts is nil where operators order no rollouts.
	Rollouts *rollout.Table
	Recorder usher.Recorder
	IDs      record.IDSource
	Log      zerolog.Logger
	// OnLeaving is called with an endpoint that states in a response that it leaves.
	OnLeaving func(endpoint *usher.Registration)
	// HasNotRestarted reports whether an endpoint that accepts connections is still the
	// same process. It may take seconds.
	HasNotRestarted func(ctx context.Context, endpoint *usher.Registration) bool
	// RosterAge returns the time since the list of endpoints was last known to be complete.
	RosterAge func() time.Duration
	// ExchangeCrashes exchanges with other instances what is known of crashes, within a
	// fraction of a second.
	ExchangeCrashes func(ctx context.Context)
}

// Options are the settings of a gateway. Memory bounds what callers and others who connect to
// the process hold; ResponseMemory, in bytes, is the part of it that the bodies of responses may
// use that are buffered at once. They are fixed when the gateway is created, and nil and 0
// stand for defaultClientMemory and defaultBodyMemory.
type Options struct {
	Memory         *intake.Budget
	ResponseMemory int64
	// Connections bounds those of callers. It is fixed too.
	Connections drain.Limits
	// MaxRevocationDelay is the longest time that a revoked credential may still be
	// accepted; zero means no limit.
	MaxRevocationDelay time.Duration
}

const (
	// credentialProofFraction is the fraction of Options.MaxRevocationDelay up to which
	// the proof that the configuration is the newest may age while credentials are
	// still accepted. The rest is left for the request to reach the endpoint.
	credentialProofFraction = 0.92
	// readyProofFraction is the fraction of Options.MaxRevocationDelay up to which that
	// proof may age while the instance reports itself ready.
	readyProofFraction = 0.6
	// defaultIdleTimeout closes idle connections where the configuration sets no
	// idle timeout.
	defaultIdleTimeout = time.Minute
	// defaultMaxBodyBytes bounds request bodies where the configuration sets no
	// limit.
	defaultMaxBodyBytes = 8 << 20
	// maxResponseBytes bounds the body of a response that is not streamed.
	maxResponseBytes = 32 << 20
	// defaultClientMemory bounds what callers hold, and defaultBodyMemory the buffered
	// bodies of responses, where no limit is given.
	defaultClientMemory = 96 << 20
	defaultBodyMemory   = 64 << 20
	// idleSweepInterval is the interval between scans for idle connections.
	idleSweepInterval = time.Second
	// maxToldIdleTime bounds how long callers may use an idle connection by what they are told.
	// A stopping instance keeps idle connections open for that time, since a request may be
	// on its way on any of them. It serves for longer in any case, until the load balancer
	// has noticed, so that only connections that were busy then make a stop last longer.
	maxToldIdleTime = 2 * time.Second
)

// Gateway is the HTTP server for callers in one process.
type Gateway struct {
	Dependencies
	options   atomic.Pointer[Options]
	http      *http.Server
	server    *drain.Server
	memory    *intake.Budget
	intake    *intake.Intake
	responses *intake.Responses
	// crashInquiry shares the exchanges about crashes among the requests that wait for one.
	crashInquiry inquiry.Group
	metrics      *metrics
	logLimiter   *logLimiter
}

// New returns a gateway; Serve starts it.
func New(options Options, dependencies Dependencies) *Gateway {
	g := &Gateway{Dependencies: dependencies, metrics: newMetrics(), logLimiter: newLogLimiter()}
	g.options.Store(&options)
	if g.memory = options.Memory; g.memory == nil {
		g.memory = intake.NewBudget(defaultClientMemory)
	}
	g.intake = intake.NewWithin(g.memory, 1)
	g.responses = intake.NewResponses(cmp.Or(options.ResponseMemory, defaultBodyMemory), maxResponseBytes)
	g.responses.ChargeTo(g.memory)
	g.http = &http.Server{Handler: g, MaxHeaderBytes: maxHeaderBytes, ConnState: trackCallerConn, ConnContext: withConn}
	options.Connections.IsScarce = g.memory.IsScarce
	g.server = drain.New(g.http, g.newCallerConn, options.Connections)
	g.server.SetIdleTime(maxToldIdleTime)
	return g
}

// SetOptions replaces the settings. It may be called while requests are served.
func (g *Gateway) SetOptions(options Options) { g.options.Store(&options) }

// Ready reports whether the load balancer should send callers to this instance:
// it is not draining and its configuration was recently proven to be the newest.
func (g *Gateway) Ready() bool {
	if g.server.Draining() || g.Routes.Index() == nil {
		return false
	}
	limit := g.options.Load().MaxRevocationDelay
	return limit == 0 || g.Routes.Age() < time.Duration(float64(limit)*readyProofFraction)
}

// hasFreshConfig reports whether the configuration was proven to be the newest
// recently enough to check credentials against it.
func (g *Gateway) hasFreshConfig() bool {
	limit := g.options.Load().MaxRevocationDelay
	return limit == 0 || g.Routes.Age() < time.Duration(float64(limit)*credentialProofFraction)
}

// Serve serves callers until Shutdown. The requests use ctx.
func (g *Gateway) Serve(ctx context.Context, listener net.Listener) error {
	g.http.BaseContext = func(net.Listener) context.Context { return ctx }
	go pause.Every(ctx, idleSweepInterval, g.closeExpiredIdle)
	return g.server.Serve(listener)
}

// StoppingError is the cancellation cause of requests that are still in flight when the
// time for a stop is over.
type StoppingError struct{}

// Error implements error.
func (*StoppingError) Error() string { return "the instance is stopping" }

// StartDraining starts draining: Ready returns false and each response closes its
// connection. Requests that can't be finished by stop.EndsAt are refused; so are those that
// arrive whole after stop.TakesUntil, unless their deadlines come before that end.
func (g *Gateway) StartDraining(stop drain.Stop) {
	g.server.StartDraining(stop)
	g.Scheduler.StopAt(stop.EndsAt)
}

// Shutdown stops accepting connections and waits until the requests in flight have
// ended or ctx is done.
func (g *Gateway) Shutdown(ctx context.Context) error { return g.server.Shutdown(ctx) }

// closeExpiredIdle closes caller connections that have been idle for longer than
// the configuration allows. http.Server.IdleTimeout is not used because it can't
// be changed while the server runs.
func (g *Gateway) closeExpiredIdle() {
	limit := cmp.Or(max(g.callerLimits().IdleTimeout, 0), defaultIdleTimeout)
	g.server.SetIdleTime(min(maxToldIdleTime, limit-idleSweepInterval))
	g.server.CloseIdle(time.Now().Add(-limit))
}
