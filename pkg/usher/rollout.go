package usher

import (
	"context"
	"time"
)

// RolloutState is what was recorded of a rollout in the directory.
type RolloutState string

// The states of a rollout. RolloutNew stands for an order without a recorded state.
const (
	RolloutNew        RolloutState = ""
	RolloutInProgress RolloutState = "inProgress"
	RolloutCompleted  RolloutState = "completed"
	RolloutRolledBack RolloutState = "rolledBack"
)

// RolloutOrder is an operator's order to move the traffic of a service to the endpoints of
// one software version.
type RolloutOrder struct {
	Service ServiceName
	Target  SoftwareVersion
	// Duration is the time from the order to its deadline.
	Duration time.Duration
	// Written is the store's version of the order, on which SetRolloutState depends.
	Written Version
	// State is the recorded state, which applies if StateTarget is Target. Otherwise it is
	// that of an earlier order for the service.
	State       RolloutState
	StateTarget SoftwareVersion
}

// IsActive reports whether the order is still to be carried out.
func (o *RolloutOrder) IsActive() bool {
	return o.StateTarget != o.Target || o.State != RolloutCompleted && o.State != RolloutRolledBack
}

// RolloutChange is a rollout order that was written or withdrawn. Service is set in both
// cases, and Written is the version of the change, or 0 if it is not known.
type RolloutChange struct {
	RolloutOrder
	Withdrawn bool
}

// RolloutDirectory is the part of the service discovery that holds the rollout orders.
// Errors are those of Store.
type RolloutDirectory interface {
	EraSource
	// Rollouts returns all orders and the revision to watch from.
	Rollouts(ctx context.Context) ([]RolloutOrder, Version, error)
	// WatchRollouts waits for changes of orders, for at most wait.
	WatchRollouts(ctx context.Context, since Version, wait time.Duration) ([]RolloutChange, Version, error)
	// SetRolloutState records the state of an order on the condition that the order has not
	// changed since it was read. It returns the order as it is afterwards; a
	// *ConflictError means that the order changed, and the result is the changed one.
	SetRolloutState(ctx context.Context, order RolloutOrder, state RolloutState) (RolloutOrder, error)
}
