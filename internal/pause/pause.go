// Package pause waits for a time or runs a function periodically until a context
// ends.
package pause

import (
	"context"
	"time"
)

// For blocks for delay or until ctx ends, whichever comes first. It returns at
// once if delay is not positive.
func For(ctx context.Context, delay time.Duration) {
	if delay <= 0 {
		return
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Every calls task once per interval until ctx ends. The first call comes after
// one interval.
func Every(ctx context.Context, interval time.Duration, task func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			task()
		}
	}
}
