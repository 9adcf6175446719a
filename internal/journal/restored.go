package journal

import (
	"context"
	"encoding/json"
	"time"

	"filbertusher/pkg/usher"
)

const (
	// claimGrace is how long after the store went back to an earlier state slots are not
	// claimed whose head may lack keys. Their holders write them again meanwhile.
	claimGrace = 5 * time.Second
	// maxHeadAge is how long a write may rely on the last confirmation that the slot is
	// held. With the time that a call may take it is less than claimGrace: the condition
	// of a write can't tell a claim that got the same revision in a new era.
	maxHeadAge = 2500 * time.Millisecond
	// heldCheckInterval is how often a slot that was written within recentlyWritten is
	// read, so that its holder learns soon that the store went back. A holder that makes
	// no calls learns nothing.
	heldCheckInterval = 2 * time.Second
	recentlyWritten   = time.Minute
	// maxRewriteBytes is the estimated size of one segment when a slot is written again,
	// in bytes. The store takes objects of up to a megabyte.
	maxRewriteBytes = 256 << 10
)

// RestoredError is the cause of an error when the store went back to an earlier state
// and what it lost of a slot may not have been written again yet.
type RestoredError struct{ Key usher.ObjectKey }

// Error implements error.
func (e *RestoredError) Error() string {
	return "the store went back to an earlier state; " + string(e.Key) + " may lack keys"
}

// mayLackKeys reports whether a head that was read, or found missing, may be older than
// what its holder had written, and the holder may still write it again.
func (t *SlotTable) mayLackKeys(version usher.Version, found *head) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if era := t.store.Era(); t.eraSeen.IsZero() || era != t.era {
		t.restored = !t.eraSeen.IsZero()
		t.era, t.eraSeen = era, time.Now()
	}
	if time.Since(t.eraSeen) >= claimGrace {
		return false
	}
	if version == 0 {
		return t.restored
	}
	// Builds that don't write the era leave it 0.
	return found.Era != 0 && found.Era < t.era
}

// KeepHeld checks regularly that the slots are still held, and writes them again when
// the store went back to an earlier state, until ctx ends.
func (t *SlotTable) KeepHeld(ctx context.Context) error {
	ticker := time.NewTicker(heldCheckInterval)
	defer ticker.Stop()
	restored := t.store.Restored()
	for {
		select {
		case <-restored:
			restored = t.store.Restored()
			t.confirmHeld(ctx, t.heldSlots(0))
		case <-ticker.C:
			t.confirmHeld(ctx, t.heldSlots(recentlyWritten))
		case <-ctx.Done():
			return nil
		}
	}
}

// heldSlots returns the slots that were written within the given time, one if it is
// not 0: any call shows that the store went back.
func (t *SlotTable) heldSlots(within time.Duration) []*Slot {
	t.mu.Lock()
	defer t.mu.Unlock()
	var held []*Slot
	for _, slot := range t.slots {
		if within == 0 {
			held = append(held, slot)
		} else if slot.writtenWithin(within) {
			return []*Slot{slot}
		}
	}
	return held
}

// confirmHeld checks the slots. One that can't be confirmed now is checked before its
// next key is accepted.
func (t *SlotTable) confirmHeld(ctx context.Context, slots []*Slot) {
	for _, slot := range slots {
		callCtx, cancel := context.WithTimeout(ctx, outcomeTimeout)
		if slot.ConfirmHeld(callCtx) != nil && ctx.Err() == nil {
			t.counts.unconfirmed.Add(1)
		}
		cancel()
	}
}

// headAge returns the time since the slot was last confirmed to be held.
func (s *Slot) headAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.confirmedAt)
}

func (s *Slot) writtenWithin(period time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.writtenAt) < period
}

// canRewrite reports whether the head that was read is a copy, from before the store
// went back, of one that this incarnation has written or taken over since, so that it
// still holds the slot. Whoever takes over a slot later writes the new era into it.
func (s *Slot) canRewrite(found *head) bool {
	era := s.table.store.Era()
	return era > s.version.Era() && found.Era < era
}

// rewrite writes all keys of the slot again, in place of the head that was read at
// version. Segments that the head referred to may be lost too, so it refers to new ones
// only. The caller holds writeLock.
func (s *Slot) rewrite(ctx context.Context, version usher.Version, found *head) error {
	next := &batch{expected: version, value: head{
		Holder: s.table.options.Holder, Fence: s.value.Fence, WriteID: s.table.newWriteID(), Era: s.table.store.Era(),
	}}
	for _, records := range s.partitionRecords() {
		ref, err := s.writeSegment(ctx, records)
		if err != nil {
			return err
		}
		next.value.Segments = append(next.value.Segments, ref)
	}
	next.expiredSegments = append(append(next.expiredSegments, s.value.Segments...), found.Segments...)
	encoded, err := json.Marshal(next.value)
	if err != nil {
		return &MalformedError{Key: headKey(s.id.service, s.id.number), Cause: err}
	}
	next.encoded = encoded
	s.mu.Lock()
	// The condition of a write that is sent again is checked against this version.
	s.version, s.unconfirmed = version, next
	s.mu.Unlock()
	s.table.counts.rewritten.Add(1)
	return s.sendUnconfirmed(ctx)
}

// partitionRecords returns the records of all keys that the journal may contain, in
// parts that fit into a segment.
func (s *Slot) partitionRecords() (parts [][]Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var part []Record
	for _, entry := range s.entries {
		if !entry.maybeStored || entry.finished && time.Since(entry.Taken) > s.retention {
			continue
		}
		record := entry.Record
		if entry.finished {
			record = entry.outcome
		}
		part = append(part, record)
		if estimatedBytes(part) >= maxRewriteBytes {
			parts, part = append(parts, part), nil
		}
	}
	if len(part) > 0 {
		parts = append(parts, part)
	}
	return parts
}
