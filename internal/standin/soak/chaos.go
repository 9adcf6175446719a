package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"filbertusher/internal/config"
	"filbertusher/internal/pause"
	"filbertusher/internal/standin/fault"
	"filbertusher/internal/standin/fleet"
	"filbertusher/internal/standin/store"
	"filbertusher/pkg/usher"
)

// target is what one fault has to itself while it holds. Faults of different
// targets overlap.
type target struct {
	mu   sync.Mutex
	kind string
	at   int
}

// chance is one kind of fault. hit brings it about, holds it and ends it.
type chance struct {
	name   string
	target string
	weight int
	hit    func(ctx context.Context, random *rand.Rand, at int)
}

func (r *run) chances() []chance {
	return []chance{
		{"companion killed", "companion", 4, r.killCompanion},
		{"companion stopped as planned", "companion", 2, r.stopCompanion},
		{"companion frozen", "companion", 3, r.freezeCompanion},
		{"companion frozen and replaced", "companion", 3, r.replaceCompanion},
		{"entry killed", "entry", 2, r.killEntry},
		{"entry frozen", "entry", 2, r.freezeEntry},
		{"companion's link cut", "companionLink", 3, r.cutCompanion},
		{"companion's link drops requests", "companionLink", 2, r.dropRequests},
		{"companion's link drops replies", "companionLink", 2, r.dropReplies},
		{"companion's link is slow", "companionLink", 2, r.slowCompanion},
		{"endpoint's link cut", "desk", 2, r.cutDesk},
		{"endpoint's link drops answers", "desk", 1, r.dropAnswers},
		{"endpoint slow", "desk", 2, r.slowDesk},
		{"companion cut off from the store", "storeLink", 2, r.cutStore},
		{"store down", "store", 2, r.storeDown},
		{"store slow", "store", 2, r.storeSlow},
		{"store loses answers", "store", 3, r.storeLosesAnswers},
		{"store writes late", "store", 3, r.storeWritesLate},
	}
}

// chaos brings about faults at random until ctx ends, and waits until the last
// one is over.
func (r *run) chaos(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.options.Seed, 1<<32))
	chances := r.chances()
	var targets []*target
	for _, kind := range []string{"companion", "companionLink", "desk", "storeLink"} {
		for at := range r.options.Desks {
			targets = append(targets, &target{kind: kind, at: at})
		}
	}
	for at := range r.options.Entries {
		targets = append(targets, &target{kind: "entry", at: at})
	}
	targets = append(targets, &target{kind: "store"})
	room := make(chan struct{}, r.options.Overlap)
	var group sync.WaitGroup
	defer group.Wait()
	for ctx.Err() == nil {
		pause.For(ctx, time.Duration(random.Int64N(int64(2*r.options.FaultGap))))
		select {
		case room <- struct{}{}:
		case <-ctx.Done():
			return
		}
		one := pick(random, chances)
		own := free(random, targets, one.target)
		if own == nil {
			<-room
			continue
		}
		// Each fault draws from a source of its own, so that its length does
		// not depend on how the others ended.
		source := rand.New(rand.NewPCG(random.Uint64(), 0))
		r.count(one.name)
		group.Go(func() {
			one.hit(ctx, source, own.at)
			own.mu.Unlock()
			<-room
		})
	}
}

func pick(random *rand.Rand, chances []chance) chance {
	total := 0
	for _, one := range chances {
		total += one.weight
	}
	left := random.IntN(total)
	for _, one := range chances {
		if left -= one.weight; left < 0 {
			return one
		}
	}
	return chances[0]
}

// free locks a target of the kind that no other fault has.
func free(random *rand.Rand, targets []*target, kind string) *target {
	start := random.IntN(len(targets))
	for i := range targets {
		one := targets[(start+i)%len(targets)]
		if one.kind == kind && one.mu.TryLock() {
			return one
		}
	}
	return nil
}

func (r *run) count(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[name]++
}

// between returns a duration from least to most.
func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
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
	pause.For(ctx, between(random, 100*time.Millisecond, 6*time.Second))
	frozen.Signal(syscall.SIGCONT)
}

// replaceCompanion lets an old incarnation wake beside the new one.
func (r *run) replaceCompanion(ctx context.Context, random *rand.Rand, at int) {
	r.noteInFlight(at)
	old := r.companion(at)
	old.Signal(syscall.SIGSTOP)
	r.restartCompanion(at)
	pause.For(ctx, between(random, 100*time.Millisecond, 4*time.Second))
	old.Signal(syscall.SIGCONT)
	pause.For(ctx, between(random, 100*time.Millisecond, 2*time.Second))
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
	pause.For(ctx, between(random, 100*time.Millisecond, 4*time.Second))
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
	pause.For(ctx, between(random, 0, 3*time.Second))
	_ = r.proxies.Up(link)
}

func (r *run) dropRequests(ctx context.Context, random *rand.Rand, at int) {
	r.toxic(ctx, r.link(at), drop(fault.Upstream), between(random, 100*time.Millisecond, 5*time.Second))
}

func (r *run) dropReplies(ctx context.Context, random *rand.Rand, at int) {
	r.toxic(ctx, r.link(at), drop(fault.Downstream), between(random, 100*time.Millisecond, 5*time.Second))
}

func (r *run) slowCompanion(ctx context.Context, random *rand.Rand, at int) {
	r.toxic(ctx, r.link(at), slow(between(random, 10*time.Millisecond, 300*time.Millisecond)), between(random, 100*time.Millisecond, 3*time.Second))
}

func (r *run) cutDesk(_ context.Context, _ *rand.Rand, at int) {
	r.noteInFlight(at)
	_ = r.proxies.Cut(fmt.Sprintf("desk-%d", at))
}

func (r *run) dropAnswers(ctx context.Context, random *rand.Rand, at int) {
	r.noteInFlight(at)
	r.toxic(ctx, fmt.Sprintf("desk-%d", at), drop(fault.Downstream), between(random, 100*time.Millisecond, time.Second))
}

func (r *run) slowDesk(ctx context.Context, random *rand.Rand, at int) {
	_ = r.whole.Desks[at].Control(context.Background(), "delay", between(random, 10*time.Millisecond, 400*time.Millisecond).String())
	pause.For(ctx, between(random, 100*time.Millisecond, 3*time.Second))
	_ = r.whole.Desks[at].Control(context.Background(), "delay", "2ms")
}

func (r *run) cutStore(ctx context.Context, random *rand.Rand, at int) {
	link := "store-of-" + string(endpointName(at))
	if r.proxies.Down(link) != nil {
		return
	}
	pause.For(ctx, between(random, 100*time.Millisecond, 3*time.Second))
	_ = r.proxies.Up(link)
}

func (r *run) storeFault(ctx context.Context, faults store.Faults, hold time.Duration) {
	_ = r.whole.Store.Control(context.Background(), "faults", faults)
	pause.For(ctx, hold)
	_ = r.whole.Store.Control(context.Background(), "faults", store.Faults{})
}

func (r *run) storeDown(ctx context.Context, random *rand.Rand, _ int) {
	r.storeFault(ctx, store.Faults{Down: true}, between(random, 100*time.Millisecond, 4*time.Second))
}

func (r *run) storeSlow(ctx context.Context, random *rand.Rand, _ int) {
	delay := between(random, 10*time.Millisecond, 500*time.Millisecond)
	r.storeFault(ctx, store.Faults{Delay: usher.Duration(delay)}, between(random, 100*time.Millisecond, 3*time.Second))
}

func (r *run) storeLosesAnswers(ctx context.Context, random *rand.Rand, _ int) {
	r.storeFault(ctx, store.Faults{LoseAnswers: 1 + random.IntN(20)}, between(random, 100*time.Millisecond, 2*time.Second))
}

func (r *run) storeWritesLate(ctx context.Context, random *rand.Rand, _ int) {
	late := between(random, 10*time.Millisecond, 4*time.Second)
	faults := store.Faults{LateWrites: 1 + random.IntN(20), LateBy: usher.Duration(late)}
	r.storeFault(ctx, faults, between(random, 100*time.Millisecond, 2*time.Second))
}
