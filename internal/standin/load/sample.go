package load

import (
	"context"
	"time"

	"filbertusher/internal/standin/fleet"
)

// sampleInterval is the time between two samples of the engines' totals during a
// run. The samples let a report show when prefill was wasted.
const sampleInterval = time.Second

// sampleTotals samples the totals of all engines until the returned function is
// called, which returns the samples. Samples that failed are left out.
func (e *Experiment) sampleTotals(ctx context.Context, system *fleet.Deployment, run Run) func() []Totals {
	ctx, cancel := context.WithCancel(ctx)
	samples := make(chan []Totals, 1)
	go func() {
		var all []Totals
		started := time.Now()
		ticker := time.NewTicker(sampleInterval)
		defer ticker.Stop()
		for ctx.Err() == nil {
			select {
			case <-ticker.C:
				if engines, err := e.readTotals(ctx, system, run); err == nil {
					all = append(all, sumTotals(run, time.Since(started), engines))
				}
			case <-ctx.Done():
			}
		}
		samples <- all
	}()
	return func() []Totals {
		cancel()
		return <-samples
	}
}

func sumTotals(run Run, at time.Duration, engines []Totals) Totals {
	sum := Totals{Run: run, At: at}
	for _, totals := range engines {
		sum.PrefillTokens += totals.PrefillTokens
		sum.ReusedTokens += totals.ReusedTokens
		sum.WastedPrefill += totals.WastedPrefill
		sum.DecodeTokens += totals.DecodeTokens
	}
	return sum
}
