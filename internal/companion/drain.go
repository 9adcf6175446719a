package companion

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// drainLinger is how long a drained companion goes on to refuse requests before
	// it exits. Entries that have not yet learned that the endpoint is leaving get
	// the outcome "not run" from it and try elsewhere; from a closed port they could
	// only learn that the outcome is unknown.
	drainLinger = 2 * time.Second
	// maxReportedRequests bounds how many requests are logged when a drain times
	// out.
	maxReportedRequests = 100
)

// drain counts the requests in flight, so that a planned shutdown can wait until
// they have ended. idle is closed and replaced when, while draining, none is left.
type drain struct {
	mu       sync.Mutex
	inFlight int
	draining bool
	// began is when draining started, and running how many requests were in flight then.
	// handedBack counts those of them that were queued, and refused later requests.
	began               time.Time
	running             int
	handedBack, refused int
	idle                chan struct{}
	// started is closed when draining starts. Requests that are still queued are
	// then returned to the entries.
	started chan struct{}
}

func newDrain() *drain { return &drain{idle: make(chan struct{}), started: make(chan struct{})} }

func (d *drain) isDraining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.draining
}

// startedSignal returns a channel that is closed when draining starts.
func (d *drain) startedSignal() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.started
}

// add counts a request, unless the companion is draining. The check and the
// increment are one critical section, so that no request is added after the last
// one was seen to end.
func (d *drain) add() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		d.refused++
		return false
	}
	d.inFlight++
	return true
}

func (d *drain) done() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
	if d.draining && d.inFlight == 0 {
		close(d.idle)
		d.idle = make(chan struct{})
	}
}

// start refuses new requests from now on and returns a channel that is closed when
// no request is in flight.
func (d *drain) start() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.draining {
		d.draining = true
		d.began, d.running, d.handedBack, d.refused = time.Now(), d.inFlight, 0, 0
		close(d.started)
	}
	idle := d.idle
	if d.inFlight == 0 {
		close(idle)
		d.idle = make(chan struct{})
	}
	return idle
}

// cancel accepts requests again after an announced departure was cancelled.
func (d *drain) cancel() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		d.draining = false
		d.started = make(chan struct{})
	}
}

// handBack counts a queued request that is returned to its entry.
func (d *drain) handBack() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.handedBack++
}

// log writes what became of the requests since draining started.
func (d *drain) log(log zerolog.Logger) {
	d.mu.Lock()
	defer d.mu.Unlock()
	log.Info().Int("running", d.running).Int("handedBack", d.handedBack).Int("refused", d.refused).Int("cut", d.inFlight).
		Int64("tookMs", time.Since(d.began).Milliseconds()).Msg("drained")
}

// contextUntilDrain returns a context that also ends when draining starts.
func (d *drain) contextUntilDrain(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	started := d.startedSignal()
	go func() {
		select {
		case <-started:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// WatchLeaving starts and cancels draining as the endpoint's configuration
// changes.
func (c *Companion) WatchLeaving(ctx context.Context) error {
	current := false
	for {
		changed := c.Config.Changed()
		endpoint, ok := c.Config.Current().Endpoints[c.options.Endpoint]
		if leaving := ok && endpoint.Leaving; leaving != current {
			current = leaving
			c.applyLeaving(leaving)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

func (c *Companion) applyLeaving(leaving bool) {
	c.Log.Info().Bool("leaving", leaving).Msg("leavingAnnounced")
	if leaving {
		c.drain.start()
		c.queues.interruptCollects()
		go c.releaseKeySlots(context.Background())
		return
	}
	if !c.stopping.Load() {
		c.drain.cancel()
		c.Journal.Reopen()
	}
}

// releaseKeySlots releases the key slots in the journal as soon as their requests
// have ended, so that callers with new keys need not wait for the end of this
// process.
func (c *Companion) releaseKeySlots(ctx context.Context) {
	if err := c.Journal.Release(ctx); err != nil {
		c.Log.Warn().Err(err).Msg("slotsNotReleased")
	}
}

// DrainTimeoutError is returned when the drain timed out with requests in flight.
type DrainTimeoutError struct{ Requests int }

// Error implements error.
func (e *DrainTimeoutError) Error() string {
	return "the drain timeout ended with " + strconv.Itoa(e.Requests) + " requests in flight"
}

// Drain refuses new requests, returns the queued ones, and waits until the
// requests in flight have ended and their responses were fetched. Requests that
// remain when ctx ends are logged before they are cut off.
func (c *Companion) Drain(ctx context.Context) error {
	c.stopping.Store(true)
	if end, ok := ctx.Deadline(); ok {
		c.Admission.EndWork("", time.Until(end))
	}
	idle := c.drain.start()
	defer c.drain.log(c.Log)
	c.queues.interruptCollects()
	c.releaseKeySlots(ctx)
	select {
	case <-idle:
	case <-ctx.Done():
		return c.reportUnfinished()
	}
	if err := c.queues.waitFlushed(ctx); err != nil {
		return c.reportUnfinished()
	}
	linger := time.NewTimer(drainLinger)
	defer linger.Stop()
	<-linger.C
	return nil
}

func (c *Companion) reportUnfinished() error {
	c.drain.mu.Lock()
	inFlight := c.drain.inFlight
	c.drain.mu.Unlock()
	for _, header := range c.Ledger.Unfinished(maxReportedRequests) {
		c.Log.Warn().Str("requestId", string(header.ID)).Str("workspace", string(header.Workspace)).
			Str("tier", string(header.Tier)).Bool("stream", header.Stream).Msg("drainCuts")
	}
	c.Log.Warn().Int("requests", inFlight).Msg("drainTimeout")
	return &DrainTimeoutError{Requests: inFlight}
}

// State returns the companion's part of the diagnostic dump.
func (c *Companion) State() any {
	return map[string]any{
		"endpoint":      c.options.Endpoint,
		"incarnation":   c.options.Incarnation,
		"configVersion": c.Config.Current().Version,
		"load":          c.Admission.Report(),
		"requests":      c.Ledger.Counts(),
		"reservations":  c.reservations.count(),
		"leaving":       c.drain.isDraining(),
		"journal":       c.Journal.State(),
		"fence":         c.Fence(),
	}
}
