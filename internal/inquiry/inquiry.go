// Package inquiry lets requests that need the same news share the calls that fetch it.
package inquiry

import (
	"context"
	"sync"
)

// Group runs inquiries for all requests that wait for one, one at a time: those that
// arrive during an inquiry share the next one, because the present one may have passed
// what they ask for. The zero Group is ready to use.
type Group struct {
	mu      sync.Mutex
	running bool
	// next is closed at the end of the next inquiry. It is nil if none is waited for.
	next chan struct{}
}

// Await waits for the end of an inquiry that begins after the call, or for the end of ctx.
// All calls of a Group pass the same function, which has to return within a bounded time.
func (g *Group) Await(ctx context.Context, inquire func()) {
	g.mu.Lock()
	if g.next == nil {
		g.next = make(chan struct{})
	}
	done := g.next
	if !g.running {
		g.running = true
		go g.run(inquire)
	}
	g.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (g *Group) run(inquire func()) {
	for {
		g.mu.Lock()
		done := g.next
		g.next = nil
		g.running = done != nil
		g.mu.Unlock()
		if done == nil {
			return
		}
		inquire()
		close(done)
	}
}
