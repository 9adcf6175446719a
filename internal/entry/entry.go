// Package entry implements the front-end proxy that callers connect to. It
// validates a request, offers it to endpoints through their companions,
// resolves attempts whose outcome is unknown, and returns either the complete
// response or a refusal that states whether the request ran.
//
// In the order in which a request passes through them, the files are server,
// accept, chat, dispatch, candidates or keyed, outcome and deliver. peers and
// peer hold the connections to the companions.
package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"filbertusher/internal/blame"
	"filbertusher/internal/config"
	"filbertusher/internal/drain"
	"filbertusher/internal/inquiry"
	"filbertusher/internal/intake"
	"filbertusher/internal/limit"
	"filbertusher/internal/record"
	"filbertusher/internal/suspect"
	"filbertusher/internal/telemetry"
	"filbertusher/pkg/usher"
)

// Options configures an entry.
type Options struct {
	Incarnation usher.Incarnation
	// MaxCrashes is the number of endpoint crashes during a request's execution
	// at which the request is refused.
	MaxCrashes int
	// MaxBody is the maximum size of a request body, in bytes.
	MaxBody int64
	// Memory is what callers and others who connect to the process hold. If it is nil, only
	// the bodies of all requests are bounded, by RequestMemory bytes.
	Memory        *intake.Budget
	RequestMemory int64
	// Connections bounds those of callers.
	Connections drain.Limits
	// MaxTimeout is the longest timeout that a caller may set for a request.
	MaxTimeout time.Duration
	// BodyTimeout is the time a caller has to send its header, and again to send
	// its body.
	BodyTimeout time.Duration
	// LateBinding enables late binding: a request that has to queue at one
	// endpoint also reserves capacity at a second one, and runs at the one that has
	// capacity first.
	LateBinding bool
	// ReservationRate is the maximum number of reservations per second. Requests
	// above it queue at one endpoint only.
	ReservationRate int
	// Peer is the address on which this process serves its peers.
	Peer string
}

// Dependencies are the components that an entry uses.
type Dependencies struct {
	Config   *config.Holder
	Placer   usher.Placer
	Recorder usher.Recorder
	Suspects *suspect.Table
	Blame    *blame.Table
	Log      zerolog.Logger
}

// Entry accepts requests from callers and dispatches them to endpoints.
type Entry struct {
	Dependencies
	options Options
	intake  *intake.Intake
	peers   *peerSet
	limiter *limit.Limiter
	// reservationLimiter limits the rate of reservation messages.
	reservationLimiter *rate.Limiter
	ids                record.IDSource
	keySlotViews       *keySlotViews
	metrics            metrics
	inFlight           inFlightRequests
	recentDecisions    decisionLog
	crashInquiry       inquiry.Group
	// server is set by Serve.
	server atomic.Pointer[drain.Server]
	stop   *stop
}

// decodedFactor is what a body takes while it is decoded, in its lengths.
const decodedFactor = 2

// metrics holds the functions that add to the entry's counters. outcomesResolved
// counts lost replies whose outcome was asked for, strayEvents dropped events,
// and requestsMoved requests that ran at the endpoint of their reservation.
type metrics struct {
	requests         func(int64)
	answered         func(int64)
	refused          func(int64)
	unknown          func(int64)
	outcomesResolved func(int64)
	strayEvents      func(int64)
	reservationsMade func(int64)
	requestsMoved    func(int64)
}

// New returns an entry. The caller has to call Run before it can reach
// endpoints.
func New(options Options, dependencies Dependencies) *Entry {
	group := telemetry.NewMetrics("entry")
	e := &Entry{
		Dependencies:       dependencies,
		options:            options,
		intake:             intake.New(options.RequestMemory),
		limiter:            limit.New(),
		reservationLimiter: rate.NewLimiter(rate.Limit(options.ReservationRate), options.ReservationRate),
		ids:                record.NewIDSource(options.Incarnation),
		keySlotViews:       newKeySlotViews(),
		stop:               newStop(group),
		metrics: metrics{
			requests:         group.Counter("requests").Add,
			answered:         group.Counter("answered").Add,
			refused:          group.Counter("refused").Add,
			unknown:          group.Counter("unknown").Add,
			outcomesResolved: group.Counter("settled").Add,
			strayEvents:      group.Counter("strayEvents").Add,
			reservationsMade: group.Counter("reservations").Add,
			requestsMoved:    group.Counter("requestsMoved").Add,
		},
	}
	if options.Memory != nil {
		e.intake = intake.NewWithin(options.Memory, decodedFactor)
	}
	e.peers = newPeerSet(e)
	return e
}

// Run opens and closes connections to the endpoints' companions as the
// configuration changes, until ctx is done.
func (e *Entry) Run(ctx context.Context) error {
	e.peers.run(ctx)
	return nil
}

// State returns the entry's section of the diagnostic dump.
func (e *Entry) State() any {
	return map[string]any{
		"incarnation":   e.options.Incarnation,
		"configVersion": e.Config.Current().Version,
		"peers":         e.peers.state(),
		"limits":        e.limiter.State(),
		"decisions":     e.recentDecisions.state(),
		"inFlight":      e.inFlight.count.Load(),
		"stopsInMs":     e.stop.timeLeft().Milliseconds(),
		"inFlightIds":   e.inFlight.ids(maxReportedRequests),
	}
}
