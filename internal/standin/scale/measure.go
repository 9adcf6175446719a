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

// Cost is what one process spends, as the mean over the fleet and the most of
// any process, and what the store is called by all of them.
type Cost struct {
	Seconds float64 `json:"seconds"`
	// CorePercent is processor time in percent of one core.
	CorePercent    float64 `json:"corePercent"`
	CorePercentMax float64 `json:"corePercentMax"`
	// BytesPerSecond is the data of messages between processes, both ways.
	BytesPerSecond    float64 `json:"bytesPerSecond"`
	BytesPerSecondMax float64 `json:"bytesPerSecondMax"`
	// StoreCallsPerSecond counts reads, writes and watches of the whole fleet.
	StoreCallsPerSecond float64 `json:"storeCallsPerSecond"`
	StoreBytesPerSecond float64 `json:"storeBytesPerSecond"`
	// WatchesWaiting is how many watches wait at the store.
	WatchesWaiting int64 `json:"watchesWaiting"`
}

// Delays are in milliseconds.
type Delays struct {
	Median float64 `json:"median"`
	P95    float64 `json:"p95"`
	Max    float64 `json:"max"`
}

// Memory is resident memory in MiB; Anonymous leaves out the program's own
// pages, which all processes of a machine share.
type Memory struct {
	Mean         float64 `json:"mean"`
	Max          float64 `json:"max"`
	AnonymousMax float64 `json:"anonymousMax"`
}

// sample is the counters of one process.
type sample struct {
	ticks int64
	bytes int64
}

// meter remembers the counters at the begin of a measurement.
type meter struct {
	runner  *runner
	started time.Time
	samples []sample
	calls   store.Counts
}

func (r *runner) meter(ctx context.Context) (*meter, error) {
	calls, err := r.calls(ctx)
	return &meter{runner: r, started: time.Now(), samples: r.samples(ctx), calls: calls}, err
}

func (r *runner) samples(ctx context.Context) []sample {
	samples := make([]sample, len(r.nodes))
	for i, node := range r.nodes {
		samples[i] = sample{ticks: processorTicks(node.PID()), bytes: linkBytes(ctx, node)}
	}
	return samples
}

// ticksPerSecond is the unit of processor time in /proc.
const ticksPerSecond = 100

func (m *meter) read(ctx context.Context) (Cost, error) {
	after := m.runner.samples(ctx)
	calls, err := m.runner.calls(ctx)
	seconds := time.Since(m.started).Seconds()
	cost := Cost{Seconds: seconds, WatchesWaiting: calls.Waiting}
	for i := range after {
		core := float64(after[i].ticks-m.samples[i].ticks) / ticksPerSecond / seconds * 100
		bytes := float64(after[i].bytes-m.samples[i].bytes) / seconds
		cost.CorePercent += core / float64(len(after))
		cost.BytesPerSecond += bytes / float64(len(after))
		cost.CorePercentMax = max(cost.CorePercentMax, core)
		cost.BytesPerSecondMax = max(cost.BytesPerSecondMax, bytes)
	}
	cost.StoreCallsPerSecond = float64(total(calls)-total(m.calls)) / seconds
	cost.StoreBytesPerSecond = float64(calls.ReadOut-m.calls.ReadOut) / seconds
	return cost, err
}

// calls returns the store's counters.
func (r *runner) calls(ctx context.Context) (store.Counts, error) {
	var counts store.Counts
	err := r.fleet.Store.Inspect(ctx, "counts", &counts)
	return counts, err
}

func total(counts store.Counts) int64 { return counts.Reads + counts.Writes + counts.Watches }

// processorTicks returns the processor time that a process has used.
func processorTicks(pid int) int64 {
	content, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return 0
	}
	// The fields after the program's name, which may hold spaces.
	_, rest, _ := strings.Cut(string(content), ") ")
	fields := strings.Fields(rest)
	const user, system = 11, 12
	if len(fields) <= system {
		return 0
	}
	a, _ := strconv.ParseInt(fields[user], 10, 64)
	b, _ := strconv.ParseInt(fields[system], 10, 64)
	return a + b
}

// linkBytes returns what a process has sent and received on its links.
func linkBytes(ctx context.Context, node *fleet.Member) int64 {
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

func (r *runner) memory() Memory {
	var memory Memory
	for _, node := range r.nodes {
		resident, anonymous := residentMiB(node.PID())
		memory.Mean += resident / float64(len(r.nodes))
		memory.Max = max(memory.Max, resident)
		memory.AnonymousMax = max(memory.AnonymousMax, anonymous)
	}
	return memory
}

// residentMiB returns the resident memory of a process, and its own part.
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

// delays waits until the last version is in force in every process and returns
// how long each version took to the last one. A process that goes from an older
// version to a newer one at once has all between in force with it.
func (r *runner) delays(ctx context.Context, accepted []acceptance) (Delays, error) {
	sort.Slice(accepted, func(i, j int) bool { return accepted[i].version < accepted[j].version })
	newest := accepted[len(accepted)-1].version
	last := make([]time.Time, len(accepted))
	for _, node := range r.nodes {
		if err := awaitVersion(ctx, node, newest); err != nil {
			return Delays{}, err
		}
		taken := inForceTimes(node)
		at := 0
		for i, one := range accepted {
			for at < len(taken) && taken[at].version < one.version {
				at++
			}
			if at < len(taken) && taken[at].at.After(last[i]) {
				last[i] = taken[at].at
			}
		}
	}
	milliseconds := make([]float64, len(accepted))
	for i, one := range accepted {
		milliseconds[i] = math.Max(0, float64(last[i].Sub(one.at))/float64(time.Millisecond))
	}
	sort.Float64s(milliseconds)
	return Delays{Median: quantile(milliseconds, 0.5), P95: quantile(milliseconds, 0.95), Max: milliseconds[len(milliseconds)-1]}, nil
}

func quantile(ordered []float64, q float64) float64 {
	return ordered[int(q*float64(len(ordered)-1))]
}
