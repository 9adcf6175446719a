package gateway

import (
	"context"
	"errors"
	"expvar"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/time/rate"

	"filbertusher/internal/telemetry"
	"filbertusher/pkg/usher"
)

// maxLogLinesPerSecond bounds the log lines about requests. Lines beyond it are
// dropped and counted.
const maxLogLinesPerSecond = 150

// finish updates the metrics, writes the decision record and logs the request.
func (h *requestHandler) finish() {
	g := h.gateway
	total := time.Since(h.arrived)
	g.metrics.observe(h, total)
	h.record(total)
	stop, cut := g.server.Stop(), h.isCutByStop()
	if cut {
		g.metrics.cutByStop.Add(1)
	} else if !g.logLimiter.allow() {
		return
	}
	event := g.Log.Info()
	if h.status >= 500 || h.status == 0 || cut {
		event = g.Log.Warn()
	}
	event = event.Str("request", telemetry.Cut(string(h.headers.ID))).Int("status", h.status).Str("outcome", string(h.outcome))
	if h.route != nil {
		event = event.Str("route", string(h.route.Name)).Str("service", string(h.service)).Int("rank", int(h.rank()))
	}
	if h.workspace != nil {
		event = event.Str("workspace", string(h.workspace.Name))
	}
	event.Uint64("version", uint64(h.version)).Int64("proofAgeMs", g.Routes.Age().Milliseconds()).Int64("rosterAgeMs", g.RosterAge().Milliseconds()).
		Int("prompt", int(h.headers.Cost.PromptTokens)).Int("answer", int(h.headers.Cost.AnswerTokens)).Int("hint", int(h.headers.ExpectedAnswerTokens)).Int("events", h.eventCount).
		Str("endpoint", string(h.endpoint)).Str("software", string(h.software)).Str("resumes", telemetry.Cut(string(h.headers.Resumes))).Str("began", string(h.origin.Software)).Int("attempts", h.attempts).Int("inside", h.endpointRunning).
		Int64("waitedMs", h.waited.Milliseconds()).Int64("expectedMs", h.expectedLatency.Milliseconds()).
		Int64("firstMs", h.firstLatency.Milliseconds()).Int64("pauseMs", h.longestPause.Milliseconds()).Int64("totalMs", total.Milliseconds()).
		Str("detail", telemetry.Cut(h.detail))
	if h.onTrial != "" {
		event.Str("onTrial", string(h.onTrial))
	}
	if h.copyReason != "" {
		event.Str("copied", string(h.copyReason)).Bool("copyWon", h.copyWon)
	}
	if stop != nil {
		event.Int64("stopArrivedMs", h.arrived.Sub(stop.Began).Milliseconds()).Bool("cutByStop", cut)
		if !h.attemptSent.IsZero() {
			event.Int64("stopSentMs", h.attemptSent.Sub(stop.Began).Milliseconds())
		}
	}
	event.Msg("request")
}

// isCutByStop reports whether the request was running when the time for a stop was over.
func (h *requestHandler) isCutByStop() bool {
	stopping := new(StoppingError)
	return h.outcome != usher.OutcomeNotRun && errors.As(context.Cause(h.request.Context()), &stopping)
}

// LogStop logs what became of the callers' requests and connections during a stop.
func (g *Gateway) LogStop() {
	stop := g.server.Stop()
	if stop == nil {
		return
	}
	open, closedIdle := g.server.Connections()
	g.Log.Info().Int64("taken", g.metrics.takenWhileStopping.Value()).Int64("refused", g.metrics.refusedByStop.Value()).
		Int64("cut", g.metrics.cutByStop.Value()).Int64("closedIdle", closedIdle).Int("open", open).
		Int64("tookMs", time.Since(stop.Began).Milliseconds()).Msg("drained")
}

// logLimiter limits the rate of log lines and counts those it drops.
type logLimiter struct {
	*rate.Limiter
	dropped atomic.Int64
}

func newLogLimiter() *logLimiter {
	return &logLimiter{Limiter: rate.NewLimiter(maxLogLinesPerSecond, maxLogLinesPerSecond)}
}

func (l *logLimiter) allow() bool {
	if l.Allow() {
		return true
	}
	l.dropped.Add(1)
	return false
}

// metrics are the counters and latency histograms of the gateway. started counts
// the requests that arrived, suspected those refused because they crashed
// endpoints, and overQuota those refused for their workspace's quota. delayed counts the
// streams with a pause over their gap target. overBudget counts the retries that the retry
// budget did not allow, repeated the retries, and moved the moves away from an endpoint that
// sent nothing. rateLimited counts the responses in which an endpoint names a rate limit,
// leaving those in which it states that it leaves, and paused those in which it wants no
// requests for a time. lost counts the attempts whose connection broke and crashed those
// after which the endpoint accepted no connection, both by responseProgress. copies counts
// the copies of requests: those sent, by reason, what became of them, and why others were not
// sent. short counts the callers that found no memory, and resumed the streams that went on
// at another endpoint.
//
// During a stop, takenWhileStopping counts the requests that arrived and were accepted,
// refusedByStop those refused because of it, and cutByStop those that still ran at its end.
type metrics struct {
	started, suspected, delayed, overQuota, overBudget, repeated, moved, rateLimited, leaving, paused *expvar.Int

	takenWhileStopping, refusedByStop, cutByStop *expvar.Int

	copies   *telemetry.Metrics
	lost     *telemetry.Metrics
	crashed  *telemetry.Metrics
	resumed  *telemetry.Metrics
	refused  *telemetry.Metrics
	short    *telemetry.Metrics
	statuses *telemetry.Metrics
	// rollouts counts attempts at candidates, and answers and failedAnswers those that were
	// observed for rollouts, by software version.
	rollouts, answers, failedAnswers *telemetry.Metrics

	firstEvent *histogram
	total      *histogram
	waited     *histogram
}

func newMetrics() *metrics {
	group := telemetry.NewMetrics("gateway")
	return &metrics{
		started: group.Counter("started"), suspected: group.Counter("suspected"), delayed: group.Counter("delayedEvents"), overQuota: group.Counter("overQuota"),
		overBudget: group.Counter("overBudget"), repeated: group.Counter("repeated"), moved: group.Counter("moved"),
		rateLimited: group.Counter("rateLimited"), leaving: group.Counter("leaving"), paused: group.Counter("paused"),
		takenWhileStopping: group.Counter("takenWhileStopping"), refusedByStop: group.Counter("refusedByStop"), cutByStop: group.Counter("cutByStop"),
		copies: telemetry.NewMetrics("gatewayCopies"),
		lost:   telemetry.NewMetrics("gatewayLost"), crashed: telemetry.NewMetrics("gatewayCrashed"),
		resumed: telemetry.NewMetrics("gatewayResumed"),
		refused: telemetry.NewMetrics("gatewayRefused"), short: telemetry.NewMetrics("gatewayMemoryShort"), statuses: telemetry.NewMetrics("gatewayStatus"),
		rollouts: telemetry.NewMetrics("gatewayRollouts"), answers: telemetry.NewMetrics("rolloutAnswers"), failedAnswers: telemetry.NewMetrics("rolloutFailures"),
		firstEvent: newHistogram(), total: newHistogram(), waited: newHistogram(),
	}
}

func (m *metrics) observe(h *requestHandler, total time.Duration) {
	m.statuses.Add(statusClass(h.status), 1)
	m.total.record(total)
	if h.route != nil && h.route.GapTarget > 0 && h.longestPause > h.route.GapTarget {
		m.delayed.Add(1)
	}
	m.waited.record(h.waited)
	if h.firstLatency > 0 {
		m.firstEvent.record(h.firstLatency)
	}
}

func statusClass(status int) string {
	if status == 0 {
		return "cut"
	}
	return string(rune('0'+status/100)) + "xx"
}

// histogram is a latency histogram. It is safe for concurrent use.
type histogram struct {
	mu     sync.Mutex
	values *hdrhistogram.Histogram
}

// The range and resolution of the latency histograms: 0.1 ms to one minute. Values
// outside the range are clamped.
const (
	minLatencyMicros         = 100
	maxLatencyMicros         = 60_000_000
	latencySignificantDigits = 2
)

func newHistogram() *histogram {
	return &histogram{values: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificantDigits)}
}

func (h *histogram) record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.values.RecordValue(min(maxLatencyMicros, max(minLatencyMicros, d.Microseconds())))
}

// Quantiles summarizes a latency histogram, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50Ms"`
	P95   float64 `json:"p95Ms"`
	P99   float64 `json:"p99Ms"`
	Max   float64 `json:"mostMs"`
}

func (h *histogram) quantiles() Quantiles {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := func(q float64) float64 { return math.Round(float64(h.values.ValueAtQuantile(q))/10) / 100 }
	return Quantiles{Count: h.values.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: at(100)}
}

// State returns the gateway's section of the diagnostic dump and of the metrics.
func (g *Gateway) State() any {
	dialed, reused, idle := g.Pool.Stats()
	return struct {
		Ready         bool      `json:"ready"`
		Version       uint64    `json:"version"`
		ProofAgeMs    int64     `json:"proofAgeMs"`
		RosterAgeMs   int64     `json:"rosterAgeMs"`
		FirstEvent    Quantiles `json:"firstEvent"`
		Total         Quantiles `json:"total"`
		Waited        Quantiles `json:"waited"`
		Dialed        int64     `json:"connectionsOpened"`
		Reused        int64     `json:"connectionsReused"`
		Idle          int64     `json:"connectionsIdle"`
		LinesDropped  int64     `json:"linesDropped"`
		CallersIdling int       `json:"callersIdling"`
	}{
		g.Ready(), uint64(g.Routes.Version()), g.Routes.Age().Milliseconds(), g.RosterAge().Milliseconds(),
		g.metrics.firstEvent.quantiles(), g.metrics.total.quantiles(), g.metrics.waited.quantiles(),
		dialed, reused, idle, g.logLimiter.dropped.Load(), g.server.IdleCount(),
	}
}
