package journal

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"filbertusher/internal/pause"
	"filbertusher/pkg/usher"
)

// defaultMaxHead is how large the records in the head may grow before they
// move to a segment, in bytes. Every write sends the head, so it stays small.
const defaultMaxHead = 8 << 10

// settleAttempts bounds how often one write is tried or read back in a row.
const settleAttempts = 3

// change is a record that has to be written, or only a question whether the
// slot is still held. done is nil when nobody waits.
type change struct {
	record *Record
	// leave gives the slot up.
	leave bool
	done  chan struct{}
	err   error
}

func (c *change) end(err error) {
	if c.done == nil {
		return
	}
	c.err = err
	close(c.done)
	c.done = nil
}

// batch is one write with all changes that it carries.
type batch struct {
	changes  []*change
	expected usher.Version
	value    head
	encoded  []byte
	// expired are segments that value does not name any more. They can go only
	// once the write took effect, because a successor reads what the head names.
	expired []segmentRef
}

// apply queues a change and waits for its write. Whoever gets the right to
// write first writes for all that wait, so writes grow with time and not with
// requests.
func (s *Slot) apply(ctx context.Context, asked *change) error {
	if s.local {
		return nil
	}
	done := asked.done
	s.mu.Lock()
	if s.lost != nil {
		s.mu.Unlock()
		return s.lost
	}
	s.pending = append(s.pending, asked)
	s.mu.Unlock()
	for {
		select {
		case <-done:
			return asked.err
		case <-ctx.Done():
			return &UnsettledError{Cause: context.Cause(ctx)}
		case s.writing <- struct{}{}:
		}
		select {
		case <-done:
			<-s.writing
			return asked.err
		default:
		}
		err := s.write(ctx)
		<-s.writing
		if err != nil && ctx.Err() == nil {
			pause.For(ctx, retryDelay)
		}
	}
}

// retryDelay is the pause after a write that the store did not take.
const retryDelay = 50 * time.Millisecond

// flush writes what is pending, for nobody in particular.
func (s *Slot) flush(ctx context.Context) error {
	select {
	case s.writing <- struct{}{}:
	case <-ctx.Done():
		return &UnsettledError{Cause: context.Cause(ctx)}
	}
	defer func() { <-s.writing }()
	return s.write(ctx)
}

// write needs the right to write. It settles an unsure write first, because
// the next one needs its version.
func (s *Slot) write(ctx context.Context) error {
	if s.limbo != nil {
		if err := s.settle(ctx); err != nil {
			return err
		}
	}
	if err := s.limiter.Wait(ctx); err != nil {
		return &UnsettledError{Cause: err}
	}
	s.mu.Lock()
	changes := s.pending
	s.pending = nil
	s.mu.Unlock()
	if len(changes) == 0 {
		return nil
	}
	if onlyQuestions(changes) {
		return s.check(ctx, changes)
	}
	next, err := s.compose(ctx, changes)
	if err != nil {
		s.putBack(changes)
		return err
	}
	s.mu.Lock()
	s.limbo = next
	s.mu.Unlock()
	return s.settle(ctx)
}

func onlyQuestions(changes []*change) bool {
	for _, change := range changes {
		if change.record != nil || change.leave {
			return false
		}
	}
	return true
}

func (s *Slot) putBack(changes []*change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost != nil {
		for _, change := range changes {
			change.end(s.lost)
		}
		return
	}
	s.pending = append(changes, s.pending...)
}

// check reads the object to see whether the slot is still held.
func (s *Slot) check(ctx context.Context, changes []*change) error {
	version, current, err := s.book.read(ctx, headKey(s.id.service, s.id.number))
	if err != nil {
		s.putBack(changes)
		return err
	}
	if version != s.version {
		s.putBack(changes)
		s.lose(&MovedError{Holder: current.Holder})
		return nil
	}
	endAll(changes, nil)
	return nil
}

func endAll(changes []*change, err error) {
	for _, change := range changes {
		change.end(err)
	}
}

// compose makes the next value of the head. Records that would make it too
// large move to a segment first.
func (s *Slot) compose(ctx context.Context, changes []*change) (*batch, error) {
	next := &batch{changes: changes, expected: s.version, value: s.value}
	if size(s.value.Records) > s.book.options.MaxHead {
		ref, err := s.roll(ctx)
		if err != nil {
			return nil, err
		}
		next.value.Segments, next.expired = s.splitSegments()
		next.value.Segments = append(next.value.Segments, ref)
		next.value.Records = nil
	}
	records := append([]Record(nil), next.value.Records...)
	for _, change := range changes {
		if change.record != nil {
			records = append(records, *change.record)
		}
		if change.leave {
			next.value.Holder = Holder{}
		}
	}
	next.value.Records = compact(records)
	next.value.Stamp = s.book.stamp()
	encoded, err := json.Marshal(next.value)
	if err != nil {
		return nil, &MalformedError{Key: headKey(s.id.service, s.id.number), Cause: err}
	}
	next.encoded = encoded
	return next, nil
}

// compact keeps the last record of each key.
func compact(records []Record) []Record {
	last := make(map[KeyHash]int, len(records))
	for i, record := range records {
		last[record.Key] = i
	}
	kept := records[:0]
	for i, record := range records {
		if last[record.Key] == i {
			kept = append(kept, record)
		}
	}
	return kept
}

// recordBytes is what a record takes beside its body, roughly, in bytes.
const recordBytes = 260

func size(records []Record) int {
	total := 0
	for _, record := range records {
		total += recordBytes + len(record.Body)*4/3
	}
	return total
}

// roll writes the head's records to a new segment. Its name holds the fencing
// number, so that no other holder writes the same one; until the head names
// the segment, nobody reads it.
func (s *Slot) roll(ctx context.Context) (segmentRef, error) {
	ref := segmentRef{Name: strconv.FormatUint(uint64(s.value.Fence), 10) + "-" + strconv.FormatUint(s.book.writes.Add(1), 10)}
	for _, record := range s.value.Records {
		if record.Taken.After(ref.Newest) {
			ref.Newest = record.Taken
		}
	}
	key := segmentKey(s.id.service, s.id.number, ref.Name)
	encoded, err := json.Marshal(s.value.Records)
	if err != nil {
		return ref, &MalformedError{Key: key, Cause: err}
	}
	s.book.counts.writes.Add(1)
	if _, err := s.book.store.Put(ctx, key, 0, encoded); err != nil {
		return ref, &UnsettledError{Cause: err}
	}
	return ref, nil
}

// splitSegments tells the segments apart whose keys are still remembered.
func (s *Slot) splitSegments() (live, expired []segmentRef) {
	for _, ref := range s.value.Segments {
		if time.Since(ref.Newest) <= s.retention {
			live = append(live, ref)
			continue
		}
		expired = append(expired, ref)
	}
	return live, expired
}

// discard deletes a segment. One that can't be deleted stays without harm.
func (s *Slot) discard(ctx context.Context, ref segmentRef) {
	key := segmentKey(s.id.service, s.id.number, ref.Name)
	if object, err := s.book.store.Get(ctx, key); err == nil {
		_ = s.book.store.Delete(ctx, key, object.Version)
	}
}

// settle tries the write in limbo until its fate is known. The condition and
// the stamp stay the same, so at most one try takes effect, now or later.
func (s *Slot) settle(ctx context.Context) error {
	unsure := s.limbo
	key := headKey(s.id.service, s.id.number)
	var last error
	for range settleAttempts {
		s.book.counts.writes.Add(1)
		version, err := s.book.store.Put(ctx, key, unsure.expected, unsure.encoded)
		if err == nil {
			s.committed(ctx, version)
			return nil
		}
		last = err
		var unavailable *usher.UnavailableError
		if errors.As(err, &unavailable) {
			break
		}
		version, current, err := s.book.read(ctx, key)
		if err != nil {
			break
		}
		if current.Stamp == unsure.value.Stamp {
			s.committed(ctx, version)
			return nil
		}
		if version != unsure.expected {
			s.mu.Lock()
			s.limbo = nil
			s.mu.Unlock()
			s.putBack(unsure.changes)
			s.lose(&MovedError{Holder: current.Holder})
			return nil
		}
	}
	return &UnsettledError{Cause: last}
}

func (s *Slot) committed(ctx context.Context, version usher.Version) {
	s.mu.Lock()
	done := s.limbo
	s.version, s.value, s.limbo = version, done.value, nil
	s.mu.Unlock()
	endAll(done.changes, nil)
	for _, ref := range done.expired {
		s.discard(ctx, ref)
	}
}
