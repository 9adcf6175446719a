package gateway_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"syscall"
	"time"

	"filbertusher/internal/pause"
	"filbertusher/internal/standin/chaos"
	"filbertusher/internal/standin/fault"
	"filbertusher/internal/standin/store"
	"filbertusher/pkg/usher"
)

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
