package suspect

import (
	"context"
	"sync"
)

// Gate lets suspects into an endpoint alone. Others wait while a suspect waits
// or runs, because it would never be alone otherwise.
type Gate struct {
	mu      sync.Mutex
	inside  int
	alone   bool
	waiting int
	changed chan struct{}
}

// NewGate returns an open gate.
func NewGate() *Gate { return &Gate{changed: make(chan struct{})} }

// Enter waits until the request may run, alone if asked for. false means that
// ctx ended first. After true, Leave has to be called with the same alone.
func (g *Gate) Enter(ctx context.Context, alone bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if alone {
		g.waiting++
		defer func() { g.waiting-- }()
	}
	for !g.open(alone) {
		changed := g.changed
		g.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		g.mu.Lock()
		if ctx.Err() != nil {
			// The others may have waited only for this suspect.
			g.notify()
			return false
		}
	}
	g.inside++
	g.alone = alone
	return true
}

func (g *Gate) open(alone bool) bool {
	if alone {
		return g.inside == 0
	}
	return !g.alone && g.waiting == 0
}

// Leave ends what Enter began.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inside--
	if g.inside == 0 {
		g.alone = false
	}
	g.notify()
}

func (g *Gate) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}
