package dispatch

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"filbertusher/pkg/usher"
)

// TestNamedLimitsAreKept overloads engines of which most name a limit for a while, below
// one request per second at some. From three seconds after the first naming, an engine
// gets at most half more than its limit and five requests in any four seconds. It gets
// most of its limit, and its part of the load again afterwards.
func TestNamedLimitsAreKept(t *testing.T) {
	for _, instances := range []int{1, 4, 33} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			t.Parallel()
			limits := []float64{0, 0.4, 1.2, 6.8, 20}
			s := newSimulation(7, instances, 1, 1, 1, 1, 1, 1, 1, 1)
			begin := s.now
			named, lifted := begin.Add(5*time.Second), begin.Add(25*time.Second)
			for i, limit := range limits {
				s.engines[i].limit = func(now time.Time) *float64 {
					if now.Before(named) || now.After(lifted) {
						return nil
					}
					return &limit
				}
			}
			weights := make([]float64, instances)
			for i := range weights {
				weights[i] = 1 + float64(i%5)
			}
			s.run(35*time.Second, 1.5, weights, exampleClasses())

			const window = 4 * time.Second
			between := func(engine int, from, to time.Time) int {
				n := 0
				for _, at := range s.engines[engine].arrivals {
					if at.After(from) && at.Before(to) {
						n++
					}
				}
				return n
			}
			// The means of the engines without a limit. An engine can't use a limit that is
			// above what it gets without one.
			unlimited, unlimitedAfter := 0, 0
			for i := len(limits); i < len(s.engines); i++ {
				unlimited += between(i, named.Add(3*time.Second), lifted) / (len(s.engines) - len(limits))
				unlimitedAfter += between(i, lifted.Add(5*time.Second), lifted.Add(10*time.Second)) / (len(s.engines) - len(limits))
			}
			for i, limit := range limits {
				most := 0
				for at := named.Add(3 * time.Second); at.Before(lifted.Add(-window)); at = at.Add(50 * time.Millisecond) {
					most = max(most, between(i, at, at.Add(window)))
				}
				if float64(most) > 1.5*limit*window.Seconds()+5 {
					t.Errorf("an engine with a limit of %v a second got %d requests in %v", limit, most, window)
				}
				used := between(i, named.Add(3*time.Second), lifted)
				if want := 0.6 * min(limit*17, float64(unlimited)); float64(used) < want {
					t.Errorf("an engine with a limit of %v a second got %d requests in 17 s, want at least %.0f", limit, used, want)
				}
				after := between(i, lifted.Add(5*time.Second), lifted.Add(10*time.Second))
				t.Logf("limit %v: at most %d in 4 s, %d in 17 s, %d in 5 s after it; unlimited engines: %d in 17 s, %d in 5 s after it", limit, most, used, after, unlimited, unlimitedAfter)
				if 3*after < unlimitedAfter {
					t.Errorf("an engine that has stopped to name a limit of %v got %d requests in 5 s, one without a limit %d", limit, after, unlimitedAfter)
				}
			}
		})
	}
}

// TestLimitHolders checks that the parts of a limit add up to it and that few instances
// hold it.
func TestLimitHolders(t *testing.T) {
	members := make([]string, 33)
	shares := make([]float64, len(members))
	for i := range members {
		members[i] = fmt.Sprint("g", i)
		shares[i] = float64(1+i%4) / 100
	}
	order := roundingOrder(members, "e1")
	for _, perSecond := range []float64{0.25, 1.2, 6.8, 1e9} {
		sum, holders := 0.0, 0
		for self := range members {
			share := limitShare(shares, order, self, perSecond)
			sum += share
			if share > 0 {
				holders++
			}
		}
		if math.Abs(sum-1) > 1e-9 || holders > baseHolders+int(perSecond) {
			t.Errorf("a limit of %v a second has %d holders, whose parts add up to %v", perSecond, holders, sum)
		}
	}
}

// TestNewerLimitWins merges reports about a limit out of order.
func TestNewerLimitWins(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(Options{Self: "g1", Now: func() time.Time { return now }})
	s.SetMembers([]string{"g1", "g2"})
	s.SetEndpoints("s", ServiceSpec{Engine: true, Slots: 4}, []usher.Registration{{Name: "e", Born: 2, Service: "s"}})
	reported := func() NamedLimit { return s.Report().Limits["e"] }
	for _, step := range []struct {
		report NamedLimit
		want   NamedLimit
	}{
		{NamedLimit{Born: 1, Named: true, PerSecond: 3, Age: time.Second}, NamedLimit{}},
		{NamedLimit{Born: 2, Named: true, PerSecond: 3, Age: 4 * time.Second}, NamedLimit{Born: 2, Named: true, PerSecond: 3, Age: 4 * time.Second}},
		{NamedLimit{Born: 2, Age: 2 * time.Second}, NamedLimit{Born: 2, PerSecond: 3, Age: 2 * time.Second}},
		{NamedLimit{Born: 2, Named: true, PerSecond: 5, Age: 3 * time.Second}, NamedLimit{Born: 2, PerSecond: 3, Age: 2 * time.Second}},
		{NamedLimit{Born: 2, Named: true, PerSecond: 5, Age: time.Second}, NamedLimit{Born: 2, Named: true, PerSecond: 5, Age: time.Second}},
	} {
		s.ApplyReport("g2", Report{Limits: map[usher.EndpointName]NamedLimit{"e": step.report, "unknown": step.report}})
		if got := reported(); got != step.want {
			t.Errorf("after %+v: %+v, want %+v", step.report, got, step.want)
		}
	}
	if got := slices.Collect(maps.Keys(s.Report().Limits)); !slices.Equal(got, []usher.EndpointName{"e"}) {
		t.Errorf("the report names %v", got)
	}
}
