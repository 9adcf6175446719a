package gateway_test

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"filbertusher/internal/pause"
	"filbertusher/internal/standin/chaos"
	"filbertusher/internal/standin/fault"
	"filbertusher/internal/standin/store"
	"filbertusher/pkg/usher"
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

// chances are the faults. Planned ones excuse nothing.
func (s *soak) chances() []chaos.Chance {
	return []chaos.Chance{
		{Name: "gateway killed", Target: "gateway", Weight: 3, Hit: s.excused(s.kill)},
		{Name: "gateway frozen", Target: "gateway", Weight: 3, Hit: s.excused(s.freeze)},
		{Name: "gateway stopped as planned", Target: "gateway", Weight: 3, Hit: s.stopPlanned},
		{Name: "gateway reloads", Target: "gateway", Weight: 1, Hit: s.reload},
		{Name: "gateway cut off from the store", Target: "storeLink", Weight: 3, Hit: s.excused(s.cutStore)},
		{Name: "store silent for a gateway", Target: "storeLink", Weight: 2, Hit: s.excused(s.silenceStore)},
		{Name: "store down", Target: "store", Weight: 2, Hit: s.excused(s.storeDown)},
		{Name: "store slow", Target: "store", Weight: 2, Hit: s.excused(s.storeSlow)},
		{Name: "store loses answers", Target: "store", Weight: 2, Hit: s.excused(s.storeLosesAnswers)},
		{Name: "model's link cut", Target: "model", Weight: 3, Hit: s.excused(func(ctx context.Context, r *rand.Rand, at int) { s.cutLink(ctx, r, s.models[at].id) })},
		{Name: "model's link silent", Target: "model", Weight: 3, Hit: s.excused(func(ctx context.Context, r *rand.Rand, at int) { s.silenceLink(ctx, r, s.models[at].id) })},
		{Name: "model slow", Target: "model", Weight: 2, Hit: s.excused(s.slowModel)},
		{Name: "model breaks streams", Target: "model", Weight: 3, Hit: s.excused(s.breakStreams)},
		{Name: "desk's link cut", Target: "desk", Weight: 3, Hit: s.excused(func(ctx context.Context, r *rand.Rand, at int) { s.cutLink(ctx, r, s.desks[at].id) })},
		{Name: "desk resets", Target: "desk", Weight: 3, Hit: s.excused(s.resetDesk)},
		{Name: "desk leaves and comes back", Target: "desk", Weight: 2, Hit: s.drainDesk},
		{Name: "credentials change", Target: "config", Weight: 3, Hit: s.rotate},
		{Name: "configuration changes", Target: "config", Weight: 2, Hit: s.storm},
	}
}

// excused notes a fault during which requests may fail.
func (s *soak) excused(hit func(context.Context, *rand.Rand, int)) func(context.Context, *rand.Rand, int) {
	return func(ctx context.Context, random *rand.Rand, at int) {
		s.mu.Lock()
		own := len(s.unplanned)
		s.unplanned = append(s.unplanned, span{from: time.Now()})
		s.mu.Unlock()
		hit(ctx, random, at)
		s.mu.Lock()
		s.unplanned[own].to = time.Now()
		s.mu.Unlock()
	}
}

// restart starts a gateway again; the others have served meanwhile.
func (s *soak) restart(at int) {
	g := *s.member(at)
	text, err := os.ReadFile(g.config)
	if err == nil {
		err = os.WriteFile(g.config, []byte(strings.Replace(string(text), "bootstrap = true", "bootstrap = false", 1)), 0o600)
	}
	if err != nil {
		s.t.Error(err)
		return
	}
	if err := s.launch(&g); err != nil {
		s.t.Error(err)
		return
	}
	s.mu.Lock()
	s.members[at] = &g
	s.mu.Unlock()
}

func (s *soak) kill(ctx context.Context, random *rand.Rand, at int) {
	s.member(at).Kill()
	pause.For(ctx, chaos.Between(random, 0, time.Second))
	s.restart(at)
}

func (s *soak) freeze(ctx context.Context, random *rand.Rand, at int) {
	g := s.member(at)
	g.Signal(syscall.SIGSTOP)
	pause.For(ctx, chaos.Between(random, 100*time.Millisecond, 3*time.Second))
	g.Signal(syscall.SIGCONT)
}

func (s *soak) stopPlanned(_ context.Context, _ *rand.Rand, at int) {
	g := s.member(at)
	began := s.begun(g)
	if err := g.Stop(); err != nil && began {
		s.t.Errorf("a planned stop ended with %v", err)
		s.tell(at)
	}
	s.restart(at)
}

func (s *soak) reload(_ context.Context, _ *rand.Rand, at int) {
	if g := s.member(at); s.begun(g) {
		g.Signal(syscall.SIGHUP)
	}
}

// begun says whether the process has come to its own code. A signal before that
// ends it, which nothing in it can prevent.
func (s *soak) begun(g *gateway) bool { return strings.Contains(g.Log(), "event=started") }

func (s *soak) cutStore(ctx context.Context, random *rand.Rand, at int) {
	s.cutLink(ctx, random, storeLink(at))
}

func (s *soak) silenceStore(ctx context.Context, random *rand.Rand, at int) {
	s.silenceLink(ctx, random, storeLink(at))
}

func (s *soak) cutLink(ctx context.Context, random *rand.Rand, link string) {
	if s.proxies.Down(link) != nil {
		return
	}
	pause.For(ctx, chaos.Between(random, 50*time.Millisecond, 2*time.Second))
	if err := s.proxies.Up(link); err != nil {
		s.t.Error(err)
	}
}

// silenceLink drops all data in one direction; the connections stay open.
func (s *soak) silenceLink(ctx context.Context, random *rand.Rand, link string) {
	direction := []fault.Direction{fault.Upstream, fault.Downstream}[random.IntN(2)]
	if s.proxies.Add(link, fault.Toxic{Type: "timeout", Stream: direction, Attributes: map[string]int{"timeout": 0}}) != nil {
		return
	}
	pause.For(ctx, chaos.Between(random, 100*time.Millisecond, 2*time.Second))
	_ = s.proxies.Heal(context.Background(), link)
	_ = s.proxies.Cut(link)
}

func (s *soak) storeFault(ctx context.Context, faults store.Faults, hold time.Duration) {
	s.fault(faults)
	pause.For(ctx, hold)
	s.fault(store.Faults{})
}

func (s *soak) storeDown(ctx context.Context, random *rand.Rand, _ int) {
	s.storeFault(ctx, store.Faults{Down: true}, chaos.Between(random, 100*time.Millisecond, 3*time.Second))
}

func (s *soak) storeSlow(ctx context.Context, random *rand.Rand, _ int) {
	delay := usher.Duration(chaos.Between(random, 20*time.Millisecond, 400*time.Millisecond))
	s.storeFault(ctx, store.Faults{Delay: delay}, chaos.Between(random, 100*time.Millisecond, 3*time.Second))
}

func (s *soak) storeLosesAnswers(ctx context.Context, random *rand.Rand, _ int) {
	s.storeFault(ctx, store.Faults{LoseAnswers: 1 + random.IntN(10)}, chaos.Between(random, 100*time.Millisecond, 2*time.Second))
}

func (s *soak) slowModel(ctx context.Context, random *rand.Rand, at int) {
	m := s.models[at]
	m.set(func() { m.pace = chaos.Between(random, 30*time.Millisecond, 300*time.Millisecond) })
	pause.For(ctx, chaos.Between(random, 100*time.Millisecond, 2*time.Second))
	m.set(func() { m.pace = 15 * time.Millisecond })
}

func (s *soak) breakStreams(ctx context.Context, random *rand.Rand, at int) {
	m := s.models[at]
	m.set(func() { m.cutAfter = random.IntN(11) })
	pause.For(ctx, chaos.Between(random, 50*time.Millisecond, time.Second))
	m.set(func() { m.cutAfter = -1 })
}

func (s *soak) resetDesk(_ context.Context, random *rand.Rand, at int) {
	d := s.desks[at]
	d.set(func() { d.resets = 1 + random.IntN(6) })
	time.Sleep(200 * time.Millisecond)
	d.set(func() { d.resets = 0 })
}

// drainDesk takes a desk out as planned: it goes on serving for a while.
func (s *soak) drainDesk(ctx context.Context, random *rand.Rand, at int) {
	s.mu.Lock()
	s.leavings[at] = true
	alone := true
	for other, leaving := range s.leavings {
		alone = alone && (other == at || leaving)
	}
	s.mu.Unlock()
	if !alone {
		s.register(s.desks[at], "draining")
		pause.For(ctx, chaos.Between(random, 2*time.Second, 3*time.Second))
		s.register(s.desks[at], "ready")
	}
	s.mu.Lock()
	s.leavings[at] = false
	s.mu.Unlock()
}

// rotate takes the credential away and hands out another, which has been in force
// for a while then. It doesn't end early with the faults.
func (s *soak) rotate(context.Context, *rand.Rand, int) {
	next := fmt.Sprint("key-", time.Now().UnixNano())
	old := s.current()
	s.keys = []string{old, next}
	s.configure()
	time.Sleep(time.Duration(s.revokeMS) * time.Millisecond)
	s.mu.Lock()
	s.key = next
	s.mu.Unlock()
	time.Sleep(300 * time.Millisecond)
	s.keys = []string{next}
	s.configure()
	s.mu.Lock()
	s.retired[old] = time.Now()
	s.mu.Unlock()
}

func (s *soak) storm(ctx context.Context, random *rand.Rand, _ int) {
	for range 3 + random.IntN(10) {
		s.configure()
		pause.For(ctx, 30*time.Millisecond)
	}
}

// judge compares what callers got with what the replicas ran.
func (s *soak) judge() {
	s.mu.Lock()
	defer s.mu.Unlock()
	told := make(map[string]int)
	broken := 0
	for _, a := range s.asked {
		told[a.verdict()]++
		if promise := s.brokenPromise(a); promise != "" {
			if broken++; broken <= 5 {
				s.t.Errorf("%s: %s by g%d, sent %s, ended %s: %d %.80q %v", promise, a.id, a.gateway,
					a.sent.Format("05.000"), a.ended.Format("05.000"), a.reply.status, a.reply.body, a.reply.err)
			}
		}
	}
	s.judgeQuota()
	if s.t.Failed() {
		s.t.Logf("faults: %s", strings.Join(s.faults, "; "))
	}
	s.t.Logf("seed %d: %d requests, %d faults, told %v", s.seed, len(s.asked), len(s.faults), told)
	if len(s.asked) < 100 || told["200"] < 50 || len(s.faults) == 0 {
		s.t.Errorf("only %d requests, %d served, %d faults", len(s.asked), told["200"], len(s.faults))
	}
}

func (a *asked) verdict() string {
	switch {
	case a.left:
		return "left"
	case a.reply.err != nil && a.reply.status == 0:
		return "no answer"
	case a.reply.err != nil:
		return "cut"
	default:
		return strconv.Itoa(a.reply.status)
	}
}

func (s *soak) runs(id string) int {
	n := 0
	for i := range soakReplicas {
		n += s.models[i].ran(id) + s.desks[i].ran(id)
	}
	return n
}

// brokenPromise returns the promise that was broken for a request, or "".
func (s *soak) brokenPromise(a *asked) string {
	runs, status := s.runs(a.id), a.reply.status
	once := a.path == "/order/x" || a.path == "/question/x"
	taken, retired := s.retired[a.key]
	refused := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
	switch {
	case once && runs > 1:
		return fmt.Sprintf("ran %d times", runs)
	case !a.left && a.reply.err == nil && refused && runs > 0:
		return "refused, and it ran"
	case !a.left && a.reply.err == nil && status == http.StatusOK && a.reply.body != s.whole(a):
		return "not whole, or not its own"
	case status == http.StatusOK && retired && a.sent.Sub(taken) > time.Duration(s.revokeMS)*time.Millisecond:
		return fmt.Sprintf("honoured a credential %v after it was taken away", a.sent.Sub(taken))
	case status == http.StatusUnauthorized && !(retired && taken.Before(a.ended)):
		return "a good credential was refused for good"
	case status == http.StatusNotFound:
		return "a route was missing"
	case a.left || s.excuses(a):
		return ""
	case a.reply.err != nil && (runs > 0 || status != 0):
		return "cut without a fault"
	case a.reply.err == nil && status >= 500 && status != http.StatusServiceUnavailable:
		return "failed without a fault"
	case refused && a.reply.header.Get("Retry-After") == "":
		return "refused without a time to come back"
	}
	return ""
}

// whole returns the answer that the replicas give to a request.
func (s *soak) whole(a *asked) string {
	if a.path == "/plan/x" || a.path == "/question/x" {
		return s.models[0].wholeStream(a.id)
	}
	return fmt.Sprintf("answer to %s %s", a.id, a.path)
}

// aftermath is how long after a fault requests may fail for it.
const aftermath = 1500 * time.Millisecond

// excuses says whether a fault that was not planned may explain a failure.
func (s *soak) excuses(a *asked) bool {
	for _, one := range s.unplanned {
		if one.from.Before(a.ended) && a.sent.Before(one.to.Add(aftermath)) {
			return true
		}
	}
	return false
}

// judgeQuota wants no window in which the busy workspace ran more than the
// settings of the site allow.
func (s *soak) judgeQuota() {
	var times []time.Time
	for _, d := range s.desks {
		d.set(func() {
			for _, one := range d.began {
				if one.workspace == "busy" {
					times = append(times, one.at)
				}
			}
		})
	}
	slices.SortFunc(times, time.Time.Compare)
	const window, tokens = 8 * time.Second, 200
	most, from := 0, 0
	for i, at := range times {
		for at.Sub(times[from]) >= window {
			from++
		}
		most = max(most, i-from+1)
	}
	if limit := (busyQuota*window.Seconds()+busyQuota)*1.1 + 1000; float64(most*tokens) > limit {
		s.t.Errorf("%d tokens of a workspace ran in a window, %.0f may", most*tokens, limit)
	}
}
