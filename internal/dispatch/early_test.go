package dispatch

import (
	"testing"
	"time"
)

// Many instances share engines with few slots, each with a queue of a few requests,
// under twice the load that the engines can serve. Most of the refused callers learn
// it within an eighth of their target.
func TestOverloadRefusesEarly(t *testing.T) {
	for seed := range uint64(3) {
		classes := []requestClass{
			{"plan", 0, 60, 6610, 380, 3800, 800 * time.Millisecond, 12 * time.Second},
			{"answer", 1, 120, 628, 290, 2900, 300 * time.Millisecond, 10 * time.Second},
			{"triage", 2, 100, 1800, 23, 225, 400 * time.Millisecond, 2500 * time.Millisecond},
		}
		slowdowns, weights := make([]float64, 30), make([]float64, 16)
		for i := range slowdowns {
			slowdowns[i] = []float64{0.55, 1, 2.8}[i%3]
		}
		for i := range weights {
			weights[i] = []float64{1, 3}[i%2]
		}
		s := newSimulationWithSlots(seed, len(weights), 8, slowdowns...)
		s.run(12*time.Second, 1.5, weights, classes)
		refused, early := 0, 0
		for _, r := range s.requests {
			if r.refusal == nil {
				continue
			}
			refused++
			if r.decided.Sub(r.arrived) <= r.class.target/8 {
				early++
			}
		}
		all, _ := s.inTimeFraction(func(*simRequest) bool { return true })
		t.Logf("seed %d: %d of %d refused early, in time %.3f: %.3f %.3f %.3f", seed, early, refused, all, s.classInTime(0, classes), s.classInTime(1, classes), s.classInTime(2, classes))
		if early*2 < refused {
			t.Errorf("seed %d: %d of %d refused callers learned it within an eighth of their target", seed, early, refused)
		}
	}
}
