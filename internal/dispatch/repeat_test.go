package dispatch

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Endpoints of the same cost were chosen in the order of a map, so that simulations with fixed
// seeds gave other figures each time.
func TestSimulationRepeats(t *testing.T) {
	play := func() (arrivals [][]time.Time) {
		s := newSimulation(1, 4, mixedSlowdowns...)
		s.run(3*time.Second, 2, []float64{3, 3, 1, 1}, exampleClasses())
		for _, e := range s.engines {
			arrivals = append(arrivals, e.arrivals)
		}
		return arrivals
	}
	first := play()
	for range 4 {
		if diff := cmp.Diff(first, play()); diff != "" {
			t.Fatalf("the same requests got other decisions: %s", diff)
		}
	}
}

// Equal endpoints share the requests, also those with the same ID.
func TestEqualEndpointsShareRequests(t *testing.T) {
	for _, ids := range []string{"distinct", "same"} {
		s := newTestScheduler(time.Now, ServiceSpec{}, "a", "b", "c", "d")
		counts := make(map[string]int)
		for i := range 400 {
			id := "x"
			if ids == "distinct" {
				id = time.Duration(i).String()
			}
			grant, err := s.Admit(t.Context(), newRequest(id))
			if err != nil {
				t.Fatal(err)
			}
			counts[string(grant.Endpoint.Name)]++
			grant.End(Cancelled)
		}
		for _, name := range []string{"a", "b", "c", "d"} {
			if counts[name] < 50 {
				t.Errorf("%s IDs: %s got %d of 400 requests", ids, name, counts[name])
			}
		}
	}
}
