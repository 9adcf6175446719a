package entry

import (
	"testing"
	"time"

	"filbertusher/internal/drain"
)

// Guards against callers that come back to the instance that refused them, because the load
// balancer has not noticed yet that it stops.
func TestRetryAfterLastsUntilStopIsNoticed(t *testing.T) {
	for _, test := range []struct{ noticedIn, atLeast, atMost time.Duration }{
		{time.Minute, time.Minute - 10*time.Second, time.Minute},
		{-time.Second, stoppingRetryAfter, stoppingRetryAfter},
	} {
		s := newStop()
		s.schedule.Store(&drain.Stop{NoticedBy: time.Now().Add(test.noticedIn)})
		if got := s.retryAfter(); got < test.atLeast || got > test.atMost {
			t.Errorf("noticed in %v: Retry-After %v", test.noticedIn, got)
		}
	}
}

// Guards against companions that are told of no stop, or of none any more at its end.
func TestTimeLeftOfStop(t *testing.T) {
	s := newStop()
	if got := s.timeLeft(); got != 0 {
		t.Errorf("before a stop: %v", got)
	}
	s.schedule.Store(&drain.Stop{EndsAt: time.Now().Add(time.Minute)})
	if got := s.timeLeft(); got <= 0 || got > time.Minute-stopReplyMargin {
		t.Errorf("during a stop: %v", got)
	}
	s.schedule.Store(&drain.Stop{EndsAt: time.Now()})
	if got := s.timeLeft(); got <= 0 {
		t.Errorf("at the end of a stop: %v", got)
	}
}
