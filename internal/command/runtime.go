package command

import (
	"runtime"
	"runtime/debug"

	"filbertusher/internal/intake"
	"filbertusher/internal/settings"
)

// Bounds and defaults of the Go runtime's settings. maxProcessors is the upper bound of
// --processors, in threads.
const (
	maxProcessors = 1024
	// defaultMemoryLimitMiB is about what ten thousand waiting requests need.
	defaultMemoryLimitMiB = 256
	// gcPercent is how much memory may be allocated between two garbage
	// collections, in percent of the live heap.
	gcPercent = 200
	mebibyte  = 1 << 20
)

// runtimeSettings holds the settings of the Go runtime in processes that forward
// requests. Streams wake goroutines often and briefly; a low number of processors
// makes that cheaper, because fewer threads look for work. memoryLimit is in MiB.
type runtimeSettings struct {
	processors  int
	memoryLimit int
}

func (r *runtimeSettings) declareRuntime(set *settings.Set, processors int) {
	set.Int(&r.processors, "processors", processors, 1, maxProcessors, "the maximum number of threads that run at the same time")
	set.Int(&r.memoryLimit, "memory-limit", defaultMemoryLimitMiB, 16, 1<<20, "the memory that the process may use, in MiB; garbage is collected more often above seven tenths of it")
}

func (r *runtimeSettings) applyRuntime() {
	runtime.GOMAXPROCS(min(r.processors, runtime.NumCPU()))
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(r.memoryLimit) * mebibyte * memoryLimitFraction))
}

// clientMemory returns the budget of those who connect to the process.
func (r *runtimeSettings) clientMemory() *intake.Budget {
	return intake.NewBudget(int64(float64(r.memoryLimit) * mebibyte * clientMemoryFraction))
}
