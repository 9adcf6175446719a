package record

import (
	"context"
	"errors"
	"time"

	"filbertusher/internal/pause"
	"filbertusher/internal/wire"
)

// takeoverWriteGap is the pause between two writes of one companion. When an entry
// fails, each companion that held its copies writes once or twice.
const takeoverWriteGap = 50 * time.Millisecond

// takeOver stores the copies of silent entries: sealed batches under their own
// keys, and single decisions in this companion's chain. If all is set, it stores
// the copies of all entries. It reports whether everything is stored.
//
// A silent entry may still be running, and takeOver need not be certain that it
// failed. If it runs, a batch is written twice with the same value. A decision
// then appears in two chains, and readers merge its lines by request ID.
func (r *Replica) takeOver(ctx context.Context, all bool) bool {
	sealed, copies, heads := r.takeDue(all)
	for i := range copies {
		r.chain.add(&copies[i].decision, nil)
	}
	allStored := true
	for _, batch := range sealed {
		allStored = r.storeSealed(ctx, batch) && allStored
		pause.For(ctx, takeoverWriteGap)
	}
	r.chain.Seal(heads, false)
	err := r.chain.Drain(ctx, takeoverWriteGap, r.options.SilenceTimeout, func(batch *sealedBatch, _ error) {
		r.metrics.copiesTakenOver(int64(len(batch.refs)))
		r.log.Info().Int("decisions", len(batch.refs)).Str("key", string(batch.Key)).Msg("recordTakenOver")
	})
	if err != nil {
		r.log.Debug().Err(err).Msg("recordTakeoverFailed")
	}
	return allStored && err == nil && len(r.chain.unstoredBatches()) == 0
}

// takeDue returns what takeOver has to store. It removes the decisions from the
// copies, because this companion's chain holds them until they are stored; sealed
// batches remain until they are stored. The returned heads, the newest batches of
// silent entries, are to be countersigned, so that the end of a failed writer's
// chain can't be cut off undetected.
func (r *Replica) takeDue(all bool) (sealed []wire.SealedBatch, copies []*heldCopy, heads []wire.RecordHead) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for prefix, entry := range r.entries {
		silent := all || now.Sub(entry.lastHeard) > r.options.SilenceTimeout
		for suffix, held := range entry.copies {
			if all || (silent && now.Sub(held.heldSince) > r.options.SilenceTimeout) || now.Sub(held.heldSince) > overdueTimeouts*r.options.SilenceTimeout {
				copies = append(copies, held)
				delete(entry.copies, suffix)
				r.bytes.Add(-held.bytes)
			}
		}
		for key, value := range entry.sealed {
			if silent {
				sealed = append(sealed, wire.SealedBatch{Key: key, Value: value})
			}
		}
		if silent && entry.head.Digest != "" && len(heads) < maxCountersigned {
			heads = append(heads, entry.head)
		}
		if silent && len(entry.copies) == 0 && len(entry.sealed) == 0 && now.Sub(entry.lastHeard) > overdueTimeouts*r.options.SilenceTimeout {
			r.removeEntry(prefix)
		}
	}
	return sealed, copies, heads
}

// removeEntry removes an entry without copies. The caller must hold r.mu.
func (r *Replica) removeEntry(prefix string) {
	delete(r.entries, prefix)
	for i, known := range r.prefixes {
		if known == prefix {
			r.prefixes = append(r.prefixes[:i], r.prefixes[i+1:]...)
			return
		}
	}
}

func (r *Replica) storeSealed(ctx context.Context, batch wire.SealedBatch) bool {
	err := r.chain.objects.putBatch(ctx, batch.Key, batch.Value)
	var displaced *DisplacedError
	if err != nil && !errors.As(err, &displaced) {
		return false
	}
	r.metrics.batchesTakenOver(1)
	r.log.Info().Str("key", string(batch.Key)).Msg("recordBatchTakenOver")
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, entry := range r.entries {
		if value, ok := entry.sealed[batch.Key]; ok {
			r.bytes.Add(-int64(len(value)))
			delete(entry.sealed, batch.Key)
		}
	}
	return true
}

// Close stores the copies of all entries before a planned shutdown. It gives up
// when ctx is done, and reports whether all copies are stored.
func (r *Replica) Close(ctx context.Context) bool {
	for !r.takeOver(ctx, true) {
		if ctx.Err() != nil {
			r.log.Warn().Msg("recordCopiesLeft")
			return false
		}
		pause.For(ctx, exchangeTimeout)
	}
	r.chain.Seal(nil, true)
	if err := r.chain.Drain(ctx, 0, closeDrainTimeout, func(*sealedBatch, error) {}); err != nil {
		// All copies are stored. Only the mark of the chain's end is missing.
		return true
	}
	_ = r.chain.storeIndex(ctx, true)
	return true
}
