package blame_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"filbertusher/internal/blame"
	"filbertusher/pkg/usher"
)

// crashSimulation plays requests of instances that share engines, in steps of simulated
// time. An engine ends 50 ms after it has begun a request with the part "bad", loses all
// that it runs, and is back after three seconds as another one.
type crashSimulation struct {
	random  *rand.Rand
	now     time.Time
	tables  []*blame.Table
	engines []*crashEngine
	crashes []time.Time
	// badArrivals are the times at which requests with the part reached engines.
	badArrivals          []time.Time
	soundSent, soundLost int
	soundRefused         int
}

type crashEngine struct {
	run     int
	name    usher.EndpointName
	backAt  time.Time
	running []*crashRequest
}

type crashRequest struct {
	instance int
	traits   []blame.Trait
	bad      bool
	endsAt   time.Time
	attempts int
}

const crashStep = 10 * time.Millisecond

func newCrashSimulation(seed uint64, instances, engines int) *crashSimulation {
	s := &crashSimulation{random: rand.New(rand.NewPCG(seed, 2)), now: time.Unix(1000, 0)}
	for range instances {
		s.tables = append(s.tables, blame.New(func() time.Time { return s.now }, func(blame.Trait, int) {}))
	}
	for i := range engines {
		s.engines = append(s.engines, &crashEngine{name: usher.EndpointName(fmt.Sprint("e", i))})
	}
	return s
}

// play sends sound and bad requests, per second, for a duration. Each instance exchanges
// reports with all others every exchange.
func (s *crashSimulation) play(duration, exchange time.Duration, sound, bad float64) {
	exchangeSteps := int(exchange / crashStep)
	for step := range int(duration / crashStep) {
		s.now = s.now.Add(crashStep)
		s.arrive(sound, false)
		s.arrive(bad, true)
		for _, e := range s.engines {
			s.advance(e)
		}
		for i, table := range s.tables {
			if (step+i)%exchangeSteps == 0 {
				for _, peer := range s.tables {
					peer.Merge(table.Report())
				}
			}
		}
	}
}

func (s *crashSimulation) arrive(perSecond float64, bad bool) {
	for s.random.Float64() < perSecond*crashStep.Seconds()/(1+perSecond*crashStep.Seconds()) {
		parts := []usher.PromptPart{{ID: "s"}, {ID: fmt.Sprint("group", s.random.IntN(20))}}
		if bad {
			parts = append(parts, usher.PromptPart{ID: "bad"})
		}
		id := fmt.Sprint(s.random.Uint64())
		traits := append(blame.SharedParts("model", append(parts, usher.PromptPart{ID: id})), blame.WholeRequest("w", "model", usher.Digest(id)))
		request := &crashRequest{instance: s.random.IntN(len(s.tables)), traits: traits, bad: bad}
		if !bad {
			s.soundSent++
		}
		s.send(request)
	}
}

func (s *crashSimulation) send(r *crashRequest) {
	if s.tables[r.instance].Check(func() []blame.Trait { return r.traits }) != blame.Allowed {
		if !r.bad {
			s.soundRefused++
		}
		return
	}
	e := s.engines[s.random.IntN(len(s.engines))]
	if s.now.Before(e.backAt) {
		return
	}
	r.attempts++
	r.endsAt = s.now.Add(50*time.Millisecond + time.Duration(s.random.ExpFloat64()*float64(time.Second)))
	if r.bad {
		s.badArrivals = append(s.badArrivals, s.now)
		r.endsAt = s.now.Add(50 * time.Millisecond)
	}
	e.running = append(e.running, r)
}

// advance ends the requests of an engine that are due, or all if it crashes.
func (s *crashSimulation) advance(e *crashEngine) {
	var crashed bool
	left := e.running[:0]
	for _, r := range e.running {
		switch {
		case s.now.Before(r.endsAt):
			left = append(left, r)
		case r.bad:
			crashed = true
			left = append(left, r)
		default:
			s.tables[r.instance].RecordAnswer(r.traits)
		}
	}
	e.running = left
	if !crashed {
		return
	}
	key := blame.CrashOf(e.name, fmt.Sprint(e.run))
	e.run++
	e.backAt = s.now.Add(3 * time.Second)
	s.crashes = append(s.crashes, s.now)
	lost := e.running
	e.running = nil
	for _, r := range lost {
		s.tables[r.instance].RecordCrash(r.traits, key)
	}
	for _, r := range lost {
		if r.attempts < 2 {
			s.send(r)
		} else if !r.bad {
			s.soundLost++
		}
	}
}

// TestCauseIsFoundAcrossInstances plays a part that crashes engines, from the start, when
// nothing was answered yet, and later. Requests with it must stop reaching engines, and
// no request without it may be refused for long.
func TestCauseIsFoundAcrossInstances(t *testing.T) {
	for _, size := range []struct {
		instances, engines int
		exchange           time.Duration
		sound, bad         float64
	}{
		{4, 12, 100 * time.Millisecond, 100, 4},
		{33, 60, 500 * time.Millisecond, 500, 20},
	} {
		for _, quiet := range []time.Duration{0, 5 * time.Second} {
			t.Run(fmt.Sprint(size.instances, "-", quiet), func(t *testing.T) {
				for seed := range uint64(3) {
					s := newCrashSimulation(seed, size.instances, size.engines)
					s.play(quiet, size.exchange, size.sound, 0)
					s.play(10*time.Second, size.exchange, size.sound, size.bad)
					refusedBefore, sentBefore := s.soundRefused, s.soundSent
					s.play(20*time.Second, size.exchange, size.sound, size.bad)

					after := 0
					if len(s.crashes) >= 5 {
						for _, at := range s.badArrivals {
							if at.Sub(s.crashes[4]) > 3*time.Second {
								after++
							}
						}
					}
					refused, sent := s.soundRefused-refusedBefore, s.soundSent-sentBefore
					t.Logf("seed %d: %d engines crashed, %d bad requests after the bound began, %d of %d sound requests refused (%d of %d before), %d lost",
						seed, len(s.crashes), after, refused, sent, refusedBefore, sentBefore, s.soundLost)
					if after > 3 {
						t.Errorf("seed %d: %d requests with the part reached engines later than 3 s after the fifth crash, want at most 3", seed, after)
					}
					if 20*refused > sent {
						t.Errorf("seed %d: %d of %d sound requests were refused", seed, refused, sent)
					}
				}
			})
		}
	}
}
