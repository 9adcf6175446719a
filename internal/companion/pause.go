package companion

import (
	"context"
	"strconv"
	"time"

	"filbertusher/pkg/usher"
)

// maxPauses is the maximum number of times that one request gives up its slot.
// After that it keeps its slot, so that it completes.
const maxPauses = 2

// callWithPauses runs a request whose response is not streamed. While it runs it
// may be paused for a more urgent one: its KV cache is exported, its run in the
// engine is cancelled, it waits for a slot again, and the cache is imported before
// it continues. No part of its response has been delivered, so this still counts
// as one dispatch of the request.
//
// The returned slot is the one that the request holds in the end; it is nil if the
// request gave up its slot and did not get another one.
func (e *execution) callWithPauses(ctx context.Context, slot usher.Slot) (*usher.Response, usher.Slot, time.Duration, error) {
	c := e.companion
	for pauses := 0; ; pauses++ {
		callCtx, interrupt := context.WithCancel(ctx)
		e.backendID = e.args.Header.ID
		if pauses > 0 {
			e.backendID += usher.RequestID("." + strconv.Itoa(pauses))
		}
		paused := make(chan bool, 1)
		cache := e.watchPreemption(callCtx, interrupt, slot, pauses < maxPauses, paused)
		started := time.Now()
		response, err := c.Backend.Call(callCtx, e.backendID, c.Fence(), &e.args.Call)
		interrupt()
		if !<-paused || err == nil {
			return response, slot, time.Since(started), err
		}
		e.cancelAtEndpoint()
		slot.Release()
		c.metrics.paused(1)
		slot, err = c.Admission.Admit(ctx, &e.request.Header)
		if err != nil {
			return nil, nil, 0, pausedRefusal(err)
		}
		e.importCache(ctx, *cache)
	}
}

// watchPreemption interrupts the call when its slot is preempted, after it has
// exported the KV cache to the returned buffer. It sends to paused whether it
// interrupted the call. Calls whose cache can't be exported, or that must not
// be repeated, are not interrupted.
func (e *execution) watchPreemption(callCtx context.Context, interrupt func(), slot usher.Slot, allowed bool, paused chan bool) *[]byte {
	cache := new([]byte)
	transfer, ok := e.companion.Backend.(usher.CacheTransfer)
	if !ok || !allowed || !e.request.Header.Idempotent {
		paused <- false
		return cache
	}
	go func() {
		select {
		case <-slot.EnablePreemption():
		case <-callCtx.Done():
			paused <- false
			return
		}
		*cache, _ = transfer.ExportCache(callCtx, e.backendID)
		paused <- callCtx.Err() == nil
		interrupt()
	}()
	return cache
}

func (e *execution) importCache(ctx context.Context, cache []byte) {
	transfer, ok := e.companion.Backend.(usher.CacheTransfer)
	if !ok || len(cache) == 0 {
		return
	}
	if err := transfer.ImportCache(ctx, cache); err != nil {
		e.companion.Log.Debug().Err(err).Str("requestId", string(e.args.Header.ID)).Msg("cacheImportFailed")
	}
}

// pausedRefusal returns the refusal of a request that was paused and did not get a
// slot again. The request ran in part, so its outcome is not "not run".
func pausedRefusal(err error) error {
	refusal := *toRefusal(err, usher.OutcomeUnknown)
	refusal.Outcome = usher.OutcomeUnknown
	return &refusal
}
