package dispatch

import (
	"context"
	"errors"
	"testing"
	"time"

	"filbertusher/pkg/usher"
)

// stopScheduler is a scheduler with a clock of its own, whose service has one slot and whose
// earlier requests took four seconds each.
func stopScheduler(t *testing.T, spec ServiceSpec, earlier *Request) (*Scheduler, *time.Time) {
	t.Helper()
	now := time.Unix(1000, 0)
	spec.Slots = 1
	s := newTestScheduler(func() time.Time { return now }, spec, "a")
	for range 3 {
		earlier.Arrived, earlier.Target, earlier.Deadline = now, now.Add(14*time.Second), now.Add(15*time.Second)
		grant, err := s.Admit(context.Background(), earlier)
		if err != nil {
			t.Fatal(err)
		}
		now = now.Add(4 * time.Second)
		grant.End(Answered)
	}
	return s, &now
}

func requestUntil(now time.Time, wait time.Duration) *Request {
	return &Request{ID: "1", Service: "s", Route: "r", Arrived: now, Target: now.Add(14 * time.Second), Deadline: now.Add(wait)}
}

func isLeaving(err error) bool {
	refusal := new(usher.Refusal)
	return errors.As(err, &refusal) && refusal.Kind == usher.RefusalLeaving && refusal.Outcome == usher.OutcomeNotRun
}

func TestNothingIsBegunThatCantFinishBeforeStop(t *testing.T) {
	const far, near = 15 * time.Second, 3 * time.Second
	for _, test := range []struct {
		name        string
		spec        ServiceSpec
		earlier     Request
		left        time.Duration
		wait        time.Duration
		prompt      usher.Tokens
		resumable   bool
		wantRefused bool
	}{
		{name: "enough time", left: 4100 * time.Millisecond, wait: far},
		{name: "too little time", left: 3900 * time.Millisecond, wait: far, wantRefused: true},
		{name: "too little time, but a near deadline", left: 3900 * time.Millisecond, wait: near},
		{name: "a shorter prompt than earlier ones", spec: ServiceSpec{Engine: true}, earlier: Request{Prompt: 20000}, prompt: 2000, left: 2 * time.Second, wait: far},
		{name: "a longer prompt than earlier ones", spec: ServiceSpec{Engine: true}, earlier: Request{Prompt: 20000}, prompt: 60000, left: 6 * time.Second, wait: far, wantRefused: true},
		{name: "too little time, but a stream that can be taken up", spec: ServiceSpec{Engine: true}, earlier: Request{Prompt: 20000}, prompt: 20000, left: 2 * time.Second, wait: far, resumable: true},
		{name: "a stream that can be taken up, too late for its first event", spec: ServiceSpec{Engine: true}, earlier: Request{Prompt: 20000}, prompt: 20000, left: 100 * time.Millisecond, wait: far, resumable: true, wantRefused: true},
		{name: "rests of streams were answered sooner", earlier: Request{Started: true}, left: time.Second, wait: far},
	} {
		t.Run(test.name, func(t *testing.T) {
			earlier := test.earlier
			earlier.Service, earlier.Route = "s", "r"
			s, now := stopScheduler(t, test.spec, &earlier)
			s.StopAt(now.Add(test.left))
			request := requestUntil(*now, test.wait)
			request.Prompt, request.Resumable = test.prompt, test.resumable
			grant := s.TryAdmit(request)
			if (grant == nil) != test.wantRefused {
				t.Errorf("TryAdmit granted: %v, want refused: %v", grant != nil, test.wantRefused)
			}
			if grant != nil {
				grant.End(Cancelled)
			}
			_, err := s.Admit(context.Background(), request)
			if isLeaving(err) != test.wantRefused {
				t.Errorf("Admit returned %v, want refused: %v", err, test.wantRefused)
			}
		})
	}
}

// A request that waits is refused once it can't finish any more, before a slot is free for it.
func TestWaitingRequestIsRefusedOnceItCantFinish(t *testing.T) {
	s, now := stopScheduler(t, ServiceSpec{}, &Request{Service: "s", Route: "r"})
	var grants []*Grant
	for range minPlainSlots {
		grant, err := s.Admit(context.Background(), requestUntil(*now, 15*time.Second))
		if err != nil {
			t.Fatal(err)
		}
		grants = append(grants, grant)
	}
	w := &waiter{request: requestUntil(*now, 15*time.Second), decided: make(chan decision, 1)}
	s.mu.Lock()
	s.enqueue(w, *now)
	s.mu.Unlock()
	s.StopAt(now.Add(5 * time.Second))
	select {
	case d := <-w.decided:
		t.Fatalf("decided while there was time: %v", d)
	default:
	}
	*now = now.Add(1100 * time.Millisecond)
	s.mu.Lock()
	s.assignSlots(s.service("s"), *now)
	s.mu.Unlock()
	select {
	case d := <-w.decided:
		if !isLeaving(d.err()) {
			t.Errorf("got %v, want a refusal because the instance stops", d.err())
		}
	default:
		t.Error("the request still waits")
	}
	for _, grant := range grants {
		grant.End(Answered)
	}
}
