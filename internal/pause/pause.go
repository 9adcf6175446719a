// Package pause waits between two tries of something.
package pause

import (
	"context"
	"time"
)

// For waits for a delay or until ctx ends, whichever comes first. A delay of
// zero or less does not wait.
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

// Every calls do at a steady pace until ctx ends.
func Every(ctx context.Context, pace time.Duration, do func()) {
	ticker := time.NewTicker(pace)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do()
		}
	}
}
