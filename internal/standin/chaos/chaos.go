// Package chaos brings about faults at random, several at a time, and holds each
// for a while. What a fault does is up to the soak that uses it; the package
// decides which comes when, and that no two have the same target at once.
package chaos

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"filbertusher/internal/pause"
)

// Chance is one kind of fault. Hit brings it about at one of its targets, holds
// it and ends it.
type Chance struct {
	Name string
	// Target is the kind of target that the fault has to itself while it holds.
	Target string
	Weight int
	Hit    func(ctx context.Context, random *rand.Rand, at int)
}

// Plan says what may happen. Two runs of one plan draw the same faults at the
// same targets; when they hit depends on how long the ones before took.
type Plan struct {
	Seed    uint64
	Chances []Chance
	// Targets is how many targets of each kind there are.
	Targets map[string]int
	// Overlap is how many faults may hold at the same time, and Gap the mean pause
	// between the beginnings of two.
	Overlap int
	Gap     time.Duration
	// Began is told of each fault, if set.
	Began func(name string, at int)
}

// target is what one fault has to itself while it holds.
type target struct {
	sync.Mutex
	kind string
	at   int
}

// Run brings about faults until ctx ends, and waits until the last one is over.
func Run(ctx context.Context, plan *Plan) {
	random := rand.New(rand.NewPCG(plan.Seed, 1<<32))
	targets := plan.targets()
	room := make(chan struct{}, plan.Overlap)
	var group sync.WaitGroup
	defer group.Wait()
	for ctx.Err() == nil {
		pause.For(ctx, time.Duration(random.Int64N(int64(2*plan.Gap))))
		select {
		case room <- struct{}{}:
		case <-ctx.Done():
			return
		}
		one := plan.pick(random)
		own := free(random, targets, one.Target)
		if own == nil {
			<-room
			continue
		}
		// Each fault draws from a source of its own, so that its length does
		// not depend on how the others ended.
		source := rand.New(rand.NewPCG(random.Uint64(), 0))
		if plan.Began != nil {
			plan.Began(one.Name, own.at)
		}
		group.Go(func() {
			one.Hit(ctx, source, own.at)
			own.Unlock()
			<-room
		})
	}
}

// targets returns the targets in the order in which the chances first name their
// kinds, so that a seed draws the same ones in each run.
func (p *Plan) targets() []*target {
	var targets []*target
	listed := make(map[string]bool)
	for _, one := range p.Chances {
		if listed[one.Target] {
			continue
		}
		listed[one.Target] = true
		for at := range p.Targets[one.Target] {
			targets = append(targets, &target{kind: one.Target, at: at})
		}
	}
	return targets
}

func (p *Plan) pick(random *rand.Rand) Chance {
	total := 0
	for _, one := range p.Chances {
		total += one.Weight
	}
	left := random.IntN(total)
	for _, one := range p.Chances {
		if left -= one.Weight; left < 0 {
			return one
		}
	}
	return p.Chances[0]
}

// free locks a target of the kind that no other fault has.
func free(random *rand.Rand, targets []*target, kind string) *target {
	start := random.IntN(len(targets))
	for i := range targets {
		one := targets[(start+i)%len(targets)]
		if one.kind == kind && one.TryLock() {
			return one
		}
	}
	return nil
}

// Between returns a duration from least to most.
func Between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}
