package load

import (
	"context"
	"sync"
	"time"
)

// Replay sends each request at its arrival time and returns the results in the
// order of the arrivals, after all requests have ended. If ctx ends first, it
// returns the results of the requests sent until then.
func Replay(ctx context.Context, run Run, arrivals []Arrival, sender Sender) []*Result {
	results := make([]*Result, len(arrivals))
	started := time.Now()
	var pending sync.WaitGroup
	for i := range arrivals {
		timer := time.NewTimer(arrivals[i].At - time.Since(started))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			pending.Wait()
			return results[:i]
		}
		pending.Go(func() {
			sent := time.Since(started)
			response := sender.Send(ctx, &arrivals[i])
			results[i] = newResult(run, &arrivals[i], sent, &response)
		})
	}
	pending.Wait()
	return results
}
