package gateway_test

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"filbertusher/internal/pause"
	"filbertusher/internal/standin/chaos"
	"filbertusher/internal/standin/fault"
)

// The soak test sends requests of every kind through three gateways while several
// concurrent faults affect processes, links, replicas and the store. It compares
// the responses that callers received with what the replicas executed:
//
//   - a non-idempotent request runs at most once, and a refused one never ran;
//   - a response is complete and belongs to its request, and a stream contains
//     each event once;
//   - a revoked credential is accepted for at most revokeMS;
//   - all executions of a workspace together stay within its quota;
//   - while only planned operations are in progress, no request fails and no
//     response is incomplete;
//   - after the last fault every gateway serves requests again.
var (
	soakSeeds    = flag.Int("soak.seeds", 1, "number of seeds to run in addition to the regression seeds")
	soakFirst    = flag.Uint64("soak.first", 1, "first seed; the others follow it in sequence")
	soakTime     = flag.Duration("soak.time", 5*time.Second, "how long faults are injected for each seed")
	soakParallel = flag.Int("soak.parallel", 4, "how many seeds run concurrently")
)

// regressionSeedsFile lists the seeds that failed in the past, with the cause.
const regressionSeedsFile = "testdata/soak-seeds"

// The numbers of processes and callers of each seed, and the bounds of its run.
const (
	soakGateways = 3
	soakReplicas = 3
	soakCallers  = 12
	// recoveryTimeout is how long a gateway may take after the last fault until it
	// serves requests again.
	recoveryTimeout = 8 * time.Second
	// busyTokensPerSecond is the quota of a workspace that continuously requests a
	// multiple of it. The burst is as many tokens; a plain request counts as 200.
	busyTokensPerSecond = 6000
)

func TestSoak(t *testing.T) {
	seeds := readRegressionSeeds(t)
	regression := make(map[uint64]bool)
	for _, seed := range seeds {
		regression[seed] = true
	}
	for i := range *soakSeeds {
		seeds = append(seeds, *soakFirst+uint64(i))
	}
	slots := make(chan struct{}, *soakParallel)
	for _, seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			s := newSoak(t, seed)
			// A regression seed stands for a sequence of the faults that there were then.
			s.allFaults = !regression[seed]
			s.run()
		})
	}
}

// readRegressionSeeds reads lines of the form "SEED cause". Lines that begin with
// "# " are comments.
func readRegressionSeeds(t *testing.T) []uint64 {
	t.Helper()
	file, err := os.Open(regressionSeedsFile)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	var seeds []uint64
	for lines := bufio.NewScanner(file); lines.Scan(); {
		field, _, _ := strings.Cut(lines.Text(), " ")
		if field == "" || field == "#" {
			continue
		}
		seed, err := strconv.ParseUint(field, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		seeds = append(seeds, seed)
	}
	return seeds
}

// soak is the run of one seed: a cluster, its faults, and the requests sent.
// draining marks the desks that are being drained.
type soak struct {
	*cluster
	seed uint64
	// allFaults adds the faults of laterFaults.
	allFaults bool
	proxies   *fault.Proxies
	models    []*replica
	desks     []*replica
	draining  []bool

	mu sync.Mutex
	// gateways are the current processes; a restart replaces an element.
	gateways []*gateway
	// unplannedFaults are the periods of the faults that may make requests fail.
	unplannedFaults []interval
	// revokedAt is the time of revocation of each revoked credential.
	revokedAt        map[string]time.Time
	activeCredential string
	faultLog         []string
	requests         []*requestRecord
}

// interval is a period of time; to is zero while it lasts.
type interval struct{ from, to time.Time }

// requestRecord is one request and its result. cancelled says that the caller
// was going to disconnect early.
type requestRecord struct {
	id, path, credential string
	gateway              int
	sent, ended          time.Time
	cancelled            bool
	result               callResult
}

func newSoak(t *testing.T, seed uint64) *soak {
	t.Helper()
	s := &soak{cluster: newCluster(t), seed: seed, proxies: fault.New(), revokedAt: make(map[string]time.Time), activeCredential: "key"}
	t.Cleanup(s.proxies.Close)
	s.busyQuota = busyTokensPerSecond
	s.configure()
	for i := range soakReplicas {
		s.models = append(s.models, newReplica(t, fmt.Sprint("m", i), "model", 4, 12))
		s.desks = append(s.desks, newReplica(t, fmt.Sprint("d", i), "desk", 6, 0))
	}
	s.draining = make([]bool, soakReplicas)
	for _, r := range append(append([]*replica{}, s.models...), s.desks...) {
		r.update(func() { r.eventInterval, r.processingTime = 15*time.Millisecond, 5*time.Millisecond })
		address, err := s.proxies.StartProxy(r.id, r.address())
		if err != nil {
			t.Fatal(err)
		}
		r.proxyAddress = address
		s.register(r, "ready")
	}
	for i := range soakGateways {
		address, err := s.proxies.StartProxy(storeLink(i), s.store.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		s.storeAddress = address
		s.gateways = append(s.gateways, s.startGateway(fmt.Sprint("g", i)))
	}
	for _, g := range s.gateways {
		s.awaitServed(g, "/check/a")
		s.awaitServed(g, "/plan/a")
	}
	return s
}

func storeLink(i int) string { return fmt.Sprint("store-of-g", i) }

func (s *soak) run() {
	ctx, cancel := context.WithTimeout(context.Background(), *soakTime)
	defer cancel()
	var callers sync.WaitGroup
	callersCtx, stop := context.WithCancel(context.Background())
	for i := range soakCallers {
		callers.Go(func() { s.runCaller(callersCtx, i) })
	}
	chaos.Run(ctx, &chaos.Plan{
		Seed: s.seed, Faults: s.faults(), MaxConcurrent: 3, MeanPause: 250 * time.Millisecond,
		Targets: map[string]int{"gateway": soakGateways, "storeLink": soakGateways, "store": 1, "model": soakReplicas, "desk": soakReplicas, "config": 1},
		OnStart: func(name string, target int) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.faultLog = append(s.faultLog, fmt.Sprintf("%s %s %d", time.Now().Format("05.000"), name, target))
		},
	})
	s.checkRecovery()
	stop()
	callers.Wait()
	s.check()
}

// checkRecovery requires that every gateway serves requests again after the last
// fault.
func (s *soak) checkRecovery() {
	for i := range soakGateways {
		end := time.Now().Add(recoveryTimeout)
		for n := 0; ; n++ {
			got := s.gatewayAt(i).call(context.Background(), http.MethodGet, "/check/a", fmt.Sprint("back", i, "-", n), "X-Filbertusher-Credential", s.currentCredential())
			if got.status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				s.t.Errorf("gateway %d does not serve requests %v after the last fault: %d %s %v", i, recoveryTimeout, got.status, got.body, got.err)
				s.logGateway(i)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

const (
	// raceReportBytes and logTailLines limit how much of a gateway's log is printed
	// on a failure: of the race detector's report, and of the end of the log.
	raceReportBytes = 4000
	logTailLines    = 40
)

// logGateway prints the injected faults and the end of a gateway's log.
func (s *soak) logGateway(gateway int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.t.Logf("faults: %s", strings.Join(s.faultLog, "; "))
	log := s.gateways[gateway].Log()
	if race := strings.Index(log, "WARNING: DATA RACE"); race >= 0 {
		s.t.Logf("gateway %d:\n%s", gateway, log[race:min(len(log), race+raceReportBytes)])
	}
	lines := strings.Split(log, "\n")
	s.t.Logf("gateway %d:\n%s", gateway, strings.Join(lines[max(0, len(lines)-logTailLines):], "\n"))
}

func (s *soak) gatewayAt(i int) *gateway {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gateways[i]
}

func (s *soak) currentCredential() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.activeCredential
}

// runCaller sends requests one after the other over a keep-alive connection. Some
// requests use a revoked credential, and some are cancelled early. Caller 0 sends
// for the busy workspace and pauses only after a failure.
func (s *soak) runCaller(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(s.seed, uint64(number)))
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	target := -1
	for n := 0; ctx.Err() == nil; n++ {
		if target < 0 || random.IntN(6) == 0 {
			target = random.IntN(soakGateways)
		}
		record := &requestRecord{id: fmt.Sprintf("%d-%d", number, n), gateway: target, credential: s.currentCredential()}
		record.path = []string{"/order/x", "/check/x", "/plan/x", "/question/x"}[random.IntN(4)]
		if number == 0 {
			record.credential, record.path = "busy", "/check/x"
		} else if random.IntN(8) == 0 {
			record.credential = s.revokedCredential(record.credential)
		}
		callCtx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		if record.cancelled = number != 0 && random.IntN(20) == 0; record.cancelled {
			time.AfterFunc(time.Duration(random.IntN(120))*time.Millisecond, cancel)
		}
		record.sent = time.Now()
		g := *s.gatewayAt(target)
		g.transport = transport
		method := http.MethodPost
		if record.path == "/check/x" {
			method = http.MethodGet
		}
		record.result = g.call(callCtx, method, record.path, record.id, "X-Filbertusher-Credential", record.credential)
		record.ended = time.Now()
		cancel()
		s.mu.Lock()
		s.requests = append(s.requests, record)
		s.mu.Unlock()
		if record.result.status == 0 && !record.cancelled {
			// The gateway did not respond: choose one at random for the next request,
			// as a load balancer would.
			target = -1
		}
		if number != 0 || record.result.status != http.StatusOK {
			pause.For(ctx, time.Duration(5+random.IntN(30))*time.Millisecond)
		}
	}
}

// revokedCredential returns any revoked credential, or fallback if there is none.
func (s *soak) revokedCredential(fallback string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for old := range s.revokedAt {
		return old
	}
	return fallback
}
