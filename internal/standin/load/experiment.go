package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"filbertusher/internal/config"
	"filbertusher/internal/standin/engine"
	"filbertusher/internal/standin/fleet"
	"filbertusher/pkg/usher"
)

// Policies of an experiment. PolicyPrevious is an older build of the product.
const (
	PolicyOurs       = "ours"
	PolicyPrevious   = "previous"
	PolicyRoundRobin = "roundRobin"
	PolicyLeastLoad  = "leastLoad"
)

// slowFactor is how much slower the first engine gets midway.
const slowFactor = 5

// Options of an experiment.
type Options struct {
	Binaries fleet.Binaries
	// Previous is the program of an older build, or "".
	Previous  string
	Policies  []string
	Mixes     []string
	Loads     []float64
	Seeds     []uint64
	Duration  time.Duration
	ReportLag time.Duration
	// Fast and Slow count the engines of each generation.
	Fast, Slow int
	Entries    int
	// SlowEngine slows the first engine fivefold from the middle of the run to
	// three quarters of it.
	SlowEngine bool
	// Burst doubles the arrivals in the second fifth of the run.
	Burst bool
	// Preemption is what the preset in force allows.
	Preemption bool
	// CompanionArgs are added to the product's companions.
	CompanionArgs []string
	// EntryArgs are added to the product's entries.
	EntryArgs []string
}

// Experiment replays each mix under each policy, load and seed, and writes a
// line for each request, mark and engine total. Each run has its own fresh
// processes, so that no run inherits another's caches or queues.
type Experiment struct {
	options Options
	lines   *json.Encoder
	table   io.Writer
}

// NewExperiment returns an experiment that writes lines and a table.
func NewExperiment(options Options, lines, table io.Writer) *Experiment {
	return &Experiment{options: options, lines: json.NewEncoder(lines), table: table}
}

// UnknownMixError is returned for a mix that does not exist.
type UnknownMixError struct{ Mix string }

// Error implements error.
func (e *UnknownMixError) Error() string { return "mix " + e.Mix + " is unknown" }

func mixByName(name string) (*Mix, error) {
	mixes := Mixes()
	for i := range mixes {
		if mixes[i].Name == name {
			return &mixes[i], nil
		}
	}
	return nil, &UnknownMixError{Mix: name}
}

// Run does all runs in turn.
func (e *Experiment) Run(ctx context.Context) error {
	fmt.Fprintln(e.table, tableHeader)
	for _, name := range e.options.Mixes {
		mix, err := mixByName(name)
		if err != nil {
			return err
		}
		for _, load := range e.options.Loads {
			for _, seed := range e.options.Seeds {
				for _, policy := range e.options.Policies {
					run := Run{Mix: name, Policy: policy, Load: load, Seed: seed}
					if err := e.one(ctx, mix, run); err != nil {
						return err
					}
				}
			}
		}
	}
	return nil
}

func (e *Experiment) hardware() []Hardware {
	fast, slow := Generations()
	var all []Hardware
	for range e.options.Fast {
		all = append(all, fast)
	}
	for range e.options.Slow {
		all = append(all, slow)
	}
	return all
}

func (e *Experiment) one(ctx context.Context, mix *Mix, run Run) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	hardware := e.hardware()
	whole, err := e.start(ctx, mix, run.Policy, hardware)
	if err != nil {
		return err
	}
	defer whole.Close()
	plan := PlanOptions{Rates: Rates(mix, hardware, run.Load), Duration: e.options.Duration, Seed: run.Seed}
	if e.options.Burst {
		fifth := e.options.Duration / 5
		plan.Bursts = []Burst{{From: fifth, To: 2 * fifth, Factor: 2}}
	}
	stop := e.schedule(ctx, whole, run)
	stopSampling := e.sample(ctx, whole, run)
	results := Replay(ctx, run, Plan(mix, plan), e.sender(ctx, whole, run.Policy))
	stop()
	for _, sampled := range stopSampling() {
		if err := e.lines.Encode(Line{Kind: LineTotals, Totals: &sampled}); err != nil {
			return err
		}
	}
	totals, err := e.totals(ctx, whole, run)
	if err != nil {
		return err
	}
	return e.write(mix, run, results, totals, hardware)
}

func (e *Experiment) write(mix *Mix, run Run, results []*Result, totals []Totals, hardware []Hardware) error {
	for _, one := range results {
		if err := e.lines.Encode(Line{Kind: LineResult, Result: one}); err != nil {
			return err
		}
	}
	sum := sumTotals(run, e.options.Duration, totals)
	sum.WastedBy = wasteBy(results)
	if err := e.lines.Encode(Line{Kind: LineTotals, Totals: &sum}); err != nil {
		return err
	}
	s := summarize(run, results, &sum, e.slowest())
	s.Useful = usefulShare(results, mix, hardware, e.options.Duration/5, e.options.Duration, e.lost())
	fmt.Fprintln(e.table, s.row())
	return nil
}

// slowest is the slowest that any engine gets in the experiment.
func (e *Experiment) slowest() *Hardware {
	fast, slow := Generations()
	if !e.options.SlowEngine {
		return &slow
	}
	fast.PrefillPerToken *= slowFactor
	fast.DecodeStep *= slowFactor
	fast.DecodePerRequest *= slowFactor
	return &fast
}

// lost is the engine time that the slowed engine loses.
func (e *Experiment) lost() time.Duration {
	if !e.options.SlowEngine {
		return 0
	}
	return e.options.Duration / 4 * (slowFactor - 1) / slowFactor
}

// start brings up what the policy needs; the baselines only need the engines.
func (e *Experiment) start(ctx context.Context, mix *Mix, policy string, hardware []Hardware) (*fleet.Whole, error) {
	binaries := e.options.Binaries
	if policy == PolicyPrevious {
		binaries.Product = e.options.Previous
	}
	plan := fleet.Plan{Entries: e.options.Entries}
	if policy == PolicyOurs {
		plan.CompanionArgs = e.options.CompanionArgs
		plan.EntryArgs = e.options.EntryArgs
	}
	for i := range hardware {
		plan.Engines = append(plan.Engines, hardware[i].Args(e.options.ReportLag))
	}
	whole, err := fleet.NewWhole(ctx, binaries, plan)
	if err != nil {
		return nil, err
	}
	if err := declare(ctx, whole, mix, e.options.Preemption); err != nil {
		whole.Close()
		return nil, err
	}
	return whole, nil
}

// declare puts the preset and the mix's workspaces in force.
func declare(ctx context.Context, whole *fleet.Whole, mix *Mix, preemption bool) error {
	var version usher.Version
	preset := usher.Preset{
		Name: fleet.PresetDay, Preemption: preemption,
		Tiers: []usher.TierLimits{{Tier: fleet.TierUrgent}, {Tier: fleet.TierNormal}, {Tier: fleet.TierBatch}},
	}
	if _, err := whole.Put(ctx, config.KindPreset, string(preset.Name), preset); err != nil {
		return err
	}
	for _, name := range mix.Workspaces {
		token := usher.BearerToken{Name: "main", SHA256: string(usher.DigestOf([]byte(fleet.TokenOf(name))))}
		declared := usher.Workspace{
			Name: name, Tokens: []usher.BearerToken{token},
			Tiers: []usher.TierName{fleet.TierNormal, fleet.TierUrgent, fleet.TierBatch},
		}
		var err error
		if version, err = whole.Put(ctx, config.KindWorkspace, string(name), declared); err != nil {
			return err
		}
	}
	for _, entry := range whole.Entries {
		part := "version=" + strconv.FormatUint(uint64(version), 10)
		if _, err := entry.Await(ctx, "configInForce", part); err != nil {
			return err
		}
	}
	return nil
}

func (e *Experiment) sender(ctx context.Context, whole *fleet.Whole, policy string) Sender {
	switch policy {
	case PolicyRoundRobin:
		return NewRoundRobin(addresses(whole.Engines))
	case PolicyLeastLoad:
		return NewLeastLoad(ctx, addresses(whole.Engines))
	default:
		return NewEntries(addresses(whole.Entries))
	}
}

func addresses(members []*fleet.Member) []string {
	all := make([]string, len(members))
	for i, member := range members {
		all[i] = member.Address
	}
	return all
}

// schedule slows the first engine down for a quarter of the run. The returned
// function ends the schedule.
func (e *Experiment) schedule(ctx context.Context, whole *fleet.Whole, run Run) func() {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if !e.options.SlowEngine {
			return
		}
		e.slow(ctx, whole, run, e.options.Duration/2, slowFactor)
		e.slow(ctx, whole, run, e.options.Duration/4, 1)
	}()
	return func() {
		cancel()
		<-done
	}
}

func (e *Experiment) slow(ctx context.Context, whole *fleet.Whole, run Run, after time.Duration, factor float64) {
	timer := time.NewTimer(after)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return
	}
	if err := whole.Engines[0].Control(ctx, "slowdown", factor); err != nil {
		fmt.Fprintln(e.table, "slowdown failed:", err)
	}
	at := e.options.Duration / 2
	if factor == 1 {
		at = e.options.Duration * 3 / 4
	}
	mark := &Mark{Run: run, At: at, What: "engine 0 slowdown " + strconv.FormatFloat(factor, 'g', -1, 64)}
	_ = e.lines.Encode(Line{Kind: LineMark, Mark: mark})
}

func (e *Experiment) totals(ctx context.Context, whole *fleet.Whole, run Run) ([]Totals, error) {
	all := make([]Totals, len(whole.Engines))
	for i, member := range whole.Engines {
		var totals engine.Totals
		if err := member.Inspect(ctx, "totals", &totals); err != nil {
			return nil, err
		}
		all[i] = Totals{
			Run: run, At: e.options.Duration,
			PrefillTokens: totals.PrefillTokens, ReusedTokens: totals.ReusedTokens,
			WastedPrefill: totals.WastedPrefill, DecodeTokens: totals.DecodeTokens,
		}
	}
	return all, nil
}

// ParseList splits a list that is written with commas.
func ParseList(list string) []string {
	return strings.FieldsFunc(list, func(r rune) bool { return r == ',' || r == ' ' })
}
