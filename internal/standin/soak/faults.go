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

func (r *run) faultKinds() []chaos.Fault {
	// A frozen process is suspended with SIGSTOP and resumed with SIGCONT later.
	return []chaos.Fault{
		{Name: "companion killed", Target: "companion", Weight: 4, Inject: r.killCompanion},
		{Name: "companion stopped as planned", Target: "companion", Weight: 2, Inject: r.stopCompanion},
		{Name: "companion frozen", Target: "companion", Weight: 3, Inject: r.freezeCompanion},
		{Name: "companion frozen and replaced", Target: "companion", Weight: 3, Inject: r.replaceCompanion},
		{Name: "entry killed", Target: "entry", Weight: 2, Inject: r.killEntry},
		{Name: "entry frozen", Target: "entry", Weight: 2, Inject: r.freezeEntry},
		{Name: "companion's link cut", Target: "companionLink", Weight: 3, Inject: r.cutCompanion},
		{Name: "companion's link drops requests", Target: "companionLink", Weight: 2, Inject: r.dropRequests},
		{Name: "companion's link drops responses", Target: "companionLink", Weight: 2, Inject: r.dropResponses},
		{Name: "companion's link is slow", Target: "companionLink", Weight: 2, Inject: r.slowCompanion},
		{Name: "endpoint's link cut", Target: "orderService", Weight: 2, Inject: r.cutOrderService},
		{Name: "endpoint's link drops responses", Target: "orderService", Weight: 1, Inject: r.dropOrderResponses},
		{Name: "endpoint slow", Target: "orderService", Weight: 2, Inject: r.slowOrderService},
		{Name: "companion cut off from the store", Target: "storeLink", Weight: 2, Inject: r.cutStore},
		{Name: "store down", Target: "store", Weight: 2, Inject: r.storeDown},
		{Name: "store slow", Target: "store", Weight: 2, Inject: r.storeSlow},
		{Name: "store loses responses", Target: "store", Weight: 3, Inject: r.storeLosesResponses},
		{Name: "store writes late", Target: "store", Weight: 3, Inject: r.storeWritesLate},
	}
}

// injectFaults injects random faults until ctx is done, and waits for the active
// ones to end.
func (r *run) injectFaults(ctx context.Context) {
	services := r.options.OrderServices
	chaos.Run(ctx, &chaos.Plan{
		Seed: r.options.Seed, Faults: r.faultKinds(), MaxConcurrent: r.options.MaxConcurrentFaults, MeanPause: r.options.MeanFaultPause,
		Targets: map[string]int{
			"companion": services, "companionLink": services, "orderService": services, "storeLink": services,
			"entry": r.options.Entries, "store": 1,
		},
		OnStart: r.countFault,
	})
}

func (r *run) countFault(name string, _ int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[name]++
}

func (r *run) companion(index int) *fleet.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.companions[index]
}

// countInFlight counts the requests that a companion has dispatched. A fault may
// leave their outcome unknown.
func (r *run) countInFlight(index int) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var dump struct {
		Companion struct{ Requests struct{ Dispatched int } }
	}
	if r.companion(index).Dump(ctx, &dump) != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight += dump.Companion.Requests.Dispatched
}

func (r *run) killCompanion(_ context.Context, _ *rand.Rand, index int) {
	r.countInFlight(index)
	r.companion(index).Kill()
	r.restartCompanion(index)
}

func (r *run) stopCompanion(_ context.Context, _ *rand.Rand, index int) {
	_ = r.companion(index).Stop()
	r.restartCompanion(index)
}

func (r *run) freezeCompanion(ctx context.Context, random *rand.Rand, index int) {
	r.countInFlight(index)
	frozen := r.companion(index)
	frozen.Signal(syscall.SIGSTOP)
	pause.For(ctx, chaos.RandomDuration(random, 100*time.Millisecond, 6*time.Second))
	frozen.Signal(syscall.SIGCONT)
}

// replaceCompanion suspends a companion, starts a new incarnation, and resumes the
// old one while the new one runs.
func (r *run) replaceCompanion(ctx context.Context, random *rand.Rand, index int) {
	r.countInFlight(index)
	old := r.companion(index)
	old.Signal(syscall.SIGSTOP)
	r.restartCompanion(index)
	pause.For(ctx, chaos.RandomDuration(random, 100*time.Millisecond, 4*time.Second))
	old.Signal(syscall.SIGCONT)
	pause.For(ctx, chaos.RandomDuration(random, 100*time.Millisecond, 2*time.Second))
	old.Kill()
}

// restartTimeout bounds the attempts to write the address of a new companion to
// the configuration.
const restartTimeout = time.Minute

// restartCompanion starts a new incarnation at a new address and writes the address
// to the configuration. It retries the write, because the store may be down.
func (r *run) restartCompanion(index int) {
	ctx, cancel := context.WithTimeout(context.Background(), restartTimeout)
	defer cancel()
	declared := usher.Endpoint{
		Name: endpointName(index), Service: fleet.Orders, AvailabilityZone: fleet.Zone, Fencing: usher.FencingIgnored,
	}
	backendAddress, backendErr := r.proxies.Address(fmt.Sprintf("desk-%d", index))
	storeAddress, storeErr := r.proxies.Address("store-of-" + string(endpointName(index)))
	if backendErr != nil || storeErr != nil {
		return
	}
	member, err := r.deployment.Companion(storeAddress, declared, backendAddress, usher.ServicePlain, r.companionArgs()...)
	if err != nil {
		r.histories.addViolation("starting a companion: %v", err)
		return
	}
	r.mu.Lock()
	r.restarts++
	link := fmt.Sprintf("%s-%d", companionLink(index), r.restarts)
	r.companions[index] = member
	r.links[index] = link
	r.mu.Unlock()
	if declared.Companion, err = r.proxies.StartProxy(link, member.Address); err != nil {
		r.histories.addViolation("starting the proxy of a companion: %v", err)
		return
	}
	for ctx.Err() == nil {
		if _, err := r.deployment.Put(ctx, config.KindEndpoint, string(declared.Name), declared); err == nil {
			return
		}
		pause.For(ctx, 100*time.Millisecond)
	}
}

func (r *run) killEntry(_ context.Context, _ *rand.Rand, index int) {
	r.mu.Lock()
	old := r.entries[index]
	r.mu.Unlock()
	old.Kill()
	member, err := r.deployment.Entry(old.Name, r.deployment.Store.Address, fleet.Zone)
	if err != nil {
		r.histories.addViolation("starting an entry: %v", err)
		return
	}
	r.mu.Lock()
	r.entries[index] = member
	r.mu.Unlock()
}

func (r *run) freezeEntry(ctx context.Context, random *rand.Rand, index int) {
	r.mu.Lock()
	frozen := r.entries[index]
	r.mu.Unlock()
	frozen.Signal(syscall.SIGSTOP)
	pause.For(ctx, chaos.RandomDuration(random, 100*time.Millisecond, 4*time.Second))
	frozen.Signal(syscall.SIGCONT)
}

func (r *run) link(index int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.links[index]
}

// holdToxic applies a toxic to a link for a while. Afterwards it closes the
// connections of the link, because the data dropped from them is missing.
func (r *run) holdToxic(ctx context.Context, link string, toxic fault.Toxic, hold time.Duration) {
	if r.proxies.AddToxic(link, toxic) != nil {
		return
	}
	pause.For(ctx, hold)
	_ = r.proxies.RemoveToxics(context.Background(), link)
	_ = r.proxies.CloseConnections(link)
}

func dropToxic(direction fault.Direction) fault.Toxic {
	return fault.Toxic{Type: "timeout", Stream: direction, Attributes: map[string]int{"timeout": 0}}
}

func latencyToxic(delay time.Duration) fault.Toxic {
	return fault.Toxic{Type: "latency", Stream: fault.Downstream, Attributes: map[string]int{"latency": int(delay.Milliseconds()), "jitter": int(delay.Milliseconds())}}
}

func (r *run) cutCompanion(ctx context.Context, random *rand.Rand, index int) {
	link := r.link(index)
	if r.proxies.Down(link) != nil {
		return
	}
	pause.For(ctx, chaos.RandomDuration(random, 0, 3*time.Second))
	_ = r.proxies.Up(link)
}

func (r *run) dropRequests(ctx context.Context, random *rand.Rand, index int) {
	r.holdToxic(ctx, r.link(index), dropToxic(fault.Upstream), chaos.RandomDuration(random, 100*time.Millisecond, 5*time.Second))
}

func (r *run) dropResponses(ctx context.Context, random *rand.Rand, index int) {
	r.holdToxic(ctx, r.link(index), dropToxic(fault.Downstream), chaos.RandomDuration(random, 100*time.Millisecond, 5*time.Second))
}

func (r *run) slowCompanion(ctx context.Context, random *rand.Rand, index int) {
	r.holdToxic(ctx, r.link(index), latencyToxic(chaos.RandomDuration(random, 10*time.Millisecond, 300*time.Millisecond)), chaos.RandomDuration(random, 100*time.Millisecond, 3*time.Second))
}

func (r *run) cutOrderService(_ context.Context, _ *rand.Rand, index int) {
	r.countInFlight(index)
	_ = r.proxies.CloseConnections(fmt.Sprintf("desk-%d", index))
}

func (r *run) dropOrderResponses(ctx context.Context, random *rand.Rand, index int) {
	r.countInFlight(index)
	r.holdToxic(ctx, fmt.Sprintf("desk-%d", index), dropToxic(fault.Downstream), chaos.RandomDuration(random, 100*time.Millisecond, time.Second))
}

func (r *run) slowOrderService(ctx context.Context, random *rand.Rand, index int) {
	_ = r.deployment.OrderServices[index].PutControl(context.Background(), "delay", chaos.RandomDuration(random, 10*time.Millisecond, 400*time.Millisecond).String())
	pause.For(ctx, chaos.RandomDuration(random, 100*time.Millisecond, 3*time.Second))
	_ = r.deployment.OrderServices[index].PutControl(context.Background(), "delay", "2ms")
}

func (r *run) cutStore(ctx context.Context, random *rand.Rand, index int) {
	link := "store-of-" + string(endpointName(index))
	if r.proxies.Down(link) != nil {
		return
	}
	pause.For(ctx, chaos.RandomDuration(random, 100*time.Millisecond, 3*time.Second))
	_ = r.proxies.Up(link)
}

func (r *run) holdStoreFault(ctx context.Context, faults store.Faults, hold time.Duration) {
	_ = r.deployment.Store.PutControl(context.Background(), "faults", faults)
	pause.For(ctx, hold)
	_ = r.deployment.Store.PutControl(context.Background(), "faults", store.Faults{})
}

func (r *run) storeDown(ctx context.Context, random *rand.Rand, _ int) {
	r.holdStoreFault(ctx, store.Faults{Down: true}, chaos.RandomDuration(random, 100*time.Millisecond, 4*time.Second))
}

func (r *run) storeSlow(ctx context.Context, random *rand.Rand, _ int) {
	delay := chaos.RandomDuration(random, 10*time.Millisecond, 500*time.Millisecond)
	r.holdStoreFault(ctx, store.Faults{Delay: usher.Duration(delay)}, chaos.RandomDuration(random, 100*time.Millisecond, 3*time.Second))
}

func (r *run) storeLosesResponses(ctx context.Context, random *rand.Rand, _ int) {
	r.holdStoreFault(ctx, store.Faults{LostResponses: 1 + random.IntN(20)}, chaos.RandomDuration(random, 100*time.Millisecond, 2*time.Second))
}

func (r *run) storeWritesLate(ctx context.Context, random *rand.Rand, _ int) {
	late := chaos.RandomDuration(random, 10*time.Millisecond, 4*time.Second)
	faults := store.Faults{DelayedWrites: 1 + random.IntN(20), WriteDelay: usher.Duration(late)}
	r.holdStoreFault(ctx, faults, chaos.RandomDuration(random, 100*time.Millisecond, 2*time.Second))
}
