package fleet

import (
	"context"
	"strconv"
	"time"

	"filbertusher/internal/config"
	"filbertusher/pkg/usher"
)

// The names that a whole path is declared with.
const (
	Model      usher.ModelName        = "advice-1"
	Advice     usher.ServiceName      = "advice"
	Orders     usher.ServiceName      = "orders"
	Regenfass  usher.WorkspaceName    = "regenfass"
	Tallinn    usher.WorkspaceName    = "tallinn"
	TierUrgent usher.TierName         = "urgent"
	TierNormal usher.TierName         = "normal"
	TierBatch  usher.TierName         = "batch"
	PresetDay  usher.PresetName       = "ordinary"
	PresetPeak usher.PresetName       = "peak"
	Zone       usher.AvailabilityZone = "ch-mittelland-a"
)

// TokenOf returns the bearer token of a workspace of the whole path.
func TokenOf(workspace usher.WorkspaceName) string { return "token-of-" + string(workspace) }

// Plan says what a whole path is made of.
type Plan struct {
	Entries int
	// Engines gives the flags of each engine; the engines may be unlike.
	Engines [][]string
	Desks   int
	// CompanionArgs and EntryArgs are added to every companion and entry.
	CompanionArgs []string
	EntryArgs     []string
	StoreArgs     []string
	// Via returns the address by which a process is reached, for example that
	// of a proxy in front of it. Processes are reached directly without it.
	Via func(process, address string) (string, error)
}

func (p *Plan) via(process, address string) (string, error) {
	if p.Via == nil {
		return address, nil
	}
	return p.Via(process, address)
}

// Whole is a path from callers to endpoints.
type Whole struct {
	*Fleet
	Entries    []*Member
	Engines    []*Member
	Desks      []*Member
	Companions []*Member
	// version is the last one that was declared while starting.
	version usher.Version
}

// NewWhole starts everything in the plan and waits until the entries are ready.
func NewWhole(ctx context.Context, binaries Binaries, plan Plan) (*Whole, error) {
	f, err := New(binaries, plan.StoreArgs...)
	if err != nil {
		return nil, err
	}
	w := &Whole{Fleet: f}
	if err := w.start(ctx, plan); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

func (w *Whole) start(ctx context.Context, plan Plan) error {
	if err := w.declare(ctx); err != nil {
		return err
	}
	for i, args := range plan.Engines {
		engine, err := w.Engine("engine-"+strconv.Itoa(i), append([]string{"--model", string(Model)}, args...)...)
		if err != nil {
			return err
		}
		w.Engines = append(w.Engines, engine)
		endpoint := usher.Endpoint{Name: usher.EndpointName("advice-" + strconv.Itoa(i)), Service: Advice}
		if err := w.beside(ctx, endpoint, engine, usher.ServiceModel, &plan); err != nil {
			return err
		}
	}
	for i := range plan.Desks {
		desk, err := w.Desk("desk-" + strconv.Itoa(i))
		if err != nil {
			return err
		}
		w.Desks = append(w.Desks, desk)
		endpoint := usher.Endpoint{Name: usher.EndpointName("orders-" + strconv.Itoa(i)), Service: Orders}
		if err := w.beside(ctx, endpoint, desk, usher.ServicePlain, &plan); err != nil {
			return err
		}
	}
	for i := range plan.Entries {
		entry, err := w.Entry("entry-"+strconv.Itoa(i), w.Store.Address, Zone, plan.EntryArgs...)
		if err != nil {
			return err
		}
		w.Entries = append(w.Entries, entry)
	}
	for _, entry := range w.Entries {
		if err := w.awaitVersion(ctx, entry); err != nil {
			return err
		}
		if err := w.settled(ctx, entry); err != nil {
			return err
		}
	}
	return nil
}

// awaitVersion waits until a process is ready with all that was declared. A
// process that is ready may have an older version from a peer that is behind.
func (w *Whole) awaitVersion(ctx context.Context, process *Member) error {
	if err := process.Ready(ctx); err != nil || w.version == 0 {
		return err
	}
	_, err := process.Await(ctx, "configInForce", "version="+strconv.FormatUint(uint64(w.version), 10))
	return err
}

// settledDelay is the pause between two looks at an entry's state.
const settledDelay = 10 * time.Millisecond

// settled waits until the entry has reached its companions. It is ready before
// that, and refuses honestly until then.
func (w *Whole) settled(ctx context.Context, entry *Member) error {
	for {
		var dump struct {
			Entry struct {
				Peers map[string]struct{ Reached bool }
			}
		}
		if err := entry.Dump(ctx, &dump); err != nil {
			return err
		}
		settled := true
		for _, peer := range dump.Entry.Peers {
			settled = settled && peer.Reached
		}
		if settled {
			return nil
		}
		select {
		case <-time.After(settledDelay):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// beside starts the companion of an endpoint and declares the endpoint.
func (w *Whole) beside(ctx context.Context, endpoint usher.Endpoint, backend *Member, kind usher.ServiceKind, plan *Plan) error {
	endpoint.AvailabilityZone = Zone
	endpoint.Fencing = usher.FencingIgnored
	behind, err := plan.via(backend.Name, backend.Address)
	if err != nil {
		return err
	}
	store, err := plan.via("store-of-"+string(endpoint.Name), w.Store.Address)
	if err != nil {
		return err
	}
	member, err := w.Companion(store, endpoint, behind, kind, plan.CompanionArgs...)
	if err != nil {
		return err
	}
	w.Companions = append(w.Companions, member)
	if endpoint.Companion, err = plan.via(member.Name, member.Address); err != nil {
		return err
	}
	w.version, err = w.Put(ctx, config.KindEndpoint, string(endpoint.Name), endpoint)
	return err
}

// declare writes what does not depend on addresses.
func (w *Whole) declare(ctx context.Context) error {
	tiers := []usher.Tier{
		{Name: TierUrgent, Rank: 0, Deadline: usher.Duration(20 * time.Second)},
		{Name: TierNormal, Rank: 1, Deadline: usher.Duration(time.Minute)},
		{Name: TierBatch, Rank: 2, Deadline: usher.Duration(5 * time.Minute)},
	}
	all := []usher.TierLimits{{Tier: TierUrgent}, {Tier: TierNormal}, {Tier: TierBatch}}
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
		{config.KindPreset, string(PresetDay), usher.Preset{Name: PresetDay, Tiers: all}},
		{config.KindPreset, string(PresetPeak), usher.Preset{Name: PresetPeak, Tiers: all[:2]}},
		{config.KindWorkspace, string(Regenfass), workspace(Regenfass)},
		{config.KindWorkspace, string(Tallinn), workspace(Tallinn)},
		{config.KindInForce, config.InForceName, usher.InForce{Preset: PresetDay}},
	}
	for _, o := range objects {
		if _, err := w.Put(ctx, o.kind, o.name, o.object); err != nil {
			return err
		}
	}
	return nil
}

func workspace(name usher.WorkspaceName) usher.Workspace {
	token := usher.Token{Name: "main", SHA256: string(usher.DigestOf([]byte(TokenOf(name))))}
	return usher.Workspace{
		Name: name, Tokens: []usher.Token{token}, Tiers: []usher.TierName{TierNormal, TierUrgent, TierBatch},
	}
}
