package companion

import (
	"context"
	"errors"
	"net/http"
	"time"

	"filbertusher/internal/endpoint"
	"filbertusher/internal/suspect"
	"filbertusher/pkg/usher"
)

// crashProbeTimeout bounds the question whether an endpoint has crashed.
const crashProbeTimeout = time.Second

// reachable is implemented by back ends that can be asked whether they still
// listen, for protocols that can't be asked for a request.
type reachable interface {
	Listens(ctx context.Context) bool
}

// enter lets the request into the endpoint: with others, or alone when it is
// suspected to have crashed one. It returns why the request may not run at all.
func (w *work) enter(ctx context.Context) *usher.Refusal {
	c := w.companion
	header := &w.entry.Header
	crashes := max(header.Crashes, c.Suspects.Crashes(func() suspect.Fingerprint { return suspect.FingerprintOf(header) }))
	if crashes >= c.options.MaxCrashes {
		return usher.NewRefusal(usher.RefusalSuspect, "the request was in endpoints that crashed and is not run any more")
	}
	w.alone = crashes > 0
	if !c.gate.Acquire(ctx, w.alone) {
		return usher.NewRefusal(usher.RefusalDeadline, "the deadline passed while a suspected request ran alone")
	}
	w.entered = true
	return nil
}

// leave ends what enter began.
func (w *work) leave() {
	if w.entered {
		w.entered = false
		w.companion.gate.Release()
	}
}

// survived clears a suspect that has ended while it ran alone.
func (w *work) survived() {
	if w.alone {
		w.companion.Suspects.MarkCleared(&w.entry.Header)
		w.companion.outlets.wakeAll()
	}
}

// noteCrash makes the request a suspect when its endpoint has crashed. Each
// request that was in the endpoint comes here by itself.
func (w *work) noteCrash(ctx context.Context, err error) {
	var refusal *usher.Refusal
	if ctx.Err() != nil || errors.As(err, &refusal) || !w.crashed(err) {
		return
	}
	c := w.companion
	header := &w.entry.Header
	crashes := c.Suspects.RecordCrash(header)
	c.outlets.wakeAll()
	c.Log.Warn().Str("requestId", string(header.ID)).Str("workspace", string(header.Workspace)).
		Str("fingerprint", string(suspect.FingerprintOf(header))).Int("crashes", crashes).Bool("alone", w.alone).Msg("endpointCrashed")
}

// crashed tells a crash from a broken connection. After a crash the endpoint
// does not listen, or it listens again and has forgotten the request.
func (w *work) crashed(err error) bool {
	var broken *usher.BackendError
	if errors.As(err, &broken) && !broken.Reached {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	if plain, ok := w.companion.Backend.(reachable); ok {
		return !plain.Listens(ctx)
	}
	stream, err := w.companion.Backend.Resume(ctx, w.idInEndpoint(), 0)
	if err == nil {
		_ = stream.Close()
		return false
	}
	var status *endpoint.StatusError
	if errors.As(err, &status) {
		return status.Status == http.StatusNotFound
	}
	return errors.As(err, &broken) && !broken.Reached
}
