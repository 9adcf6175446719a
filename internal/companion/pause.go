package companion

import (
	"context"
	"strconv"
	"time"

	"filbertusher/pkg/usher"
)

// maxPauses is how often one request gives its place back. After that it keeps
// its place, so that it ends.
const maxPauses = 2

// call runs a request whose answer is not streamed. While it runs it may be
// paused for a more urgent one: its KV cache is exported, its work in the
// engine is cancelled, it waits for a place again, and the cache is imported
// before it goes on. Nobody has seen a part of its answer, so it stays one
// dispatch of one request, moved in time by its companion.
//
// The returned slot is the one that the request holds in the end; it is nil
// when the request lost its place and did not get another one.
func (w *work) call(ctx context.Context, slot usher.Slot) (*usher.Answer, usher.Slot, time.Duration, error) {
	c := w.companion
	for pauses := 0; ; pauses++ {
		running, pause := context.WithCancel(ctx)
		w.engineID = w.args.Header.ID
		if pauses > 0 {
			w.engineID += usher.RequestID("." + strconv.Itoa(pauses))
		}
		paused := make(chan bool, 1)
		cache := w.watch(running, pause, slot, pauses < maxPauses, paused)
		started := time.Now()
		answer, err := c.Backend.Call(running, w.engineID, c.Fence(), &w.args.Call)
		pause()
		if !<-paused || err == nil {
			return answer, slot, time.Since(started), err
		}
		w.cancelInEndpoint()
		slot.Release()
		c.metrics.paused(1)
		slot, err = c.Admission.Admit(ctx, &w.entry.Header)
		if err != nil {
			return nil, nil, 0, pausedRefusal(err)
		}
		w.importCache(ctx, *cache)
	}
}

// watch pauses the call when its place is asked for. paused tells in the end
// whether it was. Nothing is watched where the work could not be kept.
func (w *work) watch(running context.Context, pause func(), slot usher.Slot, may bool, paused chan bool) *[]byte {
	cache := new([]byte)
	transfer, ok := w.companion.Backend.(usher.CacheTransfer)
	if !ok || !may || !w.entry.Header.Idempotent {
		paused <- false
		return cache
	}
	go func() {
		select {
		case <-slot.Preempted():
		case <-running.Done():
			paused <- false
			return
		}
		*cache, _ = transfer.ExportCache(running, w.engineID)
		paused <- running.Err() == nil
		pause()
	}()
	return cache
}

func (w *work) importCache(ctx context.Context, cache []byte) {
	transfer, ok := w.companion.Backend.(usher.CacheTransfer)
	if !ok || len(cache) == 0 {
		return
	}
	if err := transfer.ImportCache(ctx, cache); err != nil {
		w.companion.Log.Debug().Err(err).Str("requestId", string(w.args.Header.ID)).Msg("cacheImportFailed")
	}
}

// pausedRefusal is the refusal of a request that was paused and got no place
// again. It ran in part, so it is not refused as not run.
func pausedRefusal(err error) error {
	refusal := *asRefusal(err, usher.OutcomeUnknown)
	refusal.Outcome = usher.OutcomeUnknown
	return &refusal
}
