package configsync

import (
	"context"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"filbertusher/internal/config"
	"filbertusher/internal/pause"
)

// A large configuration dominates the memory that a process uses for
// coordination. Building or serving it produces garbage of several times its
// size. With the default garbage collector settings the heap would grow to
// twice that before a collection, which exceeds the memory budget of an instance.
// With a large configuration the collector therefore runs more often, and after
// a large operation the freed memory is returned to the operating system. Small
// configurations keep the default, which costs less processor time on the
// request path.
const (
	// largeConfigWorkspaces is the number of workspaces above which a
	// configuration counts as large.
	largeConfigWorkspaces = 5000
	// largeConfigGCPercent is the GOGC value for a large configuration: the
	// heap growth in percent that triggers a collection.
	largeConfigGCPercent = 40
	// trimInterval is the time without a new large operation after which
	// memory is returned to the operating system.
	trimInterval = 3 * time.Second
)

// memoryTuner tunes the garbage collector and returns memory to the operating
// system after large operations.
type memoryTuner struct {
	// largeOperations counts installed large configurations and served pages.
	largeOperations atomic.Int64
	gcTuned         atomic.Bool
}

// tuneGC sets the garbage collector for a large configuration. It has no effect
// on a small one and does not override GOGC.
func (m *memoryTuner) tuneGC(snapshot *config.Snapshot) {
	if len(snapshot.Workspaces) <= largeConfigWorkspaces {
		return
	}
	m.largeOperations.Add(1)
	if os.Getenv("GOGC") == "" && m.gcTuned.CompareAndSwap(false, true) {
		debug.SetGCPercent(largeConfigGCPercent)
	}
}

// run returns memory to the operating system after large operations, until ctx
// ends.
func (m *memoryTuner) run(ctx context.Context) error {
	var trimmed, previous int64
	for ctx.Err() == nil {
		pause.For(ctx, trimInterval)
		operations := m.largeOperations.Load()
		if operations == previous && operations != trimmed {
			debug.FreeOSMemory()
			trimmed = operations
		}
		previous = operations
	}
	return nil
}
