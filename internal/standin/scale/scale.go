// Package scale measures how the propagation of configuration changes scales with
// the size of the fleet. It runs many entries and companions against one store,
// changes the configuration, and reports how long a change takes to become active
// on the last process and what it costs the store and each process.
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

// Plan describes one run: the size of the fleet, the size of the configuration and
// the changes that are made to it.
type Plan struct {
	Companions int `json:"companions"`
	Entries    int `json:"entries"`
	Zones      int `json:"zones"`
	Services   int `json:"services"`
	Workspaces int `json:"workspaces"`
	// Changes is the number of configuration changes, of one workspace each, and
	// Rate how many are made per second.
	Changes int     `json:"changes"`
	Rate    float64 `json:"rate"`
	// Burst is the number of further changes that are made as fast as the store
	// accepts them.
	Burst int `json:"burst"`
	// IdleDuration is how long the fleet is measured without any change.
	IdleDuration time.Duration `json:"-"`
	// OutageDuration is how long the store is down. Afterwards the fleet's calls are
	// counted for the same time.
	OutageDuration time.Duration `json:"-"`
}

// Nodes returns the number of the product's processes.
func (p *Plan) Nodes() int { return p.Companions + p.Entries }

// Result is the result of a run. Idle, Changing and Bursting are the costs while
// there are no changes, during the planned changes, and during the burst.
type Result struct {
	Plan
	// ReadySeconds is the time until all processes of the fleet, started together,
	// were ready, and StartCalls the number of store calls during that time.
	ReadySeconds float64 `json:"readySeconds"`
	StartCalls   int64   `json:"startCalls"`
	Idle         Cost    `json:"idle"`
	Changing     Cost    `json:"changing"`
	Bursting     Cost    `json:"bursting"`
	// Delays are measured from the acceptance of a change until it is active on
	// the last process.
	Delays      DelayStats `json:"delays"`
	BurstDelays DelayStats `json:"burstDelays"`
	// BurstRate is the number of changes per second that the store accepted in the
	// burst.
	BurstRate float64 `json:"burstRate"`
	// RecoveryCallsPerSecond is the rate of store calls directly after the outage.
	RecoveryCallsPerSecond float64     `json:"returnCallsPerSecond"`
	Memory                 MemoryStats `json:"memory"`
}

// zoneName returns the name of the availability zone with a number.
func zoneName(number int) usher.AvailabilityZone {
	return usher.AvailabilityZone("zone-" + strconv.Itoa(number))
}

// runner is the state of one run.
type runner struct {
	plan               Plan
	fleet              *fleet.Cluster
	operator           *operator.Client
	nodes              []*fleet.Member
	companionAddresses []string
}

// Run executes a plan. It stops the fleet before it returns.
func Run(ctx context.Context, binaries fleet.Binaries, plan Plan) (*Result, error) {
	// Limit the threads of each process, because hundreds of processes share the
	// machine.
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
	steps := []func(context.Context, *Result) error{r.applyConfig, r.startFleet, r.measureIdle, r.measureChanges, r.measureBurst, r.measureOutage}
	for _, step := range steps {
		if err := step(ctx, result); err != nil {
			return result, err
		}
	}
	result.Memory = r.measureMemory()
	return result, nil
}

// applyConfig applies the whole configuration as one change. The companions'
// addresses are chosen first, because they are part of the configuration.
func (r *runner) applyConfig(ctx context.Context, _ *Result) error {
	var err error
	if r.companionAddresses, err = freeLoopbackAddresses(r.plan.Companions); err != nil {
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
	for i, address := range r.companionAddresses {
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

// freeLoopbackAddresses returns addresses that nothing listens on. Each has its own
// IP address in the loopback network: the kernel also assigns ports of 127.0.0.1 to
// outgoing connections, so a free port there may be taken before it is used.
func freeLoopbackAddresses(count int) ([]string, error) {
	const hostsPerSubnet, port = 250, ":9090"
	network := "127." + strconv.Itoa(2+rand.IntN(250)) + "."
	var addresses []string
	for number := 0; len(addresses) < count && number < 250*hostsPerSubnet; number++ {
		address := network + strconv.Itoa(number/hostsPerSubnet) + "." + strconv.Itoa(1+number%hostsPerSubnet) + port
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		addresses = append(addresses, address)
	}
	if len(addresses) < count {
		return nil, &TooFewAddressesError{Wanted: count, Found: len(addresses)}
	}
	return addresses, nil
}

// TooFewAddressesError is returned if the loopback network has too few free addresses.
type TooFewAddressesError struct{ Wanted, Found int }

// Error implements error.
func (e *TooFewAddressesError) Error() string {
	return "only " + strconv.Itoa(e.Found) + " of " + strconv.Itoa(e.Wanted) + " loopback addresses are free"
}

// maxParallelStarts is the maximum number of processes that are started at the same
// time.
const maxParallelStarts = 16

// startFleet starts all processes and waits until each of them is ready.
func (r *runner) startFleet(ctx context.Context, result *Result) error {
	before, err := r.storeCounts(ctx)
	if err != nil {
		return err
	}
	started := time.Now()
	r.nodes = make([]*fleet.Member, r.plan.Nodes())
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelStarts)
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
		if err := node.AwaitReady(context.WithoutCancel(ctx)); err != nil {
			return err
		}
	}
	after, err := r.storeCounts(context.WithoutCancel(ctx))
	result.ReadySeconds = time.Since(started).Seconds()
	result.StartCalls = totalCalls(after) - totalCalls(before)
	return err
}

// startNode starts the process with index i. The companions come first, then the
// entries. Nothing listens at the companions' backend address, because no requests
// are sent.
func (r *runner) startNode(i int) (*fleet.Member, error) {
	logFlags := []string{"--log-level", "info"}
	if i < r.plan.Companions {
		endpoint := usher.Endpoint{Name: endpointName(i), AvailabilityZone: zoneName(i % r.plan.Zones)}
		return r.fleet.Companion(r.fleet.Store.Address, endpoint, "127.0.0.1:9", usher.ServicePlain, append(logFlags, "--listen", r.companionAddresses[i])...)
	}
	return r.fleet.Entry("entry-"+strconv.Itoa(i), r.fleet.Store.Address, zoneName(i%r.plan.Zones), logFlags...)
}

const (
	// settleDelay lets the connections of a started fleet become stable.
	settleDelay = 5 * time.Second
	// settleTimeout is the maximum time to wait for surplus watches to close:
	// processes watch the store in place of peers that have not started yet.
	settleTimeout = time.Minute
	// watchersPerZone is the number of processes per availability zone that watch
	// the store in a stable fleet.
	watchersPerZone = 2
)

// waitSettled waits until only watchersPerZone processes per availability zone
// watch the store. After settleTimeout it returns without an error.
func (r *runner) waitSettled(ctx context.Context) error {
	time.Sleep(settleDelay)
	for began := time.Now(); time.Since(began) < settleTimeout; time.Sleep(time.Second) {
		counts, err := r.storeCounts(ctx)
		if err != nil || counts.Waiting <= int64(r.plan.Zones*watchersPerZone) {
			return err
		}
	}
	return nil
}

func (r *runner) measureIdle(ctx context.Context, result *Result) error {
	if err := r.waitSettled(ctx); err != nil {
		return err
	}
	meter, err := r.startMeter(ctx)
	if err != nil {
		return err
	}
	time.Sleep(r.plan.IdleDuration)
	result.Idle, err = meter.cost(ctx)
	return err
}

// measureChanges makes the changes at the planned rate and measures their delays
// and cost.
func (r *runner) measureChanges(ctx context.Context, result *Result) error {
	if r.plan.Changes == 0 {
		return nil
	}
	meter, err := r.startMeter(ctx)
	if err != nil {
		return err
	}
	ticker := time.NewTicker(time.Duration(float64(time.Second) / r.plan.Rate))
	defer ticker.Stop()
	var accepted []versionTime
	for n := range r.plan.Changes {
		<-ticker.C
		change, err := r.changeWorkspace(ctx, n)
		if err != nil {
			return err
		}
		accepted = append(accepted, change)
	}
	if result.Delays, err = r.measureDelays(ctx, accepted); err != nil {
		return err
	}
	result.Changing, err = meter.cost(ctx)
	return err
}

// versionTime is the time at which a version was accepted by the store or became
// active on a process.
type versionTime struct {
	version usher.Version
	at      time.Time
}

func (r *runner) changeWorkspace(ctx context.Context, n int) (versionTime, error) {
	number := n % r.plan.Workspaces
	head, err := r.operator.Put(ctx, config.KindWorkspace, workspaceName(number), workspace(number, 2+n))
	if err != nil {
		return versionTime{}, err
	}
	return versionTime{version: head.Version, at: time.Now()}, nil
}

// burstWriters is the number of concurrent writers in a burst.
const burstWriters = 4

// measureBurst makes changes as fast as the store accepts them and measures their
// delays and cost.
func (r *runner) measureBurst(ctx context.Context, result *Result) error {
	if r.plan.Burst == 0 {
		return nil
	}
	meter, err := r.startMeter(ctx)
	if err != nil {
		return err
	}
	accepted := make([]versionTime, r.plan.Burst)
	started := time.Now()
	group, _ := errgroup.WithContext(ctx)
	for writer := range burstWriters {
		group.Go(func() error {
			for n := writer; n < r.plan.Burst; n += burstWriters {
				change, err := r.changeWorkspace(ctx, r.plan.Changes+n)
				if err != nil {
					return err
				}
				accepted[n] = change
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	result.BurstRate = float64(r.plan.Burst) / time.Since(started).Seconds()
	if result.BurstDelays, err = r.measureDelays(ctx, accepted); err != nil {
		return err
	}
	result.Bursting, err = meter.cost(ctx)
	return err
}

// measureOutage makes the store unavailable and measures the rate of calls after
// its recovery.
func (r *runner) measureOutage(ctx context.Context, result *Result) error {
	if r.plan.OutageDuration == 0 {
		return nil
	}
	if err := r.fleet.Store.PutControl(ctx, "faults", store.Faults{Down: true}); err != nil {
		return err
	}
	time.Sleep(r.plan.OutageDuration)
	if err := r.fleet.Store.PutControl(ctx, "faults", store.Faults{}); err != nil {
		return err
	}
	before, err := r.storeCounts(ctx)
	if err != nil {
		return err
	}
	time.Sleep(r.plan.OutageDuration)
	after, err := r.storeCounts(ctx)
	result.RecoveryCallsPerSecond = float64(totalCalls(after)-totalCalls(before)) / r.plan.OutageDuration.Seconds()
	return err
}
