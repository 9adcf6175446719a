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

// Policies of an experiment. PolicyOurs is the current build of the product and
// PolicyPrevious an older one; the other two are baselines that bypass it.
const (
	PolicyOurs       = "ours"
	PolicyPrevious   = "previous"
	PolicyRoundRobin = "roundRobin"
	PolicyLeastLoad  = "leastLoad"
)

// slowFactor is the slowdown factor of the first engine while it is slowed.
const slowFactor = 5

// Options configures an experiment. Loads are multiples of the engines' capacity,
// Duration is how long requests arrive in each run, ReportLag is how stale the
// engines' load reports are, and Entries is the number of entries.
type Options struct {
	Binaries fleet.Binaries
	// PreviousBinary is the path of an older build of the product. It is needed for
	// PolicyPrevious only and may be empty otherwise.
	PreviousBinary string
	Policies       []string
	Mixes          []string
	Loads          []float64
	Seeds          []uint64
	Duration       time.Duration
	ReportLag      time.Duration
	// FastEngineCount and SlowEngineCount are the numbers of engines of each hardware generation.
	FastEngineCount, SlowEngineCount int
	Entries                          int
	// SlowFirstEngine slows the first engine down by a factor of 5 from the middle of
	// the run to three quarters of it.
	SlowFirstEngine bool
	// Burst doubles the arrival rate in the second fifth of the run.
	Burst bool
	// AllowPreemption makes the active preset allow preemption.
	AllowPreemption bool
	// CompanionArgs are extra flags for the companions of PolicyOurs.
	CompanionArgs []string
	// EntryArgs are extra flags for the entries of PolicyOurs.
	EntryArgs []string
}

// Experiment replays each mix under each policy, load and seed, and writes one
// JSON line for each request, each mark and each sample of the engines' totals.
// Each run starts new processes, so that no caches or queues carry over from one
// run to the next.
type Experiment struct {
	options Options
	lines   *json.Encoder
	table   io.Writer
}

// NewExperiment returns an experiment that writes JSON lines to lines and a
// summary of each run to table.
func NewExperiment(options Options, lines, table io.Writer) *Experiment {
	return &Experiment{options: options, lines: json.NewEncoder(lines), table: table}
}

// UnknownMixError is returned for a name that is not the name of a mix.
type UnknownMixError struct{ Mix string }

// Error implements error.
func (e *UnknownMixError) Error() string { return "mix " + e.Mix + " is unknown" }

func findMix(name string) (*Mix, error) {
	mixes := Mixes()
	for i := range mixes {
		if mixes[i].Name == name {
			return &mixes[i], nil
		}
	}
	return nil, &UnknownMixError{Mix: name}
}

// Run executes all runs one after another.
func (e *Experiment) Run(ctx context.Context) error {
	fmt.Fprintln(e.table, tableHeader)
	for _, name := range e.options.Mixes {
		mix, err := findMix(name)
		if err != nil {
			return err
		}
		for _, load := range e.options.Loads {
			for _, seed := range e.options.Seeds {
				for _, policy := range e.options.Policies {
					run := Run{Mix: name, Policy: policy, Load: load, Seed: seed}
					if err := e.runOne(ctx, mix, run); err != nil {
						return err
					}
				}
			}
		}
	}
	return nil
}

func (e *Experiment) hardware() []Hardware {
	fast, slow := HardwareGenerations()
	var all []Hardware
	for range e.options.FastEngineCount {
		all = append(all, fast)
	}
	for range e.options.SlowEngineCount {
		all = append(all, slow)
	}
	return all
}

func (e *Experiment) runOne(ctx context.Context, mix *Mix, run Run) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	hardware := e.hardware()
	system, err := e.startSystem(ctx, mix, run.Policy, hardware)
	if err != nil {
		return err
	}
	defer system.Close()
	arrivalOptions := ArrivalOptions{Rates: RatesAtLoad(mix, hardware, run.Load), Duration: e.options.Duration, Seed: run.Seed}
	if e.options.Burst {
		fifth := e.options.Duration / 5
		arrivalOptions.Bursts = []Burst{{From: fifth, To: 2 * fifth, Factor: 2}}
	}
	stopSlowdown := e.scheduleSlowdown(ctx, system, run)
	stopSampling := e.sampleTotals(ctx, system, run)
	results := Replay(ctx, run, GenerateArrivals(mix, arrivalOptions), e.newSender(ctx, system, run.Policy))
	stopSlowdown()
	for _, sample := range stopSampling() {
		if err := e.lines.Encode(Line{Kind: LineTotals, Totals: &sample}); err != nil {
			return err
		}
	}
	totals, err := e.readTotals(ctx, system, run)
	if err != nil {
		return err
	}
	return e.writeResults(mix, run, results, totals, hardware)
}

func (e *Experiment) writeResults(mix *Mix, run Run, results []*Result, totals []Totals, hardware []Hardware) error {
	for _, result := range results {
		if err := e.lines.Encode(Line{Kind: LineResult, Result: result}); err != nil {
			return err
		}
	}
	sum := sumTotals(run, e.options.Duration, totals)
	sum.WastedBy = wasteByCause(results)
	if err := e.lines.Encode(Line{Kind: LineTotals, Totals: &sum}); err != nil {
		return err
	}
	row := newSummary(run, results, &sum, e.slowestHardware())
	row.UsefulPercent = usefulPercent(results, mix, hardware, e.options.Duration/5, e.options.Duration, e.lostEngineTime())
	fmt.Fprintln(e.table, row.format())
	return nil
}

// slowestHardware returns the lowest performance that any engine has during the
// experiment. It assumes that the first engine is of the fast generation.
func (e *Experiment) slowestHardware() *Hardware {
	fast, slow := HardwareGenerations()
	if !e.options.SlowFirstEngine {
		return &slow
	}
	fast.PrefillPerToken *= slowFactor
	fast.DecodeStep *= slowFactor
	fast.DecodePerRequest *= slowFactor
	return &fast
}

// lostEngineTime returns the engine time that is lost to the slowdown.
func (e *Experiment) lostEngineTime() time.Duration {
	if !e.options.SlowFirstEngine {
		return 0
	}
	return e.options.Duration / 4 * (slowFactor - 1) / slowFactor
}

// startSystem starts the processes of a run and applies its configuration. The
// baselines use only the engines of the system.
func (e *Experiment) startSystem(ctx context.Context, mix *Mix, policy string, hardware []Hardware) (*fleet.Deployment, error) {
	binaries := e.options.Binaries
	if policy == PolicyPrevious {
		binaries.Scheduler = e.options.PreviousBinary
	}
	plan := fleet.Plan{Entries: e.options.Entries}
	if policy == PolicyOurs {
		plan.CompanionArgs = e.options.CompanionArgs
		plan.EntryArgs = e.options.EntryArgs
	}
	for i := range hardware {
		plan.Engines = append(plan.Engines, hardware[i].Args(e.options.ReportLag))
	}
	system, err := fleet.Deploy(ctx, binaries, plan)
	if err != nil {
		return nil, err
	}
	if err := applyConfig(ctx, system, mix, e.options.AllowPreemption); err != nil {
		system.Close()
		return nil, err
	}
	return system, nil
}

// applyConfig replaces the preset that the deployment has activated, writes the
// workspaces of the mix, and waits until every entry uses that configuration.
func applyConfig(ctx context.Context, system *fleet.Deployment, mix *Mix, preemption bool) error {
	var version usher.Version
	preset := usher.Preset{
		Name: fleet.PresetOrdinary, Preemption: preemption,
		Tiers: []usher.TierLimits{{Tier: fleet.TierUrgent}, {Tier: fleet.TierNormal}, {Tier: fleet.TierBatch}},
	}
	if _, err := system.Put(ctx, config.KindPreset, string(preset.Name), preset); err != nil {
		return err
	}
	for _, name := range mix.Workspaces {
		token := usher.BearerToken{Name: "main", SHA256: string(usher.DigestOf([]byte(fleet.TokenOf(name))))}
		workspace := usher.Workspace{
			Name: name, Tokens: []usher.BearerToken{token},
			Tiers: []usher.TierName{fleet.TierNormal, fleet.TierUrgent, fleet.TierBatch},
		}
		var err error
		if version, err = system.Put(ctx, config.KindWorkspace, string(name), workspace); err != nil {
			return err
		}
	}
	for _, entry := range system.Entries {
		versionField := "version=" + strconv.FormatUint(uint64(version), 10)
		if _, err := entry.Await(ctx, "configInForce", versionField); err != nil {
			return err
		}
	}
	return nil
}

func (e *Experiment) newSender(ctx context.Context, system *fleet.Deployment, policy string) Sender {
	switch policy {
	case PolicyRoundRobin:
		return NewRoundRobinSender(addresses(system.Engines))
	case PolicyLeastLoad:
		return NewLeastLoadSender(ctx, addresses(system.Engines))
	default:
		return NewEntrySender(addresses(system.Entries))
	}
}

func addresses(members []*fleet.Member) []string {
	all := make([]string, len(members))
	for i, member := range members {
		all[i] = member.Address
	}
	return all
}

// scheduleSlowdown slows the first engine down for a quarter of the run. The
// returned function cancels the schedule.
func (e *Experiment) scheduleSlowdown(ctx context.Context, system *fleet.Deployment, run Run) func() {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if !e.options.SlowFirstEngine {
			return
		}
		e.setSlowdownAfter(ctx, system, run, e.options.Duration/2, slowFactor)
		e.setSlowdownAfter(ctx, system, run, e.options.Duration/4, 1)
	}()
	return func() {
		cancel()
		<-done
	}
}

func (e *Experiment) setSlowdownAfter(ctx context.Context, system *fleet.Deployment, run Run, after time.Duration, factor float64) {
	timer := time.NewTimer(after)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return
	}
	if err := system.Engines[0].PutControl(ctx, "slowdown", factor); err != nil {
		fmt.Fprintln(e.table, "setting the slowdown failed:", err)
	}
	at := e.options.Duration / 2
	if factor == 1 {
		at = e.options.Duration * 3 / 4
	}
	mark := &Mark{Run: run, At: at, Label: "engine 0 slowdown " + strconv.FormatFloat(factor, 'g', -1, 64)}
	_ = e.lines.Encode(Line{Kind: LineMark, Mark: mark})
}

func (e *Experiment) readTotals(ctx context.Context, system *fleet.Deployment, run Run) ([]Totals, error) {
	all := make([]Totals, len(system.Engines))
	for i, member := range system.Engines {
		var totals engine.Totals
		if err := member.GetControl(ctx, "totals", &totals); err != nil {
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

// ParseList splits a list at commas and spaces.
func ParseList(list string) []string {
	return strings.FieldsFunc(list, func(r rune) bool { return r == ',' || r == ' ' })
}
