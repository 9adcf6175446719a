package companion

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"filbertusher/internal/endpoint"
	"filbertusher/pkg/usher"
)

const (
	// cancelTimeout bounds one call that cancels a request at the endpoint.
	cancelTimeout = 2 * time.Second
	// minCancelRetryDelay is the delay before a failed call is repeated. It doubles with
	// each round that fails, up to maxCancelRetryDelay.
	minCancelRetryDelay = 100 * time.Millisecond
	maxCancelRetryDelay = 2 * time.Second
	// cancelRetryTTL is how long a cancellation is repeated.
	cancelRetryTTL = 5 * time.Minute
	// maxPendingCancels bounds the cancellations that are repeated. Without a connection
	// to the endpoint there are at most as many as it had requests.
	maxPendingCancels = 4096
)

// canceller cancels requests at the endpoint, so that it does not go on computing
// responses that nobody needs. While the endpoint can't be reached, it repeats the calls.
type canceller struct {
	cancelOnce func(context.Context, usher.RequestID) error
	log        zerolog.Logger

	mu sync.Mutex
	// pending holds the requests to cancel, in the order in which they were given up.
	pending []pendingCancel
	running bool
}

type pendingCancel struct {
	id    usher.RequestID
	since time.Time
}

func newCanceller(cancelOnce func(context.Context, usher.RequestID) error, log zerolog.Logger) *canceller {
	return &canceller{cancelOnce: cancelOnce, log: log}
}

// cancel cancels a request. It returns after the first call; if that fails, the call is
// repeated in the background.
func (c *canceller) cancel(id usher.RequestID) {
	if c.try(id) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) >= maxPendingCancels {
		c.log.Warn().Str("requestId", string(id)).Msg("cancelGivenUp")
		return
	}
	c.pending = append(c.pending, pendingCancel{id, time.Now()})
	if !c.running {
		c.running = true
		go c.repeat()
	}
}

// try calls the endpoint once. It returns false if the call has to be repeated.
func (c *canceller) try(id usher.RequestID) bool {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	err := c.cancelOnce(ctx, id)
	if err == nil {
		return true
	}
	c.log.Debug().Err(err).Str("requestId", string(id)).Msg("cancelFailed")
	var unsupported *endpoint.UnsupportedError
	return errors.As(err, &unsupported)
}

// repeat cancels the pending requests until none is left.
func (c *canceller) repeat() {
	delay := minCancelRetryDelay
	for {
		time.Sleep(delay)
		failed := c.round()
		delay = min(2*delay, maxCancelRetryDelay)
		if !failed {
			delay = minCancelRetryDelay
		}
		c.mu.Lock()
		if len(c.pending) == 0 {
			c.running = false
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
	}
}

// round cancels the pending requests in order, up to the first call that fails, and
// reports whether one did. A call that fails is most likely not the only one.
func (c *canceller) round() (failed bool) {
	for {
		c.mu.Lock()
		if len(c.pending) == 0 {
			c.mu.Unlock()
			return false
		}
		next := c.pending[0]
		c.mu.Unlock()
		expired := time.Since(next.since) > cancelRetryTTL
		if !expired && !c.try(next.id) {
			return true
		}
		if expired {
			c.log.Warn().Str("requestId", string(next.id)).Msg("cancelGivenUp")
		}
		c.mu.Lock()
		c.pending = c.pending[1:]
		c.mu.Unlock()
	}
}
