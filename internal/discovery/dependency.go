package discovery

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"filbertusher/internal/boottime"
	"filbertusher/internal/pause"
)

// dependency tracks whether an external system that this process needs, such as the
// store, is available, and logs when that changes for this process.
type dependency struct {
	name string
	log  zerolog.Logger
	// onRecovery is called when the system answers after an outage, with the time in which
	// it is not known to have answered any process.
	onRecovery func(outage time.Duration)

	mu          sync.Mutex
	unavailable bool
	// lastSuccess is when a call of this process last succeeded.
	lastSuccess boottime.Time
	// lastAnswer is when the system is last known to have answered this process or another
	// one, or 0. hasFailed is set if a call has failed that was begun since: time without
	// calls is no outage.
	lastAnswer boottime.Time
	hasFailed  bool
}

// failed records that a call failed that was begun at started.
func (d *dependency) failed(ctx context.Context, call string, started boottime.Time, cause error) {
	if ctx.Err() != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if started >= d.lastAnswer {
		d.hasFailed = true
	}
	event, name := d.log.Warn(), "dependencyLost"
	switch {
	case started < d.lastSuccess:
		// The system has answered a call since, so only this one is lost.
		event, name = d.log.Info(), "callLost"
	case d.unavailable:
		return
	default:
		d.unavailable = true
	}
	event.Err(cause).Str("dependency", d.name).Str("call", call).Int64("tookMs", boottime.Since(started).Milliseconds()).Msg(name)
}

func (d *dependency) succeeded() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := boottime.Now()
	if d.lastSuccess == 0 {
		d.lastSuccess = now
	}
	if d.unavailable {
		d.unavailable = false
		d.log.Info().Str("dependency", d.name).Dur("after", now.Sub(d.lastSuccess)).Msg("dependencyRegained")
	}
	d.lastSuccess = now
	d.recordAnswer(now)
}

// answered records that the system answered a process at a time.
func (d *dependency) answered(at boottime.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordAnswer(at)
}

func (d *dependency) recordAnswer(at boottime.Time) {
	if at <= d.lastAnswer {
		return
	}
	outage, hadOutage := at.Sub(d.lastAnswer), d.hasFailed && d.lastAnswer > 0
	d.lastAnswer, d.hasFailed = at, false
	if hadOutage && d.onRecovery != nil {
		d.onRecovery(outage)
	}
}

// backoff is the exponential backoff between failed calls.
type backoff struct{ failures int }

func (b *backoff) reset() { b.failures = 0 }

func (b *backoff) wait(ctx context.Context) {
	delay := min(maxRetryDelay, minRetryDelay<<min(b.failures, 6))
	b.failures++
	pause.For(ctx, delay/2+time.Duration(rand.Int64N(int64(delay))))
}
