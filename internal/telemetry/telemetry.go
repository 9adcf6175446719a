// Package telemetry provides the logger and the metrics that all processes share.
package telemetry

import (
	"expvar"
	"io"
	"log"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Timestamps have nanoseconds, so that events in quick succession can be ordered.
func init() { zerolog.TimeFieldFormat = time.RFC3339Nano }

// NewLogger returns a logger that writes each event as one line of key=value
// pairs, starting with time, level and event.
func NewLogger(out io.Writer, level zerolog.Level) zerolog.Logger {
	writer := &lineWriter{out: out}
	return zerolog.New(writer).Level(level).With().Timestamp().Logger()
}

// maxTextBytes bounds a text of others in a log line.
const maxTextBytes = 512

// Cut returns the beginning of a text that others have chosen, such as the ID of a request, so
// that log lines which wait to be written take little memory.
func Cut(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	return text[:maxTextBytes] + "..."
}

// RedirectStandardLog redirects what libraries write to the standard log to
// logger, so that all lines have the same format.
func RedirectStandardLog(logger zerolog.Logger) {
	log.SetFlags(0)
	log.SetOutput(standardLogWriter{logger})
}

// standardLogWriter logs each line of the standard log as an event.
type standardLogWriter struct{ logger zerolog.Logger }

// Write implements io.Writer.
func (s standardLogWriter) Write(line []byte) (int, error) {
	s.logger.Warn().Str("text", strings.TrimSpace(string(line))).Msg("libraryLog")
	return len(line), nil
}

// Metrics is a named group of counters in /debug/vars. expvar panics if a name is
// published twice, so there is at most one group per name, which all tests of a
// process share.
type Metrics struct{ vars *expvar.Map }

// creation is held from the lookup of a group or counter to its creation. expvar
// has no operation that does both.
var creation sync.Mutex

// NewMetrics returns the group with this name and creates it if necessary.
func NewMetrics(name string) *Metrics {
	creation.Lock()
	defer creation.Unlock()
	if existing, ok := expvar.Get(name).(*expvar.Map); ok {
		return &Metrics{vars: existing}
	}
	return &Metrics{vars: expvar.NewMap(name)}
}

// Add adds delta to a counter of the group.
func (m *Metrics) Add(counter string, delta int64) { m.vars.Add(counter, delta) }

// Counter returns a counter of the group and creates it if necessary. Code that
// runs for every request holds on to the counter, because the lookup by name costs
// more than the addition.
func (m *Metrics) Counter(name string) *expvar.Int {
	creation.Lock()
	defer creation.Unlock()
	if existing, ok := m.vars.Get(name).(*expvar.Int); ok {
		return existing
	}
	counter := new(expvar.Int)
	m.vars.Set(name, counter)
	return counter
}
