package companion

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"filbertusher/internal/endpoint"
	"filbertusher/pkg/usher"
)

// unreachableEndpoint fails all cancellations until it is back.
type unreachableEndpoint struct {
	mu        sync.Mutex
	back      time.Time
	calls     int
	cancelled []usher.RequestID
}

func (u *unreachableEndpoint) cancel(_ context.Context, id usher.RequestID) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.calls++
	if time.Now().Before(u.back) {
		return &usher.BackendError{Operation: "cancel", Cause: errors.New("connection refused")}
	}
	u.cancelled = append(u.cancelled, id)
	return nil
}

func state(c *canceller) (kept int, running bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending), c.running
}

// Requests that were given up while the endpoint was away are cancelled soon after it is
// back, with few calls meanwhile.
func TestCancellationIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &unreachableEndpoint{back: time.Now().Add(time.Minute)}
		c := newCanceller(u.cancel, zerolog.Nop())
		var given []usher.RequestID
		for i := range 50 {
			id := usher.RequestID(fmt.Sprint("r", i))
			c.cancel(id)
			given = append(given, id)
		}
		time.Sleep(time.Minute + maxCancelRetryDelay)
		synctest.Wait()
		if diff := cmp.Diff(given, u.cancelled); diff != "" {
			t.Error("cancelled requests:", diff)
		}
		if most := len(given)*2 + 40; u.calls > most {
			t.Errorf("%d calls, want at most %d", u.calls, most)
		}
		// A later failure starts again.
		u.mu.Lock()
		u.back = time.Now().Add(time.Second)
		u.mu.Unlock()
		c.cancel("later")
		time.Sleep(4 * time.Second)
		synctest.Wait()
		if diff := cmp.Diff(append(given, "later"), u.cancelled); diff != "" {
			t.Error("cancelled requests:", diff)
		}
	})
}

// What is kept for an endpoint that does not come back is bounded in number and in time.
func TestCancellationIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &unreachableEndpoint{back: time.Now().Add(24 * time.Hour)}
		c := newCanceller(u.cancel, zerolog.Nop())
		for i := range maxPendingCancels + 10 {
			c.cancel(usher.RequestID(fmt.Sprint("r", i)))
		}
		if kept, _ := state(c); kept != maxPendingCancels {
			t.Errorf("%d cancellations are kept, want %d", kept, maxPendingCancels)
		}
		time.Sleep(cancelRetryTTL + 2*maxCancelRetryDelay)
		synctest.Wait()
		if kept, running := state(c); kept != 0 || running {
			t.Errorf("%d cancellations are kept, running %v", kept, running)
		}
	})
}

// An endpoint that has no cancellation is asked once.
func TestUnsupportedCancellationIsNotRepeated(t *testing.T) {
	calls := 0
	c := newCanceller(func(context.Context, usher.RequestID) error {
		calls++
		return &usher.BackendError{Operation: "cancel", Cause: &endpoint.UnsupportedError{Operation: "cancel"}}
	}, zerolog.Nop())
	c.cancel("r")
	if kept, running := state(c); calls != 1 || kept != 0 || running {
		t.Errorf("%d calls, %d cancellations are kept, running %v", calls, kept, running)
	}
}
