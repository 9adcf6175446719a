package fleet

import (
	"context"
	"errors"
	"strconv"
	"time"

	"filbertusher/internal/config"
	"filbertusher/internal/pause"
	"filbertusher/pkg/usher"
)

// Names of the objects in the configuration of a deployment.
const (
	Model          usher.ModelName        = "advice-1"
	Advice         usher.ServiceName      = "advice"
	Orders         usher.ServiceName      = "orders"
	Regenfass      usher.WorkspaceName    = "regenfass"
	Tallinn        usher.WorkspaceName    = "tallinn"
	TierUrgent     usher.TierName         = "urgent"
	TierNormal     usher.TierName         = "normal"
	TierBatch      usher.TierName         = "batch"
	PresetOrdinary usher.PresetName       = "ordinary"
	PresetPeak     usher.PresetName       = "peak"
	Zone           usher.AvailabilityZone = "ch-mittelland-a"
)

// TokenOf returns the bearer token of a workspace of a deployment.
func TokenOf(workspace usher.WorkspaceName) string { return "token-of-" + string(workspace) }

// Plan lists the processes of a deployment.
type Plan struct {
	Entries int
	// Engines holds the flags of each engine; the engines may differ.
	Engines       [][]string
	OrderServices int
	// CompanionArgs and EntryArgs are appended to the flags of every companion
	// and entry.
	CompanionArgs []string
	EntryArgs     []string
	StoreArgs     []string
	// Proxy returns the address through which others reach a process, for example
	// that of a proxy for it. If it is nil, processes are reached directly. The
	// names of the processes are like engine-0, desk-0 for the first order service,
	// companion-orders-0, and store-of-orders-0 for the store as the companion of
	// that endpoint reaches it.
	Proxy func(process, address string) (string, error)
}

func (p *Plan) addressFor(process, address string) (string, error) {
	if p.Proxy == nil {
		return address, nil
	}
	return p.Proxy(process, address)
}

// Deployment is a complete set of processes from entries to endpoints, with its
// configuration.
type Deployment struct {
	*Cluster
	Entries       []*Member
	Engines       []*Member
	OrderServices []*Member
	Companions    []*Member
	// version is the newest configuration version written during the start.
	version usher.Version
}

// Deploy starts all processes of the plan and waits until the entries are ready.
func Deploy(ctx context.Context, binaries Binaries, plan Plan) (*Deployment, error) {
	cluster, err := New(binaries, plan.StoreArgs...)
	if err != nil {
		return nil, err
	}
	d := &Deployment{Cluster: cluster}
	if err := d.start(ctx, plan); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start(ctx context.Context, plan Plan) error {
	if err := d.writeConfig(ctx); err != nil {
		return err
	}
	for i, args := range plan.Engines {
		engine, err := d.Engine("engine-"+strconv.Itoa(i), append([]string{"--model", string(Model)}, args...)...)
		if err != nil {
			return err
		}
		d.Engines = append(d.Engines, engine)
		endpoint := usher.Endpoint{Name: usher.EndpointName("advice-" + strconv.Itoa(i)), Service: Advice}
		if err := d.addEndpoint(ctx, endpoint, engine, usher.ServiceModel, &plan); err != nil {
			return err
		}
	}
	for i := range plan.OrderServices {
		service, err := d.OrderService("desk-" + strconv.Itoa(i))
		if err != nil {
			return err
		}
		d.OrderServices = append(d.OrderServices, service)
		endpoint := usher.Endpoint{Name: usher.EndpointName("orders-" + strconv.Itoa(i)), Service: Orders}
		if err := d.addEndpoint(ctx, endpoint, service, usher.ServicePlain, &plan); err != nil {
			return err
		}
	}
	for i := range plan.Entries {
		entry, err := d.Entry("entry-"+strconv.Itoa(i), d.Store.Address, Zone, plan.EntryArgs...)
		if err != nil {
			return err
		}
		d.Entries = append(d.Entries, entry)
	}
	for _, entry := range d.Entries {
		if err := d.awaitVersion(ctx, entry); err != nil {
			return err
		}
		if err := d.awaitPeers(ctx, entry); err != nil {
			return err
		}
	}
	return nil
}

// awaitVersion waits until a process is ready and has the newest version of the
// configuration. A process can be ready with an older version that it received
// from a peer.
func (d *Deployment) awaitVersion(ctx context.Context, process *Member) error {
	if err := process.AwaitReady(ctx); err != nil || d.version == 0 {
		return err
	}
	_, err := process.Await(ctx, "configInForce", "version="+strconv.FormatUint(uint64(d.version), 10))
	return err
}

// pollInterval is the interval at which the state of an entry is polled.
const pollInterval = 10 * time.Millisecond

// awaitPeers waits until the entry has connected to all its companions. An
// entry reports ready before that, and refuses requests for their endpoints until
// then.
func (d *Deployment) awaitPeers(ctx context.Context, entry *Member) error {
	for {
		var dump struct {
			Entry struct {
				Peers map[string]struct{ Reached bool }
			}
		}
		if err := entry.Dump(ctx, &dump); err != nil {
			return err
		}
		reached := true
		for _, peer := range dump.Entry.Peers {
			reached = reached && peer.Reached
		}
		if reached {
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// addEndpoint starts the companion of an endpoint and writes the endpoint to the
// configuration.
func (d *Deployment) addEndpoint(ctx context.Context, endpoint usher.Endpoint, backend *Member, kind usher.ServiceKind, plan *Plan) error {
	endpoint.AvailabilityZone = Zone
	endpoint.Fencing = usher.FencingIgnored
	backendAddress, err := plan.addressFor(backend.Name, backend.Address)
	if err != nil {
		return err
	}
	storeAddress, err := plan.addressFor("store-of-"+string(endpoint.Name), d.Store.Address)
	if err != nil {
		return err
	}
	member, err := d.Companion(storeAddress, endpoint, backendAddress, kind, plan.CompanionArgs...)
	if err != nil {
		return err
	}
	d.Companions = append(d.Companions, member)
	if endpoint.Companion, err = plan.addressFor(member.Name, member.Address); err != nil {
		return err
	}
	return d.putDuringStart(ctx, config.KindEndpoint, string(endpoint.Name), endpoint)
}

// putDuringStart writes an object of the configuration, and writes it again while the
// store does not answer in time: on a busy machine the store may just have started, and
// the write certainly had no effect.
func (d *Deployment) putDuringStart(ctx context.Context, kind config.Kind, name string, object any) error {
	for {
		version, err := d.Put(ctx, kind, name, object)
		unavailable := new(usher.UnavailableError)
		if err == nil {
			d.version = version
			return nil
		}
		if !errors.As(err, &unavailable) || ctx.Err() != nil {
			return err
		}
		pause.For(ctx, pollInterval)
	}
}

// writeConfig writes the objects of the configuration that do not depend on
// addresses.
func (d *Deployment) writeConfig(ctx context.Context) error {
	tiers := []usher.Tier{
		{Name: TierUrgent, Rank: 0, Deadline: usher.Duration(20 * time.Second)},
		{Name: TierNormal, Rank: 1, Deadline: usher.Duration(time.Minute)},
		{Name: TierBatch, Rank: 2, Deadline: usher.Duration(5 * time.Minute)},
	}
	allTiers := []usher.TierLimits{{Tier: TierUrgent}, {Tier: TierNormal}, {Tier: TierBatch}}
	objects := []struct {
		kind   config.Kind
		name   string
		object any
	}{
		{config.KindTier, string(TierUrgent), tiers[0]},
		{config.KindTier, string(TierNormal), tiers[1]},
		{config.KindTier, string(TierBatch), tiers[2]},
		{config.KindService, string(Advice), usher.Service{Name: Advice, Kind: usher.ServiceModel, Model: Model, Idempotent: true}},
		{config.KindService, string(Orders), usher.Service{Name: Orders, Kind: usher.ServicePlain}},
		{config.KindPreset, string(PresetOrdinary), usher.Preset{Name: PresetOrdinary, Tiers: allTiers}},
		{config.KindPreset, string(PresetPeak), usher.Preset{Name: PresetPeak, Tiers: allTiers[:2]}},
		{config.KindWorkspace, string(Regenfass), workspace(Regenfass)},
		{config.KindWorkspace, string(Tallinn), workspace(Tallinn)},
		{config.KindActivePreset, config.ActivePresetName, usher.ActivePreset{Preset: PresetOrdinary}},
	}
	for _, o := range objects {
		if err := d.putDuringStart(ctx, o.kind, o.name, o.object); err != nil {
			return err
		}
	}
	return nil
}

func workspace(name usher.WorkspaceName) usher.Workspace {
	token := usher.BearerToken{Name: "main", SHA256: string(usher.DigestOf([]byte(TokenOf(name))))}
	return usher.Workspace{
		Name: name, Tokens: []usher.BearerToken{token}, Tiers: []usher.TierName{TierNormal, TierUrgent, TierBatch},
	}
}
