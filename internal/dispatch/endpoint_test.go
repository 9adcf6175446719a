package dispatch

import (
	"math"
	"testing"
	"time"

	"filbertusher/pkg/usher"
)

// Failures that have been forgotten stay so when the endpoint's speed is measured anew.
func TestFailuresAreForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newTestScheduler(func() time.Time { return now }, ServiceSpec{Engine: true, Slots: 4}, "a")
	request := func() *Request {
		return &Request{Service: "s", Arrived: now, Target: now.Add(time.Second), Deadline: now.Add(time.Minute)}
	}
	for range 10 {
		s.TryAdmit(request()).End(Failed)
	}
	e := s.services["s"].endpoints["a"]
	if rate := e.currentFailureRate(now); rate < 0.8 {
		t.Fatalf("the failure rate is %.2f after ten failures", rate)
	}
	now = now.Add(30 * time.Second)
	grant := s.TryAdmit(request())
	now = now.Add(50 * time.Millisecond)
	grant.FirstEvent()
	grant.End(Answered)
	if rate := e.currentFailureRate(now); rate > 0.01 {
		t.Errorf("the failure rate is %.2f again, half a minute after the last failure", rate)
	}
}

// An instance that takes the place of another one does not take its share of the slots.
func TestNewMemberHasItsOwnShare(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(Options{Self: "g1", Now: func() time.Time { return now }})
	s.SetMembers([]string{"g1", "g2"})
	s.SetEndpoints("s", ServiceSpec{Engine: true, Slots: 40}, []usher.Registration{{Name: "a", Service: "s", Slots: 40}})
	busy := Report{Demand: map[usher.ServiceName]Demand{"s": {0: 1000}}}
	for range 50 {
		now = now.Add(shareUpdateInterval)
		s.ApplyReport("g2", busy)
	}
	e := s.services["s"].endpoints["a"]
	if e.guaranteed > 4 {
		t.Fatalf("%d of 40 slots are guaranteed beside an instance with all the demand", e.guaranteed)
	}
	s.SetMembers([]string{"g1", "g3"})
	if e.guaranteed != 20 {
		t.Errorf("%d of 40 slots are guaranteed beside an instance without demand, want 20", e.guaranteed)
	}
}

// The time to first event without an endpoint was negative on some processors.
func TestNoEndpointHasNoTimeToFirstEvent(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newTestScheduler(func() time.Time { return now }, ServiceSpec{Engine: true, Slots: 1}, "a")
	request := newRequest("1")
	request.Tried = []usher.EndpointName{"a"}
	if got := s.minTimeToFirstEvent(s.service("s"), request, now); got != math.MaxInt64 {
		t.Errorf("got %v", got)
	}
}
