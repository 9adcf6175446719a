package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"filbertusher/internal/config"
	"filbertusher/internal/pause"
	"filbertusher/internal/standin/chaos"
	"filbertusher/internal/standin/fault"
	"filbertusher/internal/standin/fleet"
	"filbertusher/internal/standin/store"
	"filbertusher/pkg/usher"
)

func (r *run) chances() []chaos.Chance {
	return []chaos.Chance{
		{Name: "companion killed", Target: "companion", Weight: 4, Hit: r.killCompanion},
		{Name: "companion stopped as planned", Target: "companion", Weight: 2, Hit: r.stopCompanion},
		{Name: "companion frozen", Target: "companion", Weight: 3, Hit: r.freezeCompanion},
		{Name: "companion frozen and replaced", Target: "companion", Weight: 3, Hit: r.replaceCompanion},
		{Name: "entry killed", Target: "entry", Weight: 2, Hit: r.killEntry},
		{Name: "entry frozen", Target: "entry", Weight: 2, Hit: r.freezeEntry},
		{Name: "companion's link cut", Target: "companionLink", Weight: 3, Hit: r.cutCompanion},
		{Name: "companion's link drops requests", Target: "companionLink", Weight: 2, Hit: r.dropRequests},
		{Name: "companion's link drops replies", Target: "companionLink", Weight: 2, Hit: r.dropReplies},
		{Name: "companion's link is slow", Target: "companionLink", Weight: 2, Hit: r.slowCompanion},
		{Name: "endpoint's link cut", Target: "desk", Weight: 2, Hit: r.cutDesk},
		{Name: "endpoint's link drops answers", Target: "desk", Weight: 1, Hit: r.dropAnswers},
		{Name: "endpoint slow", Target: "desk", Weight: 2, Hit: r.slowDesk},
		{Name: "companion cut off from the store", Target: "storeLink", Weight: 2, Hit: r.cutStore},
		{Name: "store down", Target: "store", Weight: 2, Hit: r.storeDown},
		{Name: "store slow", Target: "store", Weight: 2, Hit: r.storeSlow},
		{Name: "store loses answers", Target: "store", Weight: 3, Hit: r.storeLosesAnswers},
		{Name: "store writes late", Target: "store", Weight: 3, Hit: r.storeWritesLate},
	}
}

// chaos brings about faults at random until ctx ends, and waits until the last
// one is over.
func (r *run) chaos(ctx context.Context) {
	desks := r.options.Desks
	chaos.Run(ctx, &chaos.Plan{
		Seed: r.options.Seed, Chances: r.chances(), Overlap: r.options.Overlap, Gap: r.options.FaultGap,
		Targets: map[string]int{
			"companion": desks, "companionLink": desks, "desk": desks, "storeLink": desks,
			"entry": r.options.Entries, "store": 1,
		},
		Began: r.count,
	})
}

func (r *run) count(name string, _ int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[name]++
}

func (r *run) companion(at int) *fleet.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.companions[at]
}

// noteInFlight counts the requests that a companion has dispatched, which a
// fault may leave unknown.
func (r *run) noteInFlight(at int) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var dump struct {
		Companion struct{ Requests struct{ Dispatched int } }
	}
	if r.companion(at).Dump(ctx, &dump) != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight += dump.Companion.Requests.Dispatched
}

func (r *run) killCompanion(_ context.Context, _ *rand.Rand, at int) {
	r.noteInFlight(at)
	r.companion(at).Kill()
	r.restartCompanion(at)
}

func (r *run) stopCompanion(_ context.Context, _ *rand.Rand, at int) {
	_ = r.companion(at).Stop()
	r.restartCompanion(at)
}

func (r *run) freezeCompanion(ctx context.Context, random *rand.Rand, at int) {
	r.noteInFlight(at)
	frozen := r.companion(at)
	frozen.Signal(syscall.SIGSTOP)
	pause.For(ctx, chaos.Between(random, 100*time.Millisecond, 6*time.Second))
	frozen.Signal(syscall.SIGCONT)
}

// replaceCompanion lets an old incarnation wake beside the new one.
func (r *run) replaceCompanion(ctx context.Context, random *rand.Rand, at int) {
	r.noteInFlight(at)
	old := r.companion(at)
	old.Signal(syscall.SIGSTOP)
	r.restartCompanion(at)
	pause.For(ctx, chaos.Between(random, 100*time.Millisecond, 4*time.Second))
	old.Signal(syscall.SIGCONT)
	pause.For(ctx, chaos.Between(random, 100*time.Millisecond, 2*time.Second))
	old.Kill()
}

// restartTimeout bounds how long a new process may take to be declared.
const restartTimeout = time.Minute

// restartCompanion starts a new incarnation at a new address and declares it.
// The store may be down, so that the declaration is tried until it is taken.
func (r *run) restartCompanion(at int) {
	ctx, cancel := context.WithTimeout(context.Background(), restartTimeout)
	defer cancel()
	declared := usher.Endpoint{
		Name: endpointName(at), Service: fleet.Orders, AvailabilityZone: fleet.Zone, Fencing: usher.FencingIgnored,
	}
	behind, errDesk := r.proxies.Address(fmt.Sprintf("desk-%d", at))
	storeAddress, errStore := r.proxies.Address("store-of-" + string(endpointName(at)))
	if errDesk != nil || errStore != nil {
		return
	}
	member, err := r.whole.Companion(storeAddress, declared, behind, usher.ServicePlain, r.companionArgs()...)
	if err != nil {
		r.traces.violate("a companion did not start: %v", err)
		return
	}
	r.mu.Lock()
	r.restarts++
	link := fmt.Sprintf("%s-%d", companionLink(at), r.restarts)
	r.companions[at] = member
	r.links[at] = link
	r.mu.Unlock()
	if declared.Companion, err = r.proxies.Via(link, member.Address); err != nil {
		r.traces.violate("no proxy for a companion: %v", err)
		return
	}
	for ctx.Err() == nil {
		if _, err := r.whole.Put(ctx, config.KindEndpoint, string(declared.Name), declared); err == nil {
			return
		}
		pause.For(ctx, 100*time.Millisecond)
	}
}

func (r *run) killEntry(_ context.Context, _ *rand.Rand, at int) {
	r.mu.Lock()
	old := r.entries[at]
	r.mu.Unlock()
	old.Kill()
	member, err := r.whole.Entry(old.Name, r.whole.Store.Address, fleet.Zone)
	if err != nil {
		r.traces.violate("an entry did not start: %v", err)
		return
	}
	r.mu.Lock()
	r.entries[at] = member
	r.mu.Unlock()
}

func (r *run) freezeEntry(ctx context.Context, random *rand.Rand, at int) {
	r.mu.Lock()
	frozen := r.entries[at]
	r.mu.Unlock()
	frozen.Signal(syscall.SIGSTOP)
	pause.For(ctx, chaos.Between(random, 100*time.Millisecond, 4*time.Second))
	frozen.Signal(syscall.SIGCONT)
}

func (r *run) link(at int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.links[at]
}

// toxic holds a fault of a link for a while. Its connections are cut at the
// end, because what was dropped in them can't come any more.
func (r *run) toxic(ctx context.Context, link string, toxic fault.Toxic, hold time.Duration) {
	if r.proxies.Add(link, toxic) != nil {
		return
	}
	pause.For(ctx, hold)
	_ = r.proxies.Heal(context.Background(), link)
	_ = r.proxies.Cut(link)
}

func drop(direction fault.Direction) fault.Toxic {
	return fault.Toxic{Type: "timeout", Stream: direction, Attributes: map[string]int{"timeout": 0}}
}

func slow(delay time.Duration) fault.Toxic {
	return fault.Toxic{Type: "latency", Stream: fault.Downstream, Attributes: map[string]int{"latency": int(delay.Milliseconds()), "jitter": int(delay.Milliseconds())}}
}

func (r *run) cutCompanion(ctx context.Context, random *rand.Rand, at int) {
	link := r.link(at)
	if r.proxies.Down(link) != nil {
		return
	}
	pause.For(ctx, chaos.Between(random, 0, 3*time.Second))
	_ = r.proxies.Up(link)
}

func (r *run) dropRequests(ctx context.Context, random *rand.Rand, at int) {
	r.toxic(ctx, r.link(at), drop(fault.Upstream), chaos.Between(random, 100*time.Millisecond, 5*time.Second))
}

func (r *run) dropReplies(ctx context.Context, random *rand.Rand, at int) {
	r.toxic(ctx, r.link(at), drop(fault.Downstream), chaos.Between(random, 100*time.Millisecond, 5*time.Second))
}

func (r *run) slowCompanion(ctx context.Context, random *rand.Rand, at int) {
	r.toxic(ctx, r.link(at), slow(chaos.Between(random, 10*time.Millisecond, 300*time.Millisecond)), chaos.Between(random, 100*time.Millisecond, 3*time.Second))
}

func (r *run) cutDesk(_ context.Context, _ *rand.Rand, at int) {
	r.noteInFlight(at)
	_ = r.proxies.Cut(fmt.Sprintf("desk-%d", at))
}

func (r *run) dropAnswers(ctx context.Context, random *rand.Rand, at int) {
	r.noteInFlight(at)
	r.toxic(ctx, fmt.Sprintf("desk-%d", at), drop(fault.Downstream), chaos.Between(random, 100*time.Millisecond, time.Second))
}

func (r *run) slowDesk(ctx context.Context, random *rand.Rand, at int) {
	_ = r.whole.Desks[at].Control(context.Background(), "delay", chaos.Between(random, 10*time.Millisecond, 400*time.Millisecond).String())
	pause.For(ctx, chaos.Between(random, 100*time.Millisecond, 3*time.Second))
	_ = r.whole.Desks[at].Control(context.Background(), "delay", "2ms")
}

func (r *run) cutStore(ctx context.Context, random *rand.Rand, at int) {
	link := "store-of-" + string(endpointName(at))
	if r.proxies.Down(link) != nil {
		return
	}
	pause.For(ctx, chaos.Between(random, 100*time.Millisecond, 3*time.Second))
	_ = r.proxies.Up(link)
}

func (r *run) storeFault(ctx context.Context, faults store.Faults, hold time.Duration) {
	_ = r.whole.Store.Control(context.Background(), "faults", faults)
	pause.For(ctx, hold)
	_ = r.whole.Store.Control(context.Background(), "faults", store.Faults{})
}

func (r *run) storeDown(ctx context.Context, random *rand.Rand, _ int) {
	r.storeFault(ctx, store.Faults{Down: true}, chaos.Between(random, 100*time.Millisecond, 4*time.Second))
}

func (r *run) storeSlow(ctx context.Context, random *rand.Rand, _ int) {
	delay := chaos.Between(random, 10*time.Millisecond, 500*time.Millisecond)
	r.storeFault(ctx, store.Faults{Delay: usher.Duration(delay)}, chaos.Between(random, 100*time.Millisecond, 3*time.Second))
}

func (r *run) storeLosesAnswers(ctx context.Context, random *rand.Rand, _ int) {
	r.storeFault(ctx, store.Faults{LoseAnswers: 1 + random.IntN(20)}, chaos.Between(random, 100*time.Millisecond, 2*time.Second))
}

func (r *run) storeWritesLate(ctx context.Context, random *rand.Rand, _ int) {
	late := chaos.Between(random, 10*time.Millisecond, 4*time.Second)
	faults := store.Faults{LateWrites: 1 + random.IntN(20), LateBy: usher.Duration(late)}
	r.storeFault(ctx, faults, chaos.Between(random, 100*time.Millisecond, 2*time.Second))
}
