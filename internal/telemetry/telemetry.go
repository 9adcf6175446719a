// Package telemetry gives every process the same logs, metrics and dump.
package telemetry

import (
	"expvar"
	"io"
	"log"
	"strings"
	"time"

	"github.com/rs/zerolog"
)

// Events of one burst have to be told apart by their times.
func init() { zerolog.TimeFieldFormat = time.RFC3339Nano }

// NewLogger returns a logger that writes one line of key=value pairs for each
// event, beginning with time, level and event.
func NewLogger(out io.Writer, level zerolog.Level) zerolog.Logger {
	writer := &lineWriter{out: out}
	return zerolog.New(writer).Level(level).With().Timestamp().Logger()
}

// RedirectStandardLog sends what libraries write to the standard log to the
// logger, so that every line has the same form.
func RedirectStandardLog(logger zerolog.Logger) {
	log.SetFlags(0)
	log.SetOutput(standardLog{logger})
}

// standardLog is one line of the standard log for each Write.
type standardLog struct{ logger zerolog.Logger }

// Write implements io.Writer.
func (s standardLog) Write(line []byte) (int, error) {
	s.logger.Warn().Str("text", strings.TrimSpace(string(line))).Msg("libraryLog")
	return len(line), nil
}

// Metrics is a named group of counters under /debug/vars. expvar panics when a
// name is published twice, so a group is made at most once a name and shared
// by tests that run in one process.
type Metrics struct{ vars *expvar.Map }

// NewMetrics returns the group called name.
func NewMetrics(name string) *Metrics {
	if existing, ok := expvar.Get(name).(*expvar.Map); ok {
		return &Metrics{vars: existing}
	}
	return &Metrics{vars: expvar.NewMap(name)}
}

// Add adds delta to a counter of the group.
func (m *Metrics) Add(counter string, delta int64) { m.vars.Add(counter, delta) }

// Counter returns a counter of the group for use on the path of a request,
// where a look-up by name would cost more than the addition.
func (m *Metrics) Counter(name string) *expvar.Int {
	if existing, ok := m.vars.Get(name).(*expvar.Int); ok {
		return existing
	}
	counter := new(expvar.Int)
	m.vars.Set(name, counter)
	return counter
}
