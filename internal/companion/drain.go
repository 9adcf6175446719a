package companion

import (
	"context"
	"strconv"
	"sync"
	"time"
)

const (
	// leaveLinger is how long a companion that has nothing left to do goes on
	// to refuse requests. Entries that have not heard yet that it leaves get
	// "not run" from it and try elsewhere; from a closed port they could only
	// learn that the outcome is unknown.
	leaveLinger = 2 * time.Second
	// maxReported bounds how many requests are named when a drain runs out.
	maxReported = 100
)

// drain counts the requests that were taken in, so that a planned stop can wait
// for their end.
type drain struct {
	mu      sync.Mutex
	running int
	leaving bool
	idle    chan struct{}
	// began is closed when the endpoint begins to leave. What only waits is
	// then handed back to the entries.
	began chan struct{}
}

func newDrain() *drain { return &drain{idle: make(chan struct{}), began: make(chan struct{})} }

func (d *drain) started() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leaving
}

// leave returns a channel that is closed when the endpoint begins to leave.
func (d *drain) leave() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.began
}

// begin counts a request, unless the endpoint is leaving. Both are one step, so
// that no request slips in after the last one was seen to end.
func (d *drain) begin() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leaving {
		return false
	}
	d.running++
	return true
}

func (d *drain) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running--
	if d.leaving && d.running == 0 {
		close(d.idle)
		d.idle = make(chan struct{})
	}
}

// start refuses new work from now on and returns a channel that is closed when
// nothing runs any more.
func (d *drain) start() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.leaving {
		d.leaving = true
		close(d.began)
	}
	idle := d.idle
	if d.running == 0 {
		close(idle)
		d.idle = make(chan struct{})
	}
	return idle
}

// stay takes work again after an announced departure was called off.
func (d *drain) stay() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leaving {
		d.leaving = false
		d.began = make(chan struct{})
	}
}

// untilLeaving returns a context that also ends when the endpoint begins to
// leave.
func (d *drain) untilLeaving(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	began := d.leave()
	go func() {
		select {
		case <-began:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// FollowLeaving begins and ends to leave as the endpoint's declaration says.
func (c *Companion) FollowLeaving(ctx context.Context) error {
	announced := false
	for {
		changed := c.Config.Changed()
		endpoint, ok := c.Config.Current().Endpoints[c.options.Endpoint]
		if leaving := ok && endpoint.Leaving; leaving != announced {
			announced = leaving
			c.announce(leaving)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

func (c *Companion) announce(leaving bool) {
	c.Log.Info().Bool("leaving", leaving).Msg("leavingAnnounced")
	if leaving {
		c.drain.start()
		c.outlets.wakeAll()
		go c.handOver(context.Background())
		return
	}
	if !c.stopping.Load() {
		c.drain.stay()
		c.Journal.Reopen()
	}
}

// handOver gives the slots up as soon as their requests have ended, so that
// callers with new keys need not wait for the end of this process.
func (c *Companion) handOver(ctx context.Context) {
	if err := c.Journal.Release(ctx); err != nil {
		c.Log.Warn().Err(err).Msg("slotsNotReleased")
	}
}

// DrainError is returned when a planned stop ended before the work did.
type DrainError struct{ Requests int }

// Error implements error.
func (e *DrainError) Error() string {
	return "the drain timeout ended with " + strconv.Itoa(e.Requests) + " requests in flight"
}

// Drain refuses new work, hands back what waits, and waits until the work in
// flight has ended and its answers were fetched. Requests that are still there
// at the end of ctx are reported before anything is cut.
func (c *Companion) Drain(ctx context.Context) error {
	c.stopping.Store(true)
	idle := c.drain.start()
	c.outlets.wakeAll()
	c.handOver(ctx)
	select {
	case <-idle:
	case <-ctx.Done():
		return c.reportCut()
	}
	if err := c.outlets.flushed(ctx); err != nil {
		return c.reportCut()
	}
	linger := time.NewTimer(leaveLinger)
	defer linger.Stop()
	<-linger.C
	return nil
}

func (c *Companion) reportCut() error {
	c.drain.mu.Lock()
	running := c.drain.running
	c.drain.mu.Unlock()
	for _, header := range c.Ledger.Unfinished(maxReported) {
		c.Log.Warn().Str("requestId", string(header.ID)).Str("workspace", string(header.Workspace)).
			Str("tier", string(header.Tier)).Bool("stream", header.Stream).Msg("drainCuts")
	}
	c.Log.Warn().Int("requests", running).Msg("drainTimeout")
	return &DrainError{Requests: running}
}

// State is the companion's part of the dump.
func (c *Companion) State() any {
	return map[string]any{
		"endpoint":      c.options.Endpoint,
		"incarnation":   c.options.Incarnation,
		"configVersion": c.Config.Current().Version,
		"load":          c.Admission.Report(),
		"requests":      c.Ledger.Counts(),
		"reservations":  c.reservations.count(),
		"leaving":       c.drain.started(),
		"journal":       c.Journal.State(),
		"fence":         c.Fence(),
	}
}
