package dispatch

import (
	"context"
	"testing"
	"time"
)

// One very slow answer made a stopping instance refuse all requests of its route from the signal
// on, although a hundred others have taken 30 ms each since then.
func TestOneSlowAnswerDoesNotRefuseItsRouteInAStop(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newTestScheduler(func() time.Time { return now }, ServiceSpec{Slots: 4}, "a")
	answer := func(took time.Duration) {
		t.Helper()
		grant, err := s.Admit(context.Background(), requestUntil(now, 15*time.Second))
		if err != nil {
			t.Fatal(err)
		}
		now = now.Add(took)
		grant.End(Answered)
		now = now.Add(time.Second)
	}
	for range 100 {
		answer(30 * time.Millisecond)
	}
	answer(14 * time.Second)
	for range 100 {
		answer(30 * time.Millisecond)
	}
	s.StopAt(now.Add(7600 * time.Millisecond))
	request := requestUntil(now, 15*time.Second)
	if grant, err := s.Admit(context.Background(), request); err != nil {
		t.Errorf("refused 7.6 s before the end: %v; expected to take %v", err, s.service("s").expectedDuration(request))
	} else {
		grant.End(Answered)
	}
}
