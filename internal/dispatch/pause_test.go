package dispatch

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"filbertusher/pkg/usher"
)

// pauseFixture has two endpoints with one slot each and a clock that the test sets.
type pauseFixture struct {
	*Scheduler
	t   *testing.T
	now time.Time
}

func newPauseFixture(t *testing.T) *pauseFixture {
	f := &pauseFixture{t: t, now: time.Now()}
	f.Scheduler = newTestScheduler(func() time.Time { return f.now }, ServiceSpec{Engine: true, Slots: 1}, "a", "b")
	return f
}

func (f *pauseFixture) grant(id string) *Grant {
	f.t.Helper()
	grant := f.TryAdmit(newRequest(id))
	if grant == nil {
		f.t.Fatalf("request %s got no endpoint", id)
	}
	return grant
}

// pauseBoth makes both endpoints ask for pauses.
func (f *pauseFixture) pauseBoth(first, second time.Duration) {
	f.t.Helper()
	one, two := f.grant("p1"), f.grant("p2")
	one.Pause(first)
	two.Pause(second)
	one.End(Full)
	two.End(Full)
	f.now = f.now.Add(fullBackoff)
}

func TestPausedEndpointGetsNoRequests(t *testing.T) {
	f := newPauseFixture(t)
	paused := f.grant("1")
	paused.Pause(2 * time.Second)
	paused.Pause(time.Second)
	paused.End(Full)
	f.now = f.now.Add(1900 * time.Millisecond)
	for i := range 5 {
		grant := f.grant(fmt.Sprint("other", i))
		if grant.Endpoint.Name == paused.Endpoint.Name {
			t.Error("a paused endpoint got a request")
		}
		grant.End(Answered)
	}
	f.now = f.now.Add(100 * time.Millisecond)
	one, two := f.grant("2"), f.grant("3")
	if one.Endpoint.Name == two.Endpoint.Name {
		t.Error("the endpoint gets no requests after its pause")
	}
}

func TestPauseOutlastsRegistrationButNotIncarnation(t *testing.T) {
	f := newPauseFixture(t)
	spec := ServiceSpec{Engine: true, Slots: 1}
	registration := usher.Registration{Name: "a", Service: "s", Slots: 1, Born: 1}
	f.SetEndpoints("s", spec, []usher.Registration{registration})
	grant := f.grant("1")
	grant.Pause(10 * time.Second)
	grant.End(Cancelled)
	f.SetEndpoints("s", spec, nil)
	f.SetEndpoints("s", spec, []usher.Registration{registration})
	if f.TryAdmit(newRequest("2")) != nil {
		t.Error("the pause ended because the registration was gone for a moment")
	}
	registration.Born = 2
	f.SetEndpoints("s", spec, []usher.Registration{registration})
	f.grant("3")
}

// A late response of the incarnation before ended the pause of the present one.
func TestPauseOutlastsOneOfThePreviousIncarnation(t *testing.T) {
	f := newPauseFixture(t)
	spec := ServiceSpec{Engine: true, Slots: 1}
	registration := usher.Registration{Name: "a", Service: "s", Slots: 1, Born: 1}
	f.SetEndpoints("s", spec, []usher.Registration{registration})
	late := f.grant("1")
	registration.Born = 2
	f.SetEndpoints("s", spec, []usher.Registration{registration})
	present := f.grant("2")
	present.Pause(10 * time.Second)
	present.End(Cancelled)
	late.Pause(time.Second)
	late.End(Cancelled)
	if f.TryAdmit(newRequest("3")) != nil {
		t.Error("a paused endpoint got a request")
	}
}

// The last endpoint that is not paused leaves. What waits for it waited on to its deadline.
func TestWaitingRequestsAreRefusedWhenOnlyPausedEndpointsAreLeft(t *testing.T) {
	f := newPauseFixture(t)
	one, two := f.grant("1"), f.grant("2")
	decided := make(chan error, 1)
	go func() {
		_, err := f.Admit(t.Context(), newRequest("3"))
		decided <- err
	}()
	f.awaitQueued()
	one.Pause(time.Minute)
	f.SetEndpoints("s", ServiceSpec{Engine: true, Slots: 1}, []usher.Registration{one.Endpoint})
	f.mu.Lock()
	queued := f.service("s").queue.len()
	f.mu.Unlock()
	if queued != 0 {
		t.Fatalf("%d requests wait for an endpoint that is paused for longer", queued)
	}
	if refusal := new(usher.Refusal); !errors.As(<-decided, &refusal) || refusal.RetryAfter < 59*time.Second {
		t.Errorf("got %v", refusal)
	}
	two.End(Answered)
}

// awaitQueued waits until a request is in the queue.
func (f *pauseFixture) awaitQueued() {
	for queued := 0; queued == 0; time.Sleep(time.Millisecond) {
		f.mu.Lock()
		queued = f.service("s").queue.len()
		f.mu.Unlock()
	}
}

func TestRequestsAreRefusedWhenAllEndpointsPause(t *testing.T) {
	f := newPauseFixture(t)
	f.pauseBoth(4*time.Second, 6*time.Second)
	var earliest, latest time.Duration
	for i := range 200 {
		_, err := f.Admit(t.Context(), newRequest(fmt.Sprint(i)))
		refusal := new(usher.Refusal)
		if !errors.As(err, &refusal) || refusal.Outcome != usher.OutcomeNotRun {
			t.Fatalf("got %v, want a refusal that was not run", err)
		}
		if i == 0 || refusal.RetryAfter < earliest {
			earliest = refusal.RetryAfter
		}
		latest = max(latest, refusal.RetryAfter)
	}
	left := 4*time.Second - fullBackoff
	if earliest < left || latest > left*3/2 || latest-earliest < left/4 {
		t.Errorf("callers are told to come back after %v to %v; the first pause ends in %v", earliest, latest, left)
	}
}

func TestWaitingRequestsAreRefusedWhenLastEndpointPauses(t *testing.T) {
	f := newPauseFixture(t)
	one, two := f.grant("1"), f.grant("2")
	decided := make(chan error, 1)
	go func() {
		_, err := f.Admit(t.Context(), newRequest("3"))
		decided <- err
	}()
	f.awaitQueued()
	one.Pause(time.Minute)
	select {
	case err := <-decided:
		t.Fatalf("decided while an endpoint may still have room: %v", err)
	default:
	}
	two.Pause(time.Minute)
	if refusal := new(usher.Refusal); !errors.As(<-decided, &refusal) || refusal.RetryAfter < 59*time.Second {
		t.Errorf("got %v", refusal)
	}
}
