package companion

import (
	"context"
	"sync"
)

// drain counts the requests that were taken in, so that a planned stop can wait for
// its end.
type drain struct {
	mu      sync.Mutex
	running int
	leaving bool
	idle    chan struct{}
}

func (d *drain) started() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leaving
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
	d.leaving = true
	d.idle = make(chan struct{})
	idle := d.idle
	if d.running == 0 {
		close(idle)
		d.idle = make(chan struct{})
	}
	return idle
}

// Drain refuses new work and waits until the work in flight has ended.
func (c *Companion) Drain(ctx context.Context) error {
	select {
	case <-c.drain.start():
		return c.outlets.flushed(ctx)
	case <-ctx.Done():
		return context.Cause(ctx)
	}
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
	}
}
