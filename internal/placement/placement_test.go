package placement

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"filbertusher/internal/config"
	"filbertusher/internal/endpointset"
	_ "filbertusher/internal/standin/property"
	"filbertusher/pkg/usher"
)

// newPlacer returns a placer with the given endpoints and a manual clock, and
// the holder of its configuration.
func newPlacer(t testing.TB, endpoints []usher.Endpoint, now *time.Time) (*Placer, *config.Holder) {
	t.Helper()
	holder := config.NewHolder()
	subset := endpointset.Subset{Self: "process", Zone: "a", Size: 16, OtherZones: 2}
	holder.SetEndpointSelector(subset.Choose)
	offerSnapshot(t, holder, endpoints, 1)
	p := New(holder, "a")
	p.now = func() time.Time { return *now }
	return p, holder
}

func offerSnapshot(t testing.TB, holder *config.Holder, endpoints []usher.Endpoint, version usher.Version) {
	t.Helper()
	var objects []usher.Object
	for _, endpoint := range endpoints {
		value, err := json.Marshal(endpoint)
		if err != nil {
			t.Fatal(err)
		}
		objects = append(objects, usher.Object{Key: config.Key(config.KindEndpoint, string(endpoint.Name)), Value: value})
	}
	snapshot, err := config.Build(objects, version)
	if err != nil {
		t.Fatal(err)
	}
	if !holder.Offer(snapshot) {
		t.Fatal("the holder did not accept the snapshot")
	}
}

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		now := time.Unix(0, 0)
		var p *Placer
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "endpoints":
				var endpoints []usher.Endpoint
				for line := range strings.Lines(d.Input) {
					var name, zone string
					fmt.Sscan(line, &name, &zone)
					endpoints = append(endpoints, usher.Endpoint{
						Name: usher.EndpointName(name), Service: "s", AvailabilityZone: usher.AvailabilityZone(zone),
						Leaving: strings.Contains(line, "leaving"),
					})
				}
				p, _ = newPlacer(t, endpoints, &now)
				return ""
			case "report":
				for line := range strings.Lines(d.Input) {
					p.Observe(scanReport(t, line))
				}
				return ""
			case "advance":
				by, err := time.ParseDuration(d.CmdArgs[0].Key)
				if err != nil {
					t.Fatal(err)
				}
				now = now.Add(by)
				return ""
			}
			h := scanRequest(t, d)
			if d.Cmd == "assign" || d.Cmd == "ran" {
				endpoint := usher.EndpointName(d.CmdArgs[0].Key)
				p.Assigned(endpoint, h)
				p.Released(endpoint, h, d.Cmd == "ran")
				return ""
			}
			var out strings.Builder
			for _, c := range p.Candidates(h, nil) {
				fmt.Fprintf(&out, "%s finish=%v reused=%d\n", c.Endpoint, c.Finish, c.Reused)
			}
			return out.String()
		})
	})
}

// scanReport reads "name running limit wait prefillPerToken decodePerToken".
func scanReport(t *testing.T, line string) usher.LoadReport {
	t.Helper()
	var name, wait, prefill, decode string
	var r usher.LoadReport
	if _, err := fmt.Sscan(line, &name, &r.Running, &r.Limit, &wait, &prefill, &decode); err != nil {
		t.Fatalf("line %q: %v", line, err)
	}
	r.Endpoint = usher.EndpointName(name)
	waited, _ := time.ParseDuration(wait)
	for i := range r.WaitByRank {
		r.WaitByRank[i] = waited * time.Duration(i)
	}
	r.PrefillPerToken, _ = time.ParseDuration(prefill)
	r.DecodePerToken, _ = time.ParseDuration(decode)
	r.Leaving = strings.Contains(line, "leaving")
	return r
}

func scanRequest(t *testing.T, d *datadriven.TestData) *usher.RequestHeader {
	t.Helper()
	h := &usher.RequestHeader{Service: "s"}
	var rank, prompt, answer, prefix int
	d.MaybeScanArgs(t, "rank", &rank)
	d.MaybeScanArgs(t, "prompt", &prompt)
	d.MaybeScanArgs(t, "answer", &answer)
	d.MaybeScanArgs(t, "prefix", &prefix)
	h.Rank = usher.Rank(rank)
	h.Cost = usher.RequestCost{PromptTokens: usher.Tokens(prompt), AnswerTokens: usher.Tokens(answer)}
	for i := range prefix {
		h.Prefix = append(h.Prefix, uint64(i+1)<<32|uint64(i+1))
	}
	return h
}

// TestMatchesReferenceModel compares the completion times of the candidates with
// a reference model, which computes each estimate from a list of the events and
// sorts the results.
func TestMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 30).Draw(t, "endpoints")
		endpoints := make([]usher.Endpoint, count)
		for i := range endpoints {
			endpoints[i] = usher.Endpoint{Name: usher.EndpointName("e" + strconv.Itoa(i)), Service: "s", AvailabilityZone: rapid.SampledFrom([]usher.AvailabilityZone{"a", "b"}).Draw(t, "zone")}
		}
		now := time.Unix(1000, 0)
		holder := config.NewHolder()
		p := New(holder, "a")
		p.now = func() time.Time { return now }
		offerSnapshotRapid(t, holder, endpoints)
		model := make(map[usher.EndpointName]*referenceEndpoint)
		for i := range rapid.IntRange(0, 60).Draw(t, "steps") {
			now = now.Add(time.Millisecond)
			endpoint := endpoints[rapid.IntRange(0, count-1).Draw(t, "endpoint")].Name
			if model[endpoint] == nil {
				model[endpoint] = &referenceEndpoint{}
			}
			if rapid.Bool().Draw(t, "report") {
				report := drawReport(t, endpoint)
				p.Observe(report)
				model[endpoint].report, model[endpoint].received, model[endpoint].sent = &report, now, nil
				continue
			}
			h := drawHeader(t, i)
			model[endpoint].sent = append(model[endpoint].sent, model[endpoint].work(h, 0))
			model[endpoint].inFlight++
			p.Assigned(endpoint, h)
		}
		h := drawHeader(t, 1000)
		var want []time.Duration
		for _, endpoint := range endpoints {
			e := model[endpoint.Name]
			if e == nil {
				e = &referenceEndpoint{}
			}
			finish := e.estimateFinish(h, now)
			if endpoint.AvailabilityZone != "a" {
				finish += crossZonePenalty
			}
			want = append(want, finish)
		}
		sort.Slice(want, func(i, j int) bool { return want[i] < want[j] })
		want = want[:min(len(want), maxCandidates)]
		var got []time.Duration
		for _, c := range p.Candidates(h, nil) {
			got = append(got, c.Finish)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatal(diff)
		}
	})
}

func offerSnapshotRapid(t *rapid.T, holder *config.Holder, endpoints []usher.Endpoint) {
	var objects []usher.Object
	for _, endpoint := range endpoints {
		value, _ := json.Marshal(endpoint)
		objects = append(objects, usher.Object{Key: config.Key(config.KindEndpoint, string(endpoint.Name)), Value: value})
	}
	snapshot, err := config.Build(objects, 1)
	if err != nil {
		t.Fatal(err)
	}
	holder.Offer(snapshot)
}

func drawReport(t *rapid.T, endpoint usher.EndpointName) usher.LoadReport {
	r := usher.LoadReport{
		Endpoint: endpoint, Running: rapid.IntRange(0, 8).Draw(t, "running"), Limit: rapid.IntRange(1, 8).Draw(t, "limit"),
		DecodePerToken:  time.Duration(rapid.IntRange(1, 40).Draw(t, "decode")) * time.Millisecond,
		PrefillPerToken: time.Duration(rapid.IntRange(1, 100).Draw(t, "prefill")) * time.Microsecond,
		PrefillBacklog:  time.Duration(rapid.IntRange(0, 100).Draw(t, "backlog")) * time.Millisecond,
	}
	for i := range r.WaitByRank {
		r.WaitByRank[i] = time.Duration(rapid.IntRange(0, 1000).Draw(t, "wait")) * time.Millisecond
	}
	return r
}

func drawHeader(t *rapid.T, i int) *usher.RequestHeader {
	return &usher.RequestHeader{
		ID: usher.RequestID(strconv.Itoa(i)), Service: "s", Rank: usher.Rank(rapid.IntRange(0, 5).Draw(t, "rank")),
		Cost: usher.RequestCost{PromptTokens: usher.Tokens(rapid.IntRange(1, 5000).Draw(t, "prompt")), AnswerTokens: usher.Tokens(rapid.IntRange(1, 300).Draw(t, "answer"))},
	}
}

// referenceEndpoint is the state of one endpoint in the reference model.
type referenceEndpoint struct {
	report   *usher.LoadReport
	received time.Time
	sent     []time.Duration
	inFlight int
}

func (e *referenceEndpoint) work(h *usher.RequestHeader, reused usher.Tokens) time.Duration {
	prefill, decode := defaultPrefillPerToken, defaultDecodePerToken
	if e.report != nil {
		prefill, decode = e.report.PrefillPerToken, e.report.DecodePerToken
	}
	return time.Duration(h.Cost.PromptTokens-reused)*prefill + time.Duration(h.Cost.AnswerTokens+1)*decode
}

func (e *referenceEndpoint) estimateFinish(h *usher.RequestHeader, now time.Time) time.Duration {
	work := e.work(h, 0)
	if e.report == nil {
		return work * time.Duration(1+e.inFlight)
	}
	wait := max(0, e.report.PrefillBacklog-now.Sub(e.received))
	if e.report.Running+len(e.sent) >= e.report.Limit {
		rank := min(int(h.Rank), usher.ReportedRanks-1)
		wait = max(wait, e.report.WaitByRank[rank]-now.Sub(e.received))
		sum := time.Duration(0)
		for _, one := range e.sent {
			sum += one
		}
		wait += sum / time.Duration(e.report.Limit)
	}
	return work + wait
}

// TestMatchesOnlySentPrefixes checks that the prefix table never reports a block
// that was not sent to the endpoint. The table is small, so that hints are
// evicted.
func TestMatchesOnlySentPrefixes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newPrefixTable(4)
		sent := make(map[uint16]map[uint64]bool)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			endpoint := uint16(rapid.IntRange(1, 5).Draw(t, "endpoint"))
			prefix := drawPrefix(t)
			table.add(prefix, endpoint)
			if sent[endpoint] == nil {
				sent[endpoint] = make(map[uint64]bool)
			}
			for _, hash := range prefix {
				sent[endpoint][hash] = true
			}
		}
		prefix := drawPrefix(t)
		var found prefixMatches
		table.find(prefix, &found)
		for i := range found.count {
			if !sent[found.endpoints[i]][prefix[found.blocks[i]-1]] {
				t.Fatalf("endpoint %d was never sent block %d", found.endpoints[i], found.blocks[i])
			}
		}
	})
}

// drawPrefix returns a prefix from one of a few families. Prefixes of a family
// differ only in length, because the hash of a block covers all blocks before.
func drawPrefix(t *rapid.T) []uint64 {
	family := rapid.Uint64Range(1, 6).Draw(t, "family")
	random := rand.New(rand.NewPCG(family, 0))
	prefix := make([]uint64, rapid.IntRange(1, 8).Draw(t, "blocks"))
	for i := range prefix {
		prefix[i] = random.Uint64()
	}
	return prefix
}

// targetEndpoints returns replicas that are divided evenly among models, as in
// a deployment of the target size.
func targetEndpoints(replicas, models int) []usher.Endpoint {
	endpoints := make([]usher.Endpoint, replicas)
	for i := range endpoints {
		endpoints[i] = usher.Endpoint{
			Name: usher.EndpointName("e" + strconv.Itoa(i)), Service: usher.ServiceName("s" + strconv.Itoa(i%models)),
			AvailabilityZone: usher.AvailabilityZone(string(rune('a' + i%5))),
		}
	}
	return endpoints
}

// BenchmarkCandidates measures one placement decision at several numbers of
// replicas. Requests have a prefix of the greatest length; workspaces differ
// only in their prefixes.
func BenchmarkCandidates(b *testing.B) {
	for _, size := range []struct{ replicas, models, workspaces int }{{77, 15, 3400}, {770, 15, 34000}, {7700, 15, 340000}} {
		b.Run(fmt.Sprintf("replicas=%d/workspaces=%d", size.replicas, size.workspaces), func(b *testing.B) {
			now := time.Unix(0, 0)
			before := heapInUse()
			endpoints := targetEndpoints(size.replicas, size.models)
			p, _ := newPlacer(b, endpoints, &now)
			headers := make([]usher.RequestHeader, 4096)
			random := rand.New(rand.NewPCG(1, 1))
			for i := range headers {
				workspace := random.IntN(size.workspaces)
				headers[i] = usher.RequestHeader{Service: usher.ServiceName("s" + strconv.Itoa(workspace%size.models)), Rank: usher.Rank(i % 4)}
				headers[i].Cost = usher.RequestCost{PromptTokens: 2000, AnswerTokens: 200}
				blocks := rand.New(rand.NewPCG(uint64(workspace), 2))
				for range 16 {
					headers[i].Prefix = append(headers[i].Prefix, blocks.Uint64())
				}
			}
			for i := range endpoints {
				p.Observe(usher.LoadReport{Endpoint: endpoints[i].Name, Limit: 16, Running: i % 20, DecodePerToken: time.Duration(10+i%20) * time.Millisecond, PrefillPerToken: 20 * time.Microsecond})
			}
			memory := float64(heapInUse()-before) / (1 << 20)
			into := make([]usher.Candidate, 0, maxCandidates)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				h := &headers[i%len(headers)]
				into = p.Candidates(h, into)
				p.Assigned(into[0].Endpoint, h)
				p.Released(into[0].Endpoint, h, true)
			}
			b.ReportMetric(memory, "MB")
		})
	}
}

// TestDecisionAllocatesNothing is the check in CI for what BenchmarkCandidates
// reports: a placement decision does not allocate.
func TestDecisionAllocatesNothing(t *testing.T) {
	now := time.Unix(0, 0)
	p, _ := newPlacer(t, targetEndpoints(770, 15), &now)
	h := &usher.RequestHeader{Service: "s3", Prefix: []uint64{1, 2, 3}, Cost: usher.RequestCost{PromptTokens: 500, AnswerTokens: 50}}
	into := make([]usher.Candidate, 0, maxCandidates)
	got := testing.AllocsPerRun(100, func() {
		into = p.Candidates(h, into)
		p.Assigned(into[0].Endpoint, h)
		p.Released(into[0].Endpoint, h, true)
	})
	if got != 0 {
		t.Errorf("a placement decision allocates %v times, want 0", got)
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
