// Package telemetry gives every process the same logs, metrics and dump.
package telemetry

import (
	"expvar"
	"io"
	"time"

	"github.com/rs/zerolog"
)

// Events of one burst have to be told apart by their times.
func init() { zerolog.TimeFieldFormat = time.RFC3339Nano }

// NewLogger returns a logger that writes one line of key=value pairs for each
// event, beginning with time, level and event.
func NewLogger(out io.Writer, level zerolog.Level) zerolog.Logger {
	writer := zerolog.ConsoleWriter{
		Out:        out,
		NoColor:    true,
		TimeFormat: time.RFC3339Nano,
		FormatTimestamp: func(value any) string {
			text, _ := value.(string)
			return "time=" + text
		},
		FormatLevel: func(value any) string {
			text, _ := value.(string)
			return "level=" + text
		},
		FormatMessage: func(value any) string {
			text, _ := value.(string)
			return "event=" + text
		},
		FormatFieldName: func(value any) string {
			text, _ := value.(string)
			return text + "="
		},
	}
	return zerolog.New(writer).Level(level).With().Timestamp().Logger()
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
