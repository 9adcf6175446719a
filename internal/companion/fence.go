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

// FenceKeyPrefix is the prefix of the store keys of the endpoints' fencing tokens.
const FenceKeyPrefix usher.ObjectKey = "fences/"

// fenceRetryDelay is the delay before another attempt after the store failed to
// increment the token.
const fenceRetryDelay = 500 * time.Millisecond

// fenceObject is the stored value of an endpoint's fencing token.
type fenceObject struct {
	Fence       usher.FencingToken `json:"fence"`
	Incarnation usher.Incarnation  `json:"incarnation"`
}

// Fence is the fencing token of one incarnation at its endpoint. It is an
// additional safeguard at endpoints that check it. At-most-once execution does not
// depend on it, because other endpoints ignore it. The fencing tokens of key slots
// are independent of it.
type Fence struct {
	store       usher.Store
	key         usher.ObjectKey
	incarnation usher.Incarnation
	log         zerolog.Logger
	current     atomic.Uint64
}

// NewFence returns the fencing token of an incarnation, which is 0 until Run has
// acquired one.
func NewFence(store usher.Store, endpoint usher.EndpointName, incarnation usher.Incarnation, log zerolog.Logger) *Fence {
	return &Fence{store: store, key: FenceKeyPrefix + usher.ObjectKey(endpoint), incarnation: incarnation, log: log}
}

// Current returns the token, or 0 if there is none yet.
func (f *Fence) Current() usher.FencingToken { return usher.FencingToken(f.current.Load()) }

// Run increments the endpoint's token until the store confirms it or ctx ends. The token
// of an incarnation stays the same when the store goes back to an earlier state: those
// that it gives out afterwards are higher.
func (f *Fence) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		fence, err := f.increment(ctx)
		if err == nil {
			f.current.Store(uint64(fence))
			f.log.Info().Uint64("fence", uint64(fence)).Msg("fenceRaised")
			return nil
		}
		f.log.Warn().Err(err).Msg("fenceNotRaised")
		pause.For(ctx, fenceRetryDelay)
	}
	return nil
}

// increment acquires the next token by a conditional update. The stored
// incarnation identifies an earlier write whose reply was lost.
func (f *Fence) increment(ctx context.Context) (usher.FencingToken, error) {
	object, err := f.store.Get(ctx, f.key)
	var missing *usher.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return 0, err
	}
	var stored fenceObject
	if len(object.Value) > 0 {
		if err := json.Unmarshal(object.Value, &stored); err != nil {
			return 0, err
		}
	}
	if stored.Incarnation == f.incarnation {
		return stored.Fence, nil
	}
	next := fenceObject{Fence: stored.Fence.Next(f.store.Era()), Incarnation: f.incarnation}
	encoded, err := json.Marshal(next)
	if err != nil {
		return 0, err
	}
	if _, err := f.store.Put(ctx, f.key, object.Version, encoded); err != nil {
		return 0, err
	}
	return next.Fence, nil
}
