package command

import (
	"runtime"
	"runtime/debug"

	"filbertusher/internal/settings"
)

const (
	maxProcessors = 1024
	// defaultMemoryLimit in MiB is about what ten thousand waiting requests need.
	defaultMemoryLimit = 256
	// garbagePercent is how much memory may be allocated between two
	// collections, relative to what is in use.
	garbagePercent = 200
	mebibyte       = 1 << 20
)

// tuning is the settings of the Go runtime in a process on the path of
// requests. Few processors make the many short wake-ups of streams cheaper,
// because fewer threads look for work.
type tuning struct {
	processors  int
	memoryLimit int
}

func (t *tuning) declareTuning(set *settings.Set, processors int) {
	set.Int(&t.processors, "processors", processors, 1, maxProcessors, "how many threads run at once at most")
	set.Int(&t.memoryLimit, "memory-limit", defaultMemoryLimit, 16, 1<<20, "the memory above which garbage is collected more eagerly, in MiB")
}

func (t *tuning) tune() {
	runtime.GOMAXPROCS(min(t.processors, runtime.NumCPU()))
	debug.SetGCPercent(garbagePercent)
	debug.SetMemoryLimit(int64(t.memoryLimit) * mebibyte)
}
