package scale

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"

	"filbertusher/internal/standin/fleet"
	"filbertusher/internal/standin/store"
)

// Cost is the resource use during a measurement of Seconds seconds: per process, as
// the mean and the maximum over the fleet, and at the store, for the whole fleet.
type Cost struct {
	Seconds float64 `json:"seconds"`
	// CorePercent is the mean CPU time per process, in percent of one core.
	CorePercent    float64 `json:"corePercent"`
	CorePercentMax float64 `json:"corePercentMax"`
	// BytesPerSecond is the mean rate of RPC bytes that a process sends and
	// receives.
	BytesPerSecond    float64 `json:"bytesPerSecond"`
	BytesPerSecondMax float64 `json:"bytesPerSecondMax"`
	// StoreCallsPerSecond counts the reads, writes and watches of the whole fleet.
	StoreCallsPerSecond float64 `json:"storeCallsPerSecond"`
	StoreBytesPerSecond float64 `json:"storeBytesPerSecond"`
	// WatchesWaiting is the number of watches that are open at the store at the
	// end of the measurement.
	WatchesWaiting int64 `json:"watchesWaiting"`
}

// DelayStats summarizes propagation delays, in milliseconds.
type DelayStats struct {
	Median float64 `json:"median"`
	P95    float64 `json:"p95"`
	Max    float64 `json:"max"`
}

// MemoryStats is the resident memory per process, in MiB. AnonymousMax leaves out the
// pages of the executable, which all processes on a machine share.
type MemoryStats struct {
	Mean         float64 `json:"mean"`
	Max          float64 `json:"max"`
	AnonymousMax float64 `json:"anonymousMax"`
}

// processCounters holds the cumulative counters of one process: its CPU time in
// clock ticks and its RPC bytes.
type processCounters struct {
	ticks int64
	bytes int64
}

// meter holds the counters at the start of a measurement.
type meter struct {
	runner      *runner
	started     time.Time
	counters    []processCounters
	storeCounts store.Counts
}

func (r *runner) startMeter(ctx context.Context) (*meter, error) {
	storeCounts, err := r.storeCounts(ctx)
	return &meter{runner: r, started: time.Now(), counters: r.readCounters(ctx), storeCounts: storeCounts}, err
}

func (r *runner) readCounters(ctx context.Context) []processCounters {
	counters := make([]processCounters, len(r.nodes))
	for i, node := range r.nodes {
		counters[i] = processCounters{ticks: cpuTicks(node.PID()), bytes: rpcBytes(ctx, node)}
	}
	return counters
}

// ticksPerSecond is the number of clock ticks per second in the CPU times of
// /proc.
const ticksPerSecond = 100

func (m *meter) cost(ctx context.Context) (Cost, error) {
	after := m.runner.readCounters(ctx)
	storeCounts, err := m.runner.storeCounts(ctx)
	seconds := time.Since(m.started).Seconds()
	cost := Cost{Seconds: seconds, WatchesWaiting: storeCounts.Waiting}
	for i := range after {
		core := float64(after[i].ticks-m.counters[i].ticks) / ticksPerSecond / seconds * 100
		bytes := float64(after[i].bytes-m.counters[i].bytes) / seconds
		cost.CorePercent += core / float64(len(after))
		cost.BytesPerSecond += bytes / float64(len(after))
		cost.CorePercentMax = max(cost.CorePercentMax, core)
		cost.BytesPerSecondMax = max(cost.BytesPerSecondMax, bytes)
	}
	cost.StoreCallsPerSecond = float64(totalCalls(storeCounts)-totalCalls(m.storeCounts)) / seconds
	cost.StoreBytesPerSecond = float64(storeCounts.ReadBytesOut-m.storeCounts.ReadBytesOut) / seconds
	return cost, err
}

// storeCounts returns the store's counters.
func (r *runner) storeCounts(ctx context.Context) (store.Counts, error) {
	var counts store.Counts
	err := r.fleet.Store.GetControl(ctx, "counts", &counts)
	return counts, err
}

func totalCalls(counts store.Counts) int64 { return counts.Reads + counts.Writes + counts.Watches }

// cpuTicks returns the CPU time that a process has used, in clock ticks.
func cpuTicks(pid int) int64 {
	content, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return 0
	}
	// Skip the program's name, which may contain spaces. The indexes of the fields
	// below are counted from 0 at the field after it.
	_, rest, _ := strings.Cut(string(content), ") ")
	fields := strings.Fields(rest)
	const user, system = 11, 12
	if len(fields) <= system {
		return 0
	}
	userTicks, _ := strconv.ParseInt(fields[user], 10, 64)
	systemTicks, _ := strconv.ParseInt(fields[system], 10, 64)
	return userTicks + systemTicks
}

// rpcBytes returns the RPC bytes that a process has sent and received.
func rpcBytes(ctx context.Context, node *fleet.Member) int64 {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node.Admin+"/debug/vars", nil)
	if err != nil {
		return 0
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	var vars struct {
		Link struct {
			BytesIn  int64 `json:"bytesIn"`
			BytesOut int64 `json:"bytesOut"`
		} `json:"link"`
	}
	if err := json.NewDecoder(response.Body).Decode(&vars); err != nil {
		return 0
	}
	return vars.Link.BytesIn + vars.Link.BytesOut
}

func (r *runner) measureMemory() MemoryStats {
	var memory MemoryStats
	for _, node := range r.nodes {
		resident, anonymous := residentMiB(node.PID())
		memory.Mean += resident / float64(len(r.nodes))
		memory.Max = max(memory.Max, resident)
		memory.AnonymousMax = max(memory.AnonymousMax, anonymous)
	}
	return memory
}

// residentMiB returns the resident memory of a process, and the anonymous part of
// it.
func residentMiB(pid int) (resident, anonymous float64) {
	content, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0, 0
	}
	const kibPerMiB = 1024
	for _, line := range strings.Split(string(content), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		value, _ := strconv.ParseFloat(fields[1], 64)
		switch fields[0] {
		case "VmRSS:":
			resident = value / kibPerMiB
		case "RssAnon:":
			anonymous = value / kibPerMiB
		}
	}
	return resident, anonymous
}

// measureDelays waits until every process has activated the last version and
// returns how long each version took to become active on the last process. A
// process that skips versions activates all skipped ones together with the newer
// version.
func (r *runner) measureDelays(ctx context.Context, accepted []versionTime) (DelayStats, error) {
	sort.Slice(accepted, func(i, j int) bool { return accepted[i].version < accepted[j].version })
	newest := accepted[len(accepted)-1].version
	last := make([]time.Time, len(accepted))
	for _, node := range r.nodes {
		if err := awaitActivation(ctx, node, newest); err != nil {
			return DelayStats{}, err
		}
		activations := activationTimes(node)
		next := 0
		for i, change := range accepted {
			for next < len(activations) && activations[next].version < change.version {
				next++
			}
			if next < len(activations) && activations[next].at.After(last[i]) {
				last[i] = activations[next].at
			}
		}
	}
	delaysMS := make([]float64, len(accepted))
	for i, change := range accepted {
		delaysMS[i] = math.Max(0, float64(last[i].Sub(change.at))/float64(time.Millisecond))
	}
	sort.Float64s(delaysMS)
	return DelayStats{Median: quantile(delaysMS, 0.5), P95: quantile(delaysMS, 0.95), Max: delaysMS[len(delaysMS)-1]}, nil
}

func quantile(ordered []float64, q float64) float64 {
	return ordered[int(q*float64(len(ordered)-1))]
}
