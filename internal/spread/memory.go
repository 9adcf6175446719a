package spread

import (
	"context"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"filbertusher/internal/config"
	"filbertusher/internal/pause"
)

// A large configuration is the largest thing that a process holds for control,
// and building or serving it leaves several times its size behind for the
// garbage collector. With the collector's default a process would grow to
// twice that before it collects, past what a node may spend. So the collector
// is made to run more often when the configuration is large, and what a large
// piece of work left behind is given back to the system once it is over. Small
// configurations are left with the default, which costs the path of a request
// less processor time.
const (
	// largeWorkspaces is how many workspaces make a configuration large.
	largeWorkspaces = 5000
	// largePercent is the growth of the heap between two collections then.
	largePercent = 40
	// trimDelay is how long a process has to be done with its large work.
	trimDelay = 3 * time.Second
)

// memory gives back what large pieces of work left behind.
type memory struct {
	// worked counts large pieces of work.
	worked atomic.Int64
	large  atomic.Bool
}

// adjust makes the collector fit the size of the configuration. An operator's
// own setting of it stands.
func (m *memory) adjust(snapshot *config.Snapshot) {
	if len(snapshot.Workspaces) <= largeWorkspaces {
		return
	}
	m.worked.Add(1)
	if os.Getenv("GOGC") == "" && m.large.CompareAndSwap(false, true) {
		debug.SetGCPercent(largePercent)
	}
}

// run trims the process after large work until ctx ends.
func (m *memory) run(ctx context.Context) error {
	var trimmed, seen int64
	for ctx.Err() == nil {
		pause.For(ctx, trimDelay)
		worked := m.worked.Load()
		if worked == seen && worked != trimmed {
			debug.FreeOSMemory()
			trimmed = worked
		}
		seen = worked
	}
	return nil
}
