package command

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"filbertusher/internal/orderbook"
	"filbertusher/internal/pause"
	"filbertusher/internal/rollout"
	"filbertusher/internal/telemetry"
	"filbertusher/pkg/usher"
	"filbertusher/platform"
)

const (
	// rolloutInterval is the interval at which rollouts are decided on while there are orders.
	rolloutInterval = 100 * time.Millisecond
	// rolloutWriteTimeout bounds the recording of a state, with the read that settles it.
	rolloutWriteTimeout = 4 * time.Second
	// minRolloutRetryDelay and maxRolloutRetryDelay bound the backoff after a state was not
	// recorded.
	minRolloutRetryDelay = 100 * time.Millisecond
	maxRolloutRetryDelay = time.Second
)

// rolloutRunner carries out rollout orders: it asks the table for decisions, passes them on to
// the scheduler, and records states in the directory.
type rolloutRunner struct {
	table     *rollout.Table
	orders    *orderbook.Book
	directory usher.RolloutDirectory
	log       zerolog.Logger
	metrics   *telemetry.Metrics
	// onPoolsChanged is called when the endpoints of a service are divided in another way.
	onPoolsChanged func()
	// pools is held while the scheduler is told of the pools, and while the table decides: what
	// it decides, and tells peers, depends on the pools being in force.
	pools *sync.Mutex
	// onOrderGone is called when a write finds that its order is not in the directory.
	onOrderGone func()

	mu sync.Mutex
	// known are the orders as last logged, and writes those whose state is being recorded.
	known  map[usher.ServiceName]usher.RolloutOrder
	writes map[usher.ServiceName]*rolloutWrite
}

// rolloutWrite is the state of writes of one order's state: whether one is in progress, and
// after how many failures and when the next one may begin.
type rolloutWrite struct {
	running  bool
	failures int
	notUntil time.Time
}

// newRolloutRunner returns a runner for the orders that directory holds.
func (p *gatewayProcess) newRolloutRunner(s *platform.Settings, directory usher.RolloutDirectory) *rolloutRunner {
	r := &rolloutRunner{
		table: rollout.New(rollout.Options{Self: s.Name, Bounds: rollout.Bounds{
			ExposureShare: s.Bounds.RolloutExposureShare, ExposureSlack: s.Bounds.RolloutExposureSlack, RollbackDelay: s.Bounds.RollbackDelay,
		}}),
		directory: directory, log: p.log, metrics: telemetry.NewMetrics("rolloutStates"),
		onPoolsChanged: p.updateScheduler, pools: &p.updateMu, onOrderGone: func() { p.watcher.RefreshRollouts() },
		writes: make(map[usher.ServiceName]*rolloutWrite),
	}
	r.orders = orderbook.New(r.setOrders)
	return r
}

// tableOrNil returns the table, or nil where operators order no rollouts.
func (r *rolloutRunner) tableOrNil() *rollout.Table {
	if r == nil {
		return nil
	}
	return r.table
}

func (r *rolloutRunner) setInstanceCount(count int) {
	if r != nil {
		r.table.SetInstanceCount(count)
	}
}

// sent and ended pass on the scheduler's grants.
func (r *rolloutRunner) sent(endpoint *usher.Registration) {
	r.table.Sent(endpoint.Service, endpoint.Software)
}

func (r *rolloutRunner) ended(endpoint *usher.Registration) {
	r.table.Ended(endpoint.Service, endpoint.Software)
}

// sectionRollouts is the rollouts' section of the diagnostic dump.
const sectionRollouts = "rollouts"

// rolloutState is the rollouts' section of the diagnostic dump: the known orders and what the
// table decided on them.
type rolloutState struct {
	Orders []rolloutOrderState `json:"orders"`
	// Version is that of the latest known change of the orders, 0 while they are unknown.
	Version usher.Version `json:"version"`
	Table   any           `json:"decisions"`
}

// rolloutOrderState is an order in the dump.
type rolloutOrderState struct {
	Service     usher.ServiceName     `json:"service"`
	Target      usher.SoftwareVersion `json:"target"`
	DurationS   float64               `json:"durationS"`
	State       usher.RolloutState    `json:"state"`
	StateTarget usher.SoftwareVersion `json:"stateTarget"`
	Revision    uint64                `json:"revision"`
}

func (r *rolloutRunner) state() any {
	orders, version := r.orders.List()
	state := rolloutState{Orders: []rolloutOrderState{}, Version: version, Table: r.table.State()}
	for i := range orders {
		order := &orders[i]
		state.Orders = append(state.Orders, rolloutOrderState{
			Service: order.Service, Target: order.Target, DurationS: order.Duration.Seconds(),
			State: order.State, StateTarget: order.StateTarget, Revision: order.Written.Revision(),
		})
	}
	return state
}

// setOrders applies the orders that the directory holds.
func (r *rolloutRunner) setOrders(orders []usher.RolloutOrder) {
	r.table.SetOrders(orders)
	r.logOrders(orders)
	r.onPoolsChanged()
}

// logOrders writes a line for each order that is new, or whose state has changed.
func (r *rolloutRunner) logOrders(orders []usher.RolloutOrder) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := make(map[usher.ServiceName]usher.RolloutOrder, len(orders))
	for _, order := range orders {
		listed[order.Service] = order
		if last, found := r.known[order.Service]; !found || last != order {
			logRolloutOrder(r.log.Info(), &order).Msg("rolloutOrder")
		}
	}
	for service, last := range r.known {
		if _, found := listed[service]; !found {
			logRolloutOrder(r.log.Info(), &last).Msg("rolloutOrderWithdrawn")
		}
	}
	r.known = listed
}

func logRolloutOrder(event *zerolog.Event, order *usher.RolloutOrder) *zerolog.Event {
	return event.Str("service", string(order.Service)).Str("target", string(order.Target)).Dur("duration", order.Duration).
		Str("state", string(order.State)).Str("stateTarget", string(order.StateTarget)).
		Uint16("era", uint16(order.Written.Era())).Uint64("revision", order.Written.Revision())
}

// run decides on rollouts until ctx ends.
func (r *rolloutRunner) run(ctx context.Context) {
	pause.Every(ctx, rolloutInterval, func() {
		if r.orders.IsEmpty() {
			return
		}
		r.pools.Lock()
		transitions, changed := r.table.Decide()
		r.pools.Unlock()
		if changed {
			r.log.Info().Any("rollouts", r.table.State()).Msg("rolloutStep")
			r.onPoolsChanged()
		}
		for _, transition := range transitions {
			if r.beginWrite(transition.Order.Service) {
				go r.record(ctx, transition)
			}
		}
	})
}

// beginWrite reports whether a state of a service's order may be recorded now.
func (r *rolloutRunner) beginWrite(service usher.ServiceName) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	write := r.writes[service]
	if write == nil {
		write = &rolloutWrite{}
		r.writes[service] = write
	}
	if write.running || time.Now().Before(write.notUntil) {
		return false
	}
	write.running = true
	return true
}

func (r *rolloutRunner) endWrite(service usher.ServiceName, failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	write := r.writes[service]
	write.running = false
	if !failed {
		write.failures = 0
		return
	}
	write.notUntil = time.Now().Add(min(maxRolloutRetryDelay, minRolloutRetryDelay<<min(write.failures, 6)))
	write.failures++
}

// record records a state in the directory, and passes on what the directory holds afterwards.
func (r *rolloutRunner) record(ctx context.Context, transition rollout.Transition) {
	order := &transition.Order
	writeCtx, cancel := context.WithTimeout(ctx, rolloutWriteTimeout)
	defer cancel()
	started := time.Now()
	current, err := r.directory.SetRolloutState(writeCtx, *order, transition.State)
	event := r.log.Info()
	name, conflict := "rolloutStateWritten", new(usher.ConflictError)
	switch {
	case err == nil:
		r.metrics.Add(string(transition.State), 1)
		r.orders.Set(current)
	case errors.As(err, &conflict):
		name = "rolloutStateSuperseded"
		r.metrics.Add("superseded", 1)
		if current.Service == order.Service {
			r.orders.Set(current)
		} else {
			r.onOrderGone()
		}
	default:
		name = "rolloutStateNotWritten"
		r.metrics.Add("notWritten", 1)
		event = r.log.Warn()
	}
	r.endWrite(order.Service, err != nil)
	logRolloutOrder(event, order).Str("newState", string(transition.State)).Str("why", transition.Why).
		Int64("tookMs", time.Since(started).Milliseconds()).Err(err).Msg(name)
}
