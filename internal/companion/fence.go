package companion

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"filbertusher/internal/pause"
	"filbertusher/pkg/usher"
)

// FencePrefix begins the keys of the objects that hold fencing numbers.
const FencePrefix usher.ObjectKey = "fences/"

// fenceRetry is the pause after the store did not take the raise.
const fenceRetry = 500 * time.Millisecond

// fenceObject is the value of an endpoint's fencing object.
type fenceObject struct {
	Fence       usher.Fence       `json:"fence"`
	Incarnation usher.Incarnation `json:"incarnation"`
}

// Fence is the fencing number of one incarnation at its endpoint. It is a
// second line for endpoints that check it; at most once does not rest on it,
// because others ignore it.
type Fence struct {
	store       usher.Store
	key         usher.ObjectKey
	incarnation usher.Incarnation
	log         zerolog.Logger
	current     atomic.Uint64
}

// NewFence returns the fencing number of an incarnation, which is 0 until Run
// has raised it.
func NewFence(store usher.Store, endpoint usher.EndpointName, incarnation usher.Incarnation, log zerolog.Logger) *Fence {
	return &Fence{store: store, key: FencePrefix + usher.ObjectKey(endpoint), incarnation: incarnation, log: log}
}

// Current returns the number.
func (f *Fence) Current() usher.Fence { return usher.Fence(f.current.Load()) }

// Run raises the endpoint's number until the store confirms it or ctx ends.
func (f *Fence) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		fence, err := f.raise(ctx)
		if err == nil {
			f.current.Store(uint64(fence))
			f.log.Info().Uint64("fence", uint64(fence)).Msg("fenceRaised")
			return nil
		}
		f.log.Warn().Err(err).Msg("fenceNotRaised")
		pause.For(ctx, fenceRetry)
	}
	return nil
}

// raise takes the next number by a conditional update. A write whose answer
// was lost is found again by the incarnation in it.
func (f *Fence) raise(ctx context.Context) (usher.Fence, error) {
	object, err := f.store.Get(ctx, f.key)
	var missing *usher.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return 0, err
	}
	var held fenceObject
	if len(object.Value) > 0 {
		if err := json.Unmarshal(object.Value, &held); err != nil {
			return 0, err
		}
	}
	if held.Incarnation == f.incarnation {
		return held.Fence, nil
	}
	next := fenceObject{Fence: held.Fence + 1, Incarnation: f.incarnation}
	encoded, err := json.Marshal(next)
	if err != nil {
		return 0, err
	}
	if _, err := f.store.Put(ctx, f.key, object.Version, encoded); err != nil {
		return 0, err
	}
	return next.Fence, nil
}
