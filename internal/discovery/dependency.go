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
// store, is available, and logs when that changes.
type dependency struct {
	name string
	log  zerolog.Logger
	// onRecovery is called at the first success after a failure, with the time
	// since the last success before it.
	onRecovery func(outage time.Duration)

	mu          sync.Mutex
	unavailable bool
	lastSuccess time.Time
}

// failed records that a call failed that was begun at started.
func (d *dependency) failed(ctx context.Context, call string, started boottime.Time, cause error) {
	if ctx.Err() != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.unavailable {
		return
	}
	d.unavailable = true
	d.log.Warn().Err(cause).Str("dependency", d.name).Str("call", call).Int64("tookMs", boottime.Since(started).Milliseconds()).Msg("dependencyLost")
}

func (d *dependency) succeeded() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	outage := now.Sub(d.lastSuccess)
	if d.lastSuccess.IsZero() {
		outage = 0
	}
	d.lastSuccess = now
	if !d.unavailable {
		return
	}
	d.unavailable = false
	d.log.Info().Str("dependency", d.name).Dur("after", outage).Msg("dependencyRegained")
	if d.onRecovery != nil {
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
