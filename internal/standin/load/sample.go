package load

import (
	"context"
	"time"

	"filbertusher/internal/standin/fleet"
)

// sampleEvery is how often the engines' work is read during a run, so that a
// report can show when prefill was wasted.
const sampleEvery = time.Second

// sample reads the work of all engines until the returned function is called,
// which returns what was read. A reading that failed is left out.
func (e *Experiment) sample(ctx context.Context, whole *fleet.Whole, run Run) func() []Totals {
	ctx, cancel := context.WithCancel(ctx)
	samples := make(chan []Totals, 1)
	go func() {
		var all []Totals
		started := time.Now()
		ticker := time.NewTicker(sampleEvery)
		defer ticker.Stop()
		for ctx.Err() == nil {
			select {
			case <-ticker.C:
				if engines, err := e.totals(ctx, whole, run); err == nil {
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
	for _, one := range engines {
		sum.PrefillTokens += one.PrefillTokens
		sum.ReusedTokens += one.ReusedTokens
		sum.WastedPrefill += one.WastedPrefill
		sum.DecodeTokens += one.DecodeTokens
	}
	return sum
}
