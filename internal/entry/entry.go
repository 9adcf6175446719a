// Package entry is the process that callers speak to. It checks a request,
// offers it to endpoints, settles what is unsure, and delivers the answer
// whole or refuses honestly. The files follow the way of a request: server,
// accept, chat, dispatch, settle, deliver; peers carries the messages.
package entry

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"filbertusher/internal/config"
	"filbertusher/internal/limit"
	"filbertusher/internal/record"
	"filbertusher/internal/suspect"
	"filbertusher/internal/telemetry"
	"filbertusher/pkg/usher"
)

// Options of an entry.
type Options struct {
	Incarnation usher.Incarnation
	// MaxCrashes is how often a request may be in an endpoint that crashes
	// before it is refused.
	MaxCrashes int
	// MaxBody bounds a caller's body, in bytes.
	MaxBody int64
	// MaxTimeout bounds the time that a caller may give a request.
	MaxTimeout time.Duration
	// BodyTimeout bounds how long a caller may take to send its request.
	BodyTimeout time.Duration
	// LateDecision reserves room at a second endpoint for a request that has
	// to wait.
	LateDecision bool
	// ReservationRate bounds the reservations a second; a request beyond it
	// waits at one endpoint only.
	ReservationRate int
	// Peer is the address of the entry's own peer listener.
	Peer string
}

// Dependencies are what an entry works with.
type Dependencies struct {
	Config   *config.Holder
	Placer   usher.Placer
	Recorder usher.Recorder
	Suspects *suspect.Table
	Log      zerolog.Logger
}

// Entry is the state of the process.
type Entry struct {
	Dependencies
	options Options
	peers   *peers
	limits  *limit.Limits
	// reservations is the budget of reservations, which are control messages.
	reservations *rate.Limiter
	ids          record.IDSource
	views        *views
	metrics      metrics
	inflight     inflight
	explained    explanations
}

type metrics struct {
	requests func(int64)
	answered func(int64)
	refused  func(int64)
	unknown  func(int64)
	settled  func(int64)
	stray    func(int64)
	reserved func(int64)
	moved    func(int64)
}

// New returns an entry. Run has to be called.
func New(options Options, dependencies Dependencies) *Entry {
	group := telemetry.NewMetrics("entry")
	e := &Entry{
		Dependencies: dependencies,
		options:      options,
		limits:       limit.New(),
		reservations: rate.NewLimiter(rate.Limit(options.ReservationRate), options.ReservationRate),
		ids:          record.NewIDSource(options.Incarnation),
		views:        newViews(),
		metrics: metrics{
			requests: group.Counter("requests").Add,
			answered: group.Counter("answered").Add,
			refused:  group.Counter("refused").Add,
			unknown:  group.Counter("unknown").Add,
			settled:  group.Counter("settled").Add,
			stray:    group.Counter("strayEvents").Add,
			reserved: group.Counter("reservations").Add,
			moved:    group.Counter("requestsMoved").Add,
		},
	}
	e.peers = newPeers(e)
	return e
}

// Run keeps the connections to the endpoints' companions in line with the
// configuration until ctx ends.
func (e *Entry) Run(ctx context.Context) error {
	e.peers.run(ctx)
	return nil
}

// State is the entry's part of the dump.
func (e *Entry) State() any {
	return map[string]any{
		"incarnation":   e.options.Incarnation,
		"configVersion": e.Config.Current().Version,
		"peers":         e.peers.state(),
		"limits":        e.limits.State(),
		"decisions":     e.explained.state(),
		"inFlight":      e.inflight.count.Load(),
		"inFlightIds":   e.inflight.ids(maxReported),
	}
}
