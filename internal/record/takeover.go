package record

import (
	"context"
	"errors"
	"time"

	"filbertusher/internal/pause"
	"filbertusher/internal/wire"
)

// takeoverGap is the pause between two writes of one companion. The death of
// an entry makes each companion that knew it write once or twice.
const takeoverGap = 50 * time.Millisecond

// step stores what entries that fell silent have left: their sealed batches
// under the keys that they were sealed for, and their single decisions in a
// chain of this companion. With all set, it stores everything.
//
// An entry may be alive and only silent. Then a batch is written twice with
// the same value, and a decision stands in two chains, which a reader merges
// by its id; nothing depends on being sure of a death.
func (k *Keeper) step(ctx context.Context, all bool) bool {
	sealed, taken, heads := k.due(all)
	for i := range taken {
		k.outbox.add(&taken[i].decision, nil)
	}
	done := true
	for _, batch := range sealed {
		done = k.storeSealed(ctx, batch) && done
		pause.For(ctx, takeoverGap)
	}
	k.outbox.Seal(heads, false)
	err := k.outbox.Drain(ctx, takeoverGap, k.options.Silence, func(batch *sealedBatch, _ error) {
		k.metrics.takenOver(int64(len(batch.items)))
		k.log.Info().Int("decisions", len(batch.items)).Str("key", string(batch.Key)).Msg("recordTakenOver")
	})
	if err != nil {
		k.log.Debug().Err(err).Msg("recordTakeoverFailed")
	}
	return done && err == nil && len(k.outbox.unstored()) == 0
}

// due takes out what is to be stored. Decisions move to the chain of this
// companion, which holds them until they are stored; sealed batches stay until
// they are. The newest batches of silent entries are countersigned, so that
// the end of a chain whose writer died can't be cut off unseen.
func (k *Keeper) due(all bool) (sealed []wire.SealedBatch, taken []*heldCopy, heads []wire.RecordHead) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	for prefix, entry := range k.entries {
		silent := all || now.Sub(entry.heard) > k.options.Silence
		for suffix, held := range entry.copies {
			if all || (silent && now.Sub(held.since) > k.options.Silence) || now.Sub(held.since) > overdueSilences*k.options.Silence {
				taken = append(taken, held)
				delete(entry.copies, suffix)
				k.bytes.Add(-held.bytes)
			}
		}
		for key, value := range entry.sealed {
			if silent {
				sealed = append(sealed, wire.SealedBatch{Key: key, Value: value})
			}
		}
		if silent && entry.head.Digest != "" && len(heads) < maxSeen {
			heads = append(heads, entry.head)
		}
		if silent && len(entry.copies) == 0 && len(entry.sealed) == 0 && now.Sub(entry.heard) > overdueSilences*k.options.Silence {
			k.forget(prefix)
		}
	}
	return sealed, taken, heads
}

// forget needs the lock.
func (k *Keeper) forget(prefix string) {
	delete(k.entries, prefix)
	for i, known := range k.order {
		if known == prefix {
			k.order = append(k.order[:i], k.order[i+1:]...)
			return
		}
	}
}

func (k *Keeper) storeSealed(ctx context.Context, batch wire.SealedBatch) bool {
	err := storeBatch(ctx, k.store, batch.Key, batch.Value)
	var displaced *DisplacedError
	if err != nil && !errors.As(err, &displaced) {
		return false
	}
	k.metrics.batches(1)
	k.log.Info().Str("key", string(batch.Key)).Msg("recordBatchTakenOver")
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, entry := range k.entries {
		if value, ok := entry.sealed[batch.Key]; ok {
			k.bytes.Add(-int64(len(value)))
			delete(entry.sealed, batch.Key)
		}
	}
	return true
}

// Close stores all copies, whoever they belong to, before a planned stop. It
// gives up when ctx ends and says whether everything is stored.
func (k *Keeper) Close(ctx context.Context) bool {
	for !k.step(ctx, true) {
		if ctx.Err() != nil {
			k.log.Warn().Msg("recordCopiesLeft")
			return false
		}
		pause.For(ctx, holdTimeout)
	}
	k.outbox.Seal(nil, true)
	if err := k.outbox.Drain(ctx, 0, closeTimeout, func(*sealedBatch, error) {}); err != nil {
		return true
	}
	_ = k.outbox.storeIndex(ctx, true)
	return true
}
