// Package scale measures what the spread of the configuration costs as the
// fleet grows: it runs many small entries and companions around one store,
// changes the configuration, and reports how long a change takes until the last
// process has it in force and what it costs the store and every process.
package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"filbertusher/internal/config"
	"filbertusher/internal/operator"
	"filbertusher/internal/standin/fleet"
	"filbertusher/internal/standin/store"
	"filbertusher/pkg/usher"
)

// Plan is one run.
type Plan struct {
	Companions int `json:"companions"`
	Entries    int `json:"entries"`
	Zones      int `json:"zones"`
	Services   int `json:"services"`
	Workspaces int `json:"workspaces"`
	// Changes of one workspace each are made Rate times a second.
	Changes int     `json:"changes"`
	Rate    float64 `json:"rate"`
	// Burst is how many further changes are made as fast as the store takes them.
	Burst int `json:"burst"`
	// Idle is how long the fleet is watched without any change.
	Idle time.Duration `json:"-"`
	// Outage is how long the store is down, after which the fleet's calls are
	// counted for as long again.
	Outage time.Duration `json:"-"`
}

// Nodes is the number of processes of the product.
func (p *Plan) Nodes() int { return p.Companions + p.Entries }

// Result is what a run gave. Costs are those of one process.
type Result struct {
	Plan
	// ReadySeconds is how long the start of the whole fleet at once took, and
	// StartCalls what it cost the store in all.
	ReadySeconds float64 `json:"readySeconds"`
	StartCalls   int64   `json:"startCalls"`
	Idle         Cost    `json:"idle"`
	Changing     Cost    `json:"changing"`
	Bursting     Cost    `json:"bursting"`
	// Delays are from the acceptance of a change to the moment at which the
	// last process had it in force.
	Delays      Delays `json:"delays"`
	BurstDelays Delays `json:"burstDelays"`
	// BurstRate is how many changes a second the store took in the burst.
	BurstRate float64 `json:"burstRate"`
	// ReturnCallsPerSecond is the store's calls a second just after an outage.
	ReturnCallsPerSecond float64 `json:"returnCallsPerSecond"`
	Memory               Memory  `json:"memory"`
}

// zoneName returns the name of a zone by number.
func zoneName(number int) usher.AvailabilityZone {
	return usher.AvailabilityZone("zone-" + strconv.Itoa(number))
}

// runner is the state of one run.
type runner struct {
	plan     Plan
	fleet    *fleet.Fleet
	operator *operator.Client
	nodes    []*fleet.Member
	ports    []string
}

// Run runs a plan. The fleet is ended before it returns.
func Run(ctx context.Context, binaries fleet.Binaries, plan Plan) (*Result, error) {
	// A few threads each keep hundreds of processes from crowding each other out.
	if err := os.Setenv("GOMAXPROCS", "2"); err != nil {
		return nil, err
	}
	started, err := fleet.New(binaries)
	if err != nil {
		return nil, err
	}
	defer started.Close()
	r := &runner{plan: plan, fleet: started, operator: operator.New(started.Client, "scale")}
	result := &Result{Plan: plan}
	steps := []func(context.Context, *Result) error{r.declare, r.start, r.idle, r.change, r.burst, r.outage}
	for _, step := range steps {
		if err := step(ctx, result); err != nil {
			return result, err
		}
	}
	result.Memory = r.memory()
	return result, nil
}

// declare accepts the whole configuration as one change. Every companion's
// address is set aside first, because it is part of the configuration.
func (r *runner) declare(ctx context.Context, _ *Result) error {
	var err error
	if r.ports, err = freeAddresses(r.plan.Companions); err != nil {
		return err
	}
	change := operator.Change{}
	add := func(kind config.Kind, name string, value any) {
		encoded, _ := json.Marshal(value)
		change.Put = append(change.Put, usher.Object{Key: config.Key(kind, name), Value: encoded})
	}
	add(config.KindTier, "normal", usher.Tier{Name: "normal", Rank: 1, Deadline: usher.Duration(time.Minute)})
	for i := range r.plan.Services {
		name := "service-" + strconv.Itoa(i)
		add(config.KindService, name, usher.Service{Name: usher.ServiceName(name), Kind: usher.ServicePlain, Idempotent: true})
	}
	for i, address := range r.ports {
		name := endpointName(i)
		add(config.KindEndpoint, string(name), usher.Endpoint{
			Name: name, Service: usher.ServiceName("service-" + strconv.Itoa(i%r.plan.Services)),
			AvailabilityZone: zoneName(i % r.plan.Zones), Companion: address, Fencing: usher.FencingIgnored,
		})
	}
	for i := range r.plan.Workspaces {
		add(config.KindWorkspace, workspaceName(i), workspace(i, 1))
	}
	_, err = r.operator.Apply(ctx, change)
	return err
}

func endpointName(number int) usher.EndpointName {
	return usher.EndpointName("endpoint-" + strconv.Itoa(number))
}

func workspaceName(number int) string { return fmt.Sprintf("workspace-%05d", number) }

func workspace(number, share int) usher.Workspace {
	name := workspaceName(number)
	return usher.Workspace{
		Name: usher.WorkspaceName(name), Tiers: []usher.TierName{"normal"}, FairShareWeight: share,
		Tokens: []usher.BearerToken{{Name: "main", SHA256: string(usher.DigestOf([]byte(name)))}},
	}
}

// freeAddresses returns addresses that nothing listens on. Each is an address of
// its own within the loopback network, because the ports of 127.0.0.1 are also
// given out to connections, and one may be taken before it is used.
func freeAddresses(count int) ([]string, error) {
	const perNetwork, port = 250, ":9090"
	network := "127." + strconv.Itoa(2+rand.IntN(250)) + "."
	var addresses []string
	for number := 0; len(addresses) < count && number < 250*perNetwork; number++ {
		address := network + strconv.Itoa(number/perNetwork) + "." + strconv.Itoa(1+number%perNetwork) + port
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		addresses = append(addresses, address)
	}
	if len(addresses) < count {
		return nil, &NoAddressError{Wanted: count, Found: len(addresses)}
	}
	return addresses, nil
}

// NoAddressError is returned when the loopback network has too few free
// addresses.
type NoAddressError struct{ Wanted, Found int }

// Error implements error.
func (e *NoAddressError) Error() string {
	return "only " + strconv.Itoa(e.Found) + " of " + strconv.Itoa(e.Wanted) + " loopback addresses are free"
}

// startParallel bounds how many processes are started at the same time.
const startParallel = 16

// start brings up the whole fleet and waits until every process is ready.
func (r *runner) start(ctx context.Context, result *Result) error {
	before, err := r.calls(ctx)
	if err != nil {
		return err
	}
	started := time.Now()
	r.nodes = make([]*fleet.Member, r.plan.Nodes())
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(startParallel)
	for i := range r.nodes {
		group.Go(func() error {
			member, err := r.startNode(i)
			r.nodes[i] = member
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	for _, node := range r.nodes {
		if err := node.Ready(context.WithoutCancel(ctx)); err != nil {
			return err
		}
	}
	after, err := r.calls(context.WithoutCancel(ctx))
	result.ReadySeconds = time.Since(started).Seconds()
	result.StartCalls = total(after) - total(before)
	return err
}

// startNode starts a companion, or an entry once all companions are counted.
// What the companions stand beside is never called.
func (r *runner) startNode(i int) (*fleet.Member, error) {
	quiet := []string{"--log-level", "info"}
	if i < r.plan.Companions {
		endpoint := usher.Endpoint{Name: endpointName(i), AvailabilityZone: zoneName(i % r.plan.Zones)}
		return r.fleet.Companion(r.fleet.Store.Address, endpoint, "127.0.0.1:9", usher.ServicePlain, append(quiet, "--listen", r.ports[i])...)
	}
	return r.fleet.Entry("entry-"+strconv.Itoa(i), r.fleet.Store.Address, zoneName(i%r.plan.Zones), quiet...)
}

const (
	// settleTime lets the connections of a started fleet come to rest.
	settleTime = 5 * time.Second
	// settleLimit bounds the wait for the watches of processes that took over
	// from peers which had not started yet.
	settleLimit = time.Minute
	// treesPerZone is how many processes of a zone watch the store at rest.
	treesPerZone = 2
)

// settle waits until no more processes watch the store than the trees need.
func (r *runner) settle(ctx context.Context) error {
	time.Sleep(settleTime)
	for began := time.Now(); time.Since(began) < settleLimit; time.Sleep(time.Second) {
		counts, err := r.calls(ctx)
		if err != nil || counts.Waiting <= int64(r.plan.Zones*treesPerZone) {
			return err
		}
	}
	return nil
}

func (r *runner) idle(ctx context.Context, result *Result) error {
	if err := r.settle(ctx); err != nil {
		return err
	}
	meter, err := r.meter(ctx)
	if err != nil {
		return err
	}
	time.Sleep(r.plan.Idle)
	result.Idle, err = meter.read(ctx)
	return err
}

// change makes the changes at the planned rate.
func (r *runner) change(ctx context.Context, result *Result) error {
	if r.plan.Changes == 0 {
		return nil
	}
	meter, err := r.meter(ctx)
	if err != nil {
		return err
	}
	ticker := time.NewTicker(time.Duration(float64(time.Second) / r.plan.Rate))
	defer ticker.Stop()
	var accepted []acceptance
	for n := range r.plan.Changes {
		<-ticker.C
		one, err := r.changeOne(ctx, n)
		if err != nil {
			return err
		}
		accepted = append(accepted, one)
	}
	if result.Delays, err = r.delays(ctx, accepted); err != nil {
		return err
	}
	result.Changing, err = meter.read(ctx)
	return err
}

// acceptance is when a version was accepted.
type acceptance struct {
	version usher.Version
	at      time.Time
}

func (r *runner) changeOne(ctx context.Context, n int) (acceptance, error) {
	number := n % r.plan.Workspaces
	head, err := r.operator.Put(ctx, config.KindWorkspace, workspaceName(number), workspace(number, 2+n))
	if err != nil {
		return acceptance{}, err
	}
	return acceptance{version: head.Version, at: time.Now()}, nil
}

// burstWriters is how many operators change the configuration in a burst.
const burstWriters = 4

// burst makes changes as fast as the store takes them.
func (r *runner) burst(ctx context.Context, result *Result) error {
	if r.plan.Burst == 0 {
		return nil
	}
	meter, err := r.meter(ctx)
	if err != nil {
		return err
	}
	accepted := make([]acceptance, r.plan.Burst)
	started := time.Now()
	group, _ := errgroup.WithContext(ctx)
	for writer := range burstWriters {
		group.Go(func() error {
			for n := writer; n < r.plan.Burst; n += burstWriters {
				one, err := r.changeOne(ctx, r.plan.Changes+n)
				if err != nil {
					return err
				}
				accepted[n] = one
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	result.BurstRate = float64(r.plan.Burst) / time.Since(started).Seconds()
	if result.BurstDelays, err = r.delays(ctx, accepted); err != nil {
		return err
	}
	result.Bursting, err = meter.read(ctx)
	return err
}

// outage takes the store down and counts the calls after its return.
func (r *runner) outage(ctx context.Context, result *Result) error {
	if r.plan.Outage == 0 {
		return nil
	}
	if err := r.fleet.Store.Control(ctx, "faults", store.Faults{Down: true}); err != nil {
		return err
	}
	time.Sleep(r.plan.Outage)
	if err := r.fleet.Store.Control(ctx, "faults", store.Faults{}); err != nil {
		return err
	}
	before, err := r.calls(ctx)
	if err != nil {
		return err
	}
	time.Sleep(r.plan.Outage)
	after, err := r.calls(ctx)
	result.ReturnCallsPerSecond = float64(total(after)-total(before)) / r.plan.Outage.Seconds()
	return err
}
