// Package follow keeps a process up to date with the directory: the
// configuration, the endpoints, and the other instances. It paces its calls,
// tells when the directory is lost and regained, and proves how fresh the
// configuration is.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"filbertusher/internal/boottime"
	"filbertusher/internal/pause"
	"filbertusher/internal/roster"
	"filbertusher/internal/routing"
	"filbertusher/pkg/usher"
)

// The pauses hold for a few instances. With more they grow, so that the calls of
// all together grow more slowly than the fleet.
const (
	// fewInstances is up to how many instances the pauses hold.
	fewInstances = 8
	// routesWait is how long one watch of the configuration waits.
	routesWait = 5 * time.Second
	// proofAge is how old the proof of the configuration gets before this process
	// asks for another, and proofEvery how often it looks. Peers pass proofs on,
	// so that of many instances only some have to ask.
	proofAge   = 900 * time.Millisecond
	proofEvery = 100 * time.Millisecond
	// endpointsWait is how long one watch of the endpoints waits.
	endpointsWait = 5 * time.Second
	// endpointsPace is the least time between two watches of the endpoints,
	// whose entries change all the time.
	endpointsPace     = 450 * time.Millisecond
	mostEndpointsPace = 900 * time.Millisecond
	// expireEvery is how often lapsed endpoints are looked at, and staleRoster how
	// old the last word of the store may be for that.
	expireEvery = 100 * time.Millisecond
	staleRoster = endpointsWait + callTimeout
	// lapsePossible is how long the store has to be away for entries to lapse that
	// their endpoints renew every second or so.
	lapsePossible = 1800 * time.Millisecond
	// announceEvery is how often an instance tells that it is there.
	announceEvery     = 3 * time.Second
	mostAnnounceEvery = 12 * time.Second
	// goneFactor is how many announcements another instance may miss before it is
	// taken for lost.
	goneFactor = 3.3
	// firstRetry and lastRetry bound the pause after a failed call. Both are
	// drawn at random, so that instances that failed together spread out.
	firstRetry = 60 * time.Millisecond
	lastRetry  = 600 * time.Millisecond
	// listAgainAfter is after how many failures in a row a watch begins anew.
	listAgainAfter = 2
	// callTimeout bounds calls that don't wait.
	callTimeout = 1500 * time.Millisecond
)

// Options say what is followed and who is told.
type Options struct {
	Directory usher.Directory
	Routes    *routing.Holder
	Roster    *roster.Roster
	Self      usher.GatewayInstance
	Log       zerolog.Logger
	// Instances is told of the instances that are alive, this one included.
	Instances func(ctx context.Context, instances []usher.GatewayInstance)
	// EndpointsChanged is told after each change of the roster.
	EndpointsChanged func()
}

// Follower is the state of one process.
type Follower struct {
	options Options
	store   dependency

	// confirmed is when the store last confirmed the roster.
	confirmed atomic.Int64

	mu    sync.Mutex
	beats map[string]beat
	// members is how many instances are alive.
	members atomic.Int64
}

// paced stretches a pause by the number of instances, up to most.
func (f *Follower) paced(pause, most time.Duration) time.Duration {
	members := f.members.Load()
	if members <= fewInstances {
		return pause
	}
	return min(most, pause*time.Duration(members)/fewInstances)
}

type beat struct {
	number int64
	seen   time.Time
}

// New returns a follower. Run starts it.
func New(options Options) *Follower {
	f := &Follower{options: options, store: dependency{name: "store", log: options.Log}, beats: make(map[string]beat)}
	f.store.back = func(away time.Duration) {
		if away > lapsePossible {
			options.Roster.Disturbed()
		}
	}
	return f
}

// RosterAge returns how long ago the store last confirmed the roster.
func (f *Follower) RosterAge() time.Duration {
	at := f.confirmed.Load()
	if at == 0 {
		return 24 * time.Hour
	}
	return boottime.Since(boottime.Time(at))
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { f.routes(ctx); return nil })
	group.Go(func() error { f.proofs(ctx); return nil })
	group.Go(func() error { f.endpoints(ctx); return nil })
	group.Go(func() error { f.expire(ctx); return nil })
	group.Go(func() error { f.instances(ctx); return nil })
	return group.Wait()
}

// KnowsInstances says whether the store has told which instances there are.
func (f *Follower) KnowsInstances() bool { return f.members.Load() > 0 }

// Withdraw takes this instance out of the directory, as a planned stop does.
func (f *Follower) Withdraw(ctx context.Context) error {
	return f.options.Directory.Withdraw(ctx, f.options.Self.Name)
}

func (f *Follower) routes(ctx context.Context) {
	var since usher.Version
	retry := backoff{}
	for ctx.Err() == nil {
		began, listed := boottime.Now(), since == 0
		table, next, err := f.nextRoutes(ctx, since)
		if err != nil {
			since = f.afterFailure(ctx, "routes", err, since, &retry)
			continue
		}
		f.store.worked()
		retry.reset()
		since = next
		if table != nil {
			f.options.Routes.Adopt(table, "store")
			// A watch proves nothing: it may have heard of the change late.
			if listed {
				f.options.Routes.Prove(table.Version, began)
			}
		}
	}
}

// afterFailure waits before the next try and returns where it watches from; 0 is
// a new list. After a few failures what was missed may be history.
func (f *Follower) afterFailure(ctx context.Context, call string, err error, since usher.Version, retry *backoff) usher.Version {
	lost, missing := new(usher.HistoryLostError), new(usher.NotFoundError)
	switch {
	case errors.As(err, &lost):
		since = 0
	case errors.As(err, &missing):
		// The store works; nobody has written a configuration yet.
	default:
		f.store.failed(ctx, call, err)
		if retry.failures >= listAgainAfter {
			since = 0
		}
	}
	retry.wait(ctx)
	return since
}

func (f *Follower) nextRoutes(ctx context.Context, since usher.Version) (*usher.RouteTable, usher.Version, error) {
	if since == 0 {
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		return f.options.Directory.Routes(limited)
	}
	limited, cancel := context.WithTimeout(ctx, routesWait+callTimeout)
	defer cancel()
	return f.options.Directory.WatchRoutes(limited, since, routesWait)
}

// proofs asks for the configuration whenever nobody has proven for a while that
// the one in force is the newest.
func (f *Follower) proofs(ctx context.Context) {
	retry := backoff{}
	due := proofAge
	for ctx.Err() == nil {
		pause.For(ctx, proofEvery)
		if f.options.Routes.Index() == nil || f.options.Routes.Age() < due {
			continue
		}
		// Instances that see the same proof should not all ask at once.
		due = proofAge/2 + time.Duration(rand.Int64N(int64(proofAge/2)))
		began := boottime.Now()
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		table, _, err := f.options.Directory.Routes(limited)
		cancel()
		if err != nil {
			f.store.failed(ctx, "proof", err)
			retry.wait(ctx)
			continue
		}
		f.store.worked()
		retry.reset()
		f.options.Routes.Adopt(table, "store")
		f.options.Routes.Prove(table.Version, began)
	}
}

func (f *Follower) endpoints(ctx context.Context) {
	var since usher.Version
	retry := backoff{}
	for ctx.Err() == nil {
		began := boottime.Now()
		changes, next, err := f.nextEndpoints(ctx, since)
		if err != nil {
			since = f.afterFailure(ctx, "endpoints", err, since, &retry)
			continue
		}
		f.store.worked()
		retry.reset()
		if since == 0 {
			f.options.Roster.Replace(changes, next)
		} else {
			f.options.Roster.Apply(changes, next)
		}
		f.options.EndpointsChanged()
		f.confirmed.Store(int64(began))
		since = next
		pause.For(ctx, f.paced(endpointsPace, mostEndpointsPace)-boottime.Since(began))
	}
}

// expire drops the endpoints that did not come back after an outage. It does not
// wait for the next watch, which may hear nothing for a while.
func (f *Follower) expire(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, expireEvery)
		if f.RosterAge() < staleRoster && f.options.Roster.Expire() {
			f.options.EndpointsChanged()
		}
	}
}

func (f *Follower) nextEndpoints(ctx context.Context, since usher.Version) ([]usher.EndpointChange, usher.Version, error) {
	if since == 0 {
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		return f.options.Directory.Endpoints(limited)
	}
	limited, cancel := context.WithTimeout(ctx, endpointsWait+callTimeout)
	defer cancel()
	return f.options.Directory.WatchEndpoints(limited, since, endpointsWait)
}

// instances announces this instance and learns of the others.
func (f *Follower) instances(ctx context.Context) {
	self := f.options.Self
	retry := backoff{}
	for ctx.Err() == nil {
		self.Beat++
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		err := f.options.Directory.Announce(limited, self)
		var all []usher.GatewayInstance
		if err == nil {
			all, err = f.options.Directory.Instances(limited)
		}
		cancel()
		if err != nil {
			f.store.failed(ctx, "instances", err)
			retry.wait(ctx)
			continue
		}
		f.store.worked()
		retry.reset()
		alive := f.alive(all)
		f.members.Store(int64(len(alive)))
		f.options.Instances(ctx, alive)
		every := f.paced(announceEvery, mostAnnounceEvery)
		pause.For(ctx, every+time.Duration(rand.Int64N(int64(every/4))))
	}
}

// alive drops the instances whose beat has stood still for too long by this
// process's clock. One that was just found counts as alive.
func (f *Follower) alive(all []usher.GatewayInstance) []usher.GatewayInstance {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	goneAfter := time.Duration(goneFactor * float64(f.paced(announceEvery, mostAnnounceEvery)))
	alive := make([]usher.GatewayInstance, 0, len(all)+1)
	self := false
	for _, instance := range all {
		known, ok := f.beats[instance.Name]
		if !ok || known.number != instance.Beat {
			known = beat{number: instance.Beat, seen: now}
			f.beats[instance.Name] = known
		}
		if instance.Name == f.options.Self.Name {
			self = true
		} else if now.Sub(known.seen) > goneAfter {
			continue
		}
		alive = append(alive, instance)
	}
	if !self {
		alive = append(alive, f.options.Self)
	}
	return alive
}

// dependency logs when something this process needs is lost and regained.
type dependency struct {
	name string
	log  zerolog.Logger
	// back is told for how long nothing was heard, when something is again.
	back func(away time.Duration)

	mu    sync.Mutex
	lost  bool
	heard time.Time
}

func (d *dependency) failed(ctx context.Context, what string, cause error) {
	if ctx.Err() != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lost {
		return
	}
	d.lost = true
	d.log.Warn().Err(cause).Str("dependency", d.name).Str("call", what).Msg("dependencyLost")
}

func (d *dependency) worked() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	away := now.Sub(d.heard)
	if d.heard.IsZero() {
		away = 0
	}
	d.heard = now
	if !d.lost {
		return
	}
	d.lost = false
	d.log.Info().Str("dependency", d.name).Dur("after", away).Msg("dependencyRegained")
	if d.back != nil {
		d.back(away)
	}
}

// backoff is the pause between failed calls.
type backoff struct{ failures int }

func (b *backoff) reset() { b.failures = 0 }

func (b *backoff) wait(ctx context.Context) {
	limit := min(lastRetry, firstRetry<<min(b.failures, 6))
	b.failures++
	pause.For(ctx, limit/2+time.Duration(rand.Int64N(int64(limit))))
}
