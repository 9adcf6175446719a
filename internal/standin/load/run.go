package load

import (
	"context"
	"sync"
	"time"
)

// Replay sends the arrivals of a plan at their times and returns the results
// in the order of the plan once all have ended.
func Replay(ctx context.Context, run Run, arrivals []Arrival, sender Sender) []*Result {
	results := make([]*Result, len(arrivals))
	started := time.Now()
	var group sync.WaitGroup
	for i := range arrivals {
		wait := time.NewTimer(arrivals[i].At - time.Since(started))
		select {
		case <-wait.C:
		case <-ctx.Done():
			wait.Stop()
			group.Wait()
			return results[:i]
		}
		group.Go(func() {
			sent := time.Since(started)
			answer := sender.Send(ctx, &arrivals[i])
			results[i] = result(run, &arrivals[i], sent, &answer)
		})
	}
	group.Wait()
	return results
}
