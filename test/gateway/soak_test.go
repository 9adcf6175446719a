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

// The soak sends requests of every kind through three gateways while faults,
// several at a time, hit processes, links, replicas and the store, and judges
// every answer by what the callers got and by what the replicas ran:
//
//   - what must not be repeated runs once at most, and a refusal means never;
//   - an answer is whole and the caller's own, a stream has each event once;
//   - a credential that was taken away is honoured for revokeMS at most;
//   - the sum of what a workspace runs stays within its quota;
//   - while all that holds is planned, nothing is cut and nothing fails;
//   - when the faults are over, every gateway serves again.
var (
	soakSeeds  = flag.Int("soak.seeds", 1, "how many seeds to play beside the kept ones")
	soakFirst  = flag.Uint64("soak.first", 1, "the first seed; the others count on")
	soakTime   = flag.Duration("soak.time", 5*time.Second, "how long the faults of a seed go on")
	soakBeside = flag.Int("soak.beside", 4, "how many seeds are played beside each other")
)

// keptSeeds lists the seeds that once failed, with their cause.
const keptSeeds = "testdata/soak-seeds"

const (
	soakGateways = 3
	soakReplicas = 3
	soakCallers  = 12
	// recoverTime is how long a gateway may take to serve after the last fault.
	recoverTime = 8 * time.Second
	// busyQuota is the rate and burst in tokens of the workspace that asks for a
	// multiple of it; a plain request counts 200.
	busyQuota = 6000
)

func TestSoak(t *testing.T) {
	seeds := readSeeds(t)
	for i := range *soakSeeds {
		seeds = append(seeds, *soakFirst+uint64(i))
	}
	beside := make(chan struct{}, *soakBeside)
	for _, seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			beside <- struct{}{}
			defer func() { <-beside }()
			newSoak(t, seed).play()
		})
	}
}

// readSeeds reads "SEED cause" lines.
func readSeeds(t *testing.T) []uint64 {
	t.Helper()
	file, err := os.Open(keptSeeds)
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

// soak is one run.
type soak struct {
	*site
	seed     uint64
	proxies  *fault.Proxies
	models   []*replica
	desks    []*replica
	leavings []bool

	mu sync.Mutex
	// members are the gateways as they now stand.
	members []*gateway
	// unplanned holds when a fault that excuses failures began and ended.
	unplanned []span
	// retired maps credentials to when they were taken away.
	retired map[string]time.Time
	key     string
	faults  []string
	asked   []*asked
}

type span struct{ from, to time.Time }

// asked is one request with what came of it.
type asked struct {
	id, path, key string
	gateway       int
	sent, ended   time.Time
	left          bool
	reply         reply
}

func newSoak(t *testing.T, seed uint64) *soak {
	t.Helper()
	s := &soak{site: newSite(t), seed: seed, proxies: fault.New(), retired: make(map[string]time.Time), key: "key"}
	t.Cleanup(s.proxies.Close)
	s.busyQuota = busyQuota
	s.configure()
	for i := range soakReplicas {
		s.models = append(s.models, newReplica(t, fmt.Sprint("m", i), "model", 4, 12))
		s.desks = append(s.desks, newReplica(t, fmt.Sprint("d", i), "desk", 6, 0))
	}
	s.leavings = make([]bool, soakReplicas)
	for _, r := range append(append([]*replica{}, s.models...), s.desks...) {
		r.set(func() { r.pace, r.work = 15*time.Millisecond, 5*time.Millisecond })
		via, err := s.proxies.Via(r.id, r.address())
		if err != nil {
			t.Fatal(err)
		}
		r.via = via
		s.register(r, "ready")
	}
	for i := range soakGateways {
		via, err := s.proxies.Via(storeLink(i), s.store.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		s.storeVia = via
		s.members = append(s.members, s.gateway(fmt.Sprint("g", i)))
	}
	for _, g := range s.members {
		s.served(g, "/check/a")
		s.served(g, "/plan/a")
	}
	return s
}

func storeLink(i int) string { return fmt.Sprint("store-of-g", i) }

func (s *soak) play() {
	ctx, cancel := context.WithTimeout(context.Background(), *soakTime)
	defer cancel()
	var callers sync.WaitGroup
	calling, stop := context.WithCancel(context.Background())
	for i := range soakCallers {
		callers.Go(func() { s.caller(calling, i) })
	}
	chaos.Run(ctx, &chaos.Plan{
		Seed: s.seed, Chances: s.chances(), Overlap: 3, Gap: 250 * time.Millisecond,
		Targets: map[string]int{"gateway": soakGateways, "storeLink": soakGateways, "store": 1, "model": soakReplicas, "desk": soakReplicas, "config": 1},
		Began: func(name string, at int) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.faults = append(s.faults, fmt.Sprintf("%s %s %d", time.Now().Format("05.000"), name, at))
		},
	})
	s.recovered()
	stop()
	callers.Wait()
	s.judge()
}

// recovered wants every gateway to serve again after the last fault.
func (s *soak) recovered() {
	for i := range soakGateways {
		end := time.Now().Add(recoverTime)
		for n := 0; ; n++ {
			got := s.member(i).call(context.Background(), http.MethodGet, "/check/a", fmt.Sprint("back", i, "-", n), "X-Filbertusher-Credential", s.current())
			if got.status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				s.t.Errorf("gateway %d does not serve %v after the last fault: %d %s %v", i, recoverTime, got.status, got.body, got.err)
				s.tell(i)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

const (
	// raceReport and lastLines are how much of a gateway's log a failure shows, in
	// bytes of a report of a race and in lines.
	raceReport = 4000
	lastLines  = 40
)

// tell shows the faults and the log of a gateway.
func (s *soak) tell(gateway int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.t.Logf("faults: %s", strings.Join(s.faults, "; "))
	log := s.members[gateway].Log()
	if race := strings.Index(log, "WARNING: DATA RACE"); race >= 0 {
		s.t.Logf("gateway %d:\n%s", gateway, log[race:min(len(log), race+raceReport)])
	}
	lines := strings.Split(log, "\n")
	s.t.Logf("gateway %d:\n%s", gateway, strings.Join(lines[max(0, len(lines)-lastLines):], "\n"))
}

func (s *soak) member(i int) *gateway {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members[i]
}

func (s *soak) current() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.key
}

// caller sends one request after the other, on a connection that it keeps. Some
// keep to an old credential, some leave early.
func (s *soak) caller(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(s.seed, uint64(number)))
	keep := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}
	defer keep.CloseIdleConnections()
	at := -1
	for n := 0; ctx.Err() == nil; n++ {
		if at < 0 || random.IntN(6) == 0 {
			at = random.IntN(soakGateways)
		}
		a := &asked{id: fmt.Sprintf("%d-%d", number, n), gateway: at, key: s.current()}
		a.path = []string{"/order/x", "/check/x", "/plan/x", "/question/x"}[random.IntN(4)]
		if number == 0 {
			a.key, a.path = "busy", "/check/x"
		} else if random.IntN(8) == 0 {
			a.key = s.oldest(a.key)
		}
		limit, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		if a.left = number != 0 && random.IntN(20) == 0; a.left {
			time.AfterFunc(time.Duration(random.IntN(120))*time.Millisecond, cancel)
		}
		a.sent = time.Now()
		g := *s.member(at)
		g.keep = keep
		method := http.MethodPost
		if a.path == "/check/x" {
			method = http.MethodGet
		}
		a.reply = g.call(limit, method, a.path, a.id, "X-Filbertusher-Credential", a.key)
		a.ended = time.Now()
		cancel()
		s.mu.Lock()
		s.asked = append(s.asked, a)
		s.mu.Unlock()
		if a.reply.status == 0 && !a.left {
			// The next one goes to another gateway, as a balancer would send it.
			at = -1
		}
		if number != 0 || a.reply.status != http.StatusOK {
			pause.For(ctx, time.Duration(5+random.IntN(30))*time.Millisecond)
		}
	}
}

// oldest returns a credential that was taken away, or the present one.
func (s *soak) oldest(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for old := range s.retired {
		return old
	}
	return key
}
