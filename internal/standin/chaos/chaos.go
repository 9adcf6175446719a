// Package chaos injects faults at random, several at a time. The soak test that
// uses it implements the faults; the package chooses the fault, the target and
// the time, and ensures that no target has two faults at once.
package chaos

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"filbertusher/internal/pause"
)

// Fault is one kind of fault. Weight is its relative probability. Inject applies
// it to the target with the given index, waits for a while, and ends it.
type Fault struct {
	Name string
	// Target is the kind of target. A target has at most one fault at a time.
	Target string
	Weight int
	Inject func(ctx context.Context, random *rand.Rand, index int)
}

// Plan configures a run. Two runs with the same seed draw the same faults and
// targets as long as the same targets are free at each draw; when a fault is
// injected depends on how long the earlier ones took.
type Plan struct {
	Seed   uint64
	Faults []Fault
	// Targets is the number of targets by kind.
	Targets map[string]int
	// MaxConcurrent is the maximum number of concurrent faults, and MeanPause the mean
	// pause before the next fault is started.
	MaxConcurrent int
	MeanPause     time.Duration
	// OnStart, if set, is called at the start of each fault.
	OnStart func(name string, index int)
}

// target is a target of faults. Its mutex is held while a fault is active.
type target struct {
	sync.Mutex
	kind  string
	index int
}

// Run injects faults until ctx is done, and waits for the active ones to end.
func Run(ctx context.Context, plan *Plan) {
	random := rand.New(rand.NewPCG(plan.Seed, 1<<32))
	targets := plan.targets()
	slots := make(chan struct{}, plan.MaxConcurrent)
	var group sync.WaitGroup
	defer group.Wait()
	for ctx.Err() == nil {
		pause.For(ctx, time.Duration(random.Int64N(int64(2*plan.MeanPause))))
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		fault := plan.pick(random)
		target := lockTarget(random, targets, fault.Target)
		if target == nil {
			<-slots
			continue
		}
		// Each fault has its own random source, so that the numbers it draws do
		// not depend on concurrent faults.
		source := rand.New(rand.NewPCG(random.Uint64(), 0))
		if plan.OnStart != nil {
			plan.OnStart(fault.Name, target.index)
		}
		group.Go(func() {
			fault.Inject(ctx, source, target.index)
			target.Unlock()
			<-slots
		})
	}
}

// targets returns all targets, grouped by kind in the order in which Faults first
// refer to the kinds, so that a seed selects the same targets in each run.
func (p *Plan) targets() []*target {
	var targets []*target
	seen := make(map[string]bool)
	for _, fault := range p.Faults {
		if seen[fault.Target] {
			continue
		}
		seen[fault.Target] = true
		for index := range p.Targets[fault.Target] {
			targets = append(targets, &target{kind: fault.Target, index: index})
		}
	}
	return targets
}

func (p *Plan) pick(random *rand.Rand) Fault {
	total := 0
	for _, fault := range p.Faults {
		total += fault.Weight
	}
	remaining := random.IntN(total)
	for _, fault := range p.Faults {
		if remaining -= fault.Weight; remaining < 0 {
			return fault
		}
	}
	return p.Faults[0]
}

// lockTarget locks and returns a target of the kind without an active fault, starting
// the search at a random position. It returns nil if there is none.
func lockTarget(random *rand.Rand, targets []*target, kind string) *target {
	start := random.IntN(len(targets))
	for i := range targets {
		candidate := targets[(start+i)%len(targets)]
		if candidate.kind == kind && candidate.TryLock() {
			return candidate
		}
	}
	return nil
}

// RandomDuration returns a random duration in [least, most).
func RandomDuration(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}
