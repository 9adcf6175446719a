package gateway

import (
	"expvar"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/time/rate"

	"filbertusher/internal/telemetry"
)

// linesPerSecond bounds the lines about requests. What is beyond is counted.
const linesPerSecond = 150

// finish writes the line about a request and counts it.
func (j *job) finish() {
	g := j.gateway
	total := time.Since(j.arrived)
	g.metrics.ended(j, total)
	j.record(total)
	if !g.lines.allow() {
		return
	}
	event := g.Log.Info()
	if j.status >= 500 || j.status == 0 {
		event = g.Log.Warn()
	}
	event = event.Str("request", string(j.head.ID)).Int("status", j.status).Str("outcome", string(j.outcome))
	if j.route != nil {
		event = event.Str("route", string(j.route.Name)).Str("service", string(j.service)).Int("rank", int(j.rank()))
	}
	if j.workspace != nil {
		event = event.Str("workspace", string(j.workspace.Name))
	}
	event.Uint64("version", uint64(j.version)).Int64("proofAgeMs", g.Routes.Age().Milliseconds()).
		Int("prompt", int(j.head.Cost.PromptTokens)).Int("answer", int(j.head.Cost.AnswerTokens)).Int("hint", int(j.head.Hint)).Int("events", j.events).
		Str("endpoint", string(j.endpoint)).Int("attempts", j.attempts).Int("inside", j.inside).
		Int64("waitedMs", j.waited.Milliseconds()).Int64("expectedMs", j.expected.Milliseconds()).
		Int64("firstMs", j.first.Milliseconds()).Int64("totalMs", total.Milliseconds()).
		Str("detail", j.detail).Msg("request")
}

// limiter lets a number of lines through each second and counts the others.
type limiter struct {
	*rate.Limiter
	dropped atomic.Int64
}

func newLimiter() *limiter {
	return &limiter{Limiter: rate.NewLimiter(linesPerSecond, linesPerSecond)}
}

func (l *limiter) allow() bool {
	if l.Allow() {
		return true
	}
	l.dropped.Add(1)
	return false
}

// metrics are the counters and histograms of the callers' side.
type metrics struct {
	started, suspected, overQuota, overBudget, repeated, moved *expvar.Int

	refused  *telemetry.Metrics
	statuses *telemetry.Metrics
	first    *histogram
	total    *histogram
	waited   *histogram
}

func newMetrics() *metrics {
	group := telemetry.NewMetrics("gateway")
	return &metrics{
		started: group.Counter("started"), suspected: group.Counter("suspected"), overQuota: group.Counter("overQuota"),
		overBudget: group.Counter("overBudget"), repeated: group.Counter("repeated"), moved: group.Counter("moved"),
		refused: telemetry.NewMetrics("gatewayRefused"), statuses: telemetry.NewMetrics("gatewayStatus"),
		first: newHistogram(), total: newHistogram(), waited: newHistogram(),
	}
}

func (m *metrics) ended(j *job, total time.Duration) {
	m.statuses.Add(statusName(j.status), 1)
	m.total.record(total)
	m.waited.record(j.waited)
	if j.first > 0 {
		m.first.record(j.first)
	}
}

func statusName(status int) string {
	if status == 0 {
		return "cut"
	}
	return string(rune('0'+status/100)) + "xx"
}

// histogram holds latencies from a tenth of a millisecond to a minute.
type histogram struct {
	mu     sync.Mutex
	values *hdrhistogram.Histogram
}

const (
	histogramLeast  = 100
	histogramMost   = 60_000_000
	histogramDigits = 2
)

func newHistogram() *histogram {
	return &histogram{values: hdrhistogram.New(histogramLeast, histogramMost, histogramDigits)}
}

func (h *histogram) record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.values.RecordValue(min(histogramMost, max(histogramLeast, d.Microseconds())))
}

// Quantiles are a histogram's figures in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50Ms"`
	P95   float64 `json:"p95Ms"`
	P99   float64 `json:"p99Ms"`
	Most  float64 `json:"mostMs"`
}

func (h *histogram) quantiles() Quantiles {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := func(q float64) float64 { return math.Round(float64(h.values.ValueAtQuantile(q))/10) / 100 }
	return Quantiles{Count: h.values.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Most: at(100)}
}

// State is the gateway's part of the dump and of the metrics.
func (g *Gateway) State() any {
	dialed, reused, idle := g.Pool.Stats()
	return struct {
		Ready         bool      `json:"ready"`
		Version       uint64    `json:"version"`
		ProofAgeMs    int64     `json:"proofAgeMs"`
		FirstEvent    Quantiles `json:"firstEvent"`
		Total         Quantiles `json:"total"`
		Waited        Quantiles `json:"waited"`
		Dialed        int64     `json:"connectionsOpened"`
		Reused        int64     `json:"connectionsReused"`
		Idle          int64     `json:"connectionsIdle"`
		LinesDropped  int64     `json:"linesDropped"`
		CallersIdling int       `json:"callersIdling"`
	}{
		g.Ready(), uint64(g.Routes.Version()), g.Routes.Age().Milliseconds(),
		g.metrics.first.quantiles(), g.metrics.total.quantiles(), g.metrics.waited.quantiles(),
		dialed, reused, idle, g.lines.dropped.Load(), g.idling(),
	}
}

func (g *Gateway) idling() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.idle)
}
