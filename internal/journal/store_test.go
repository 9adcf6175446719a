package journal

import (
	"context"
	"io"
	"time"

	"filbertusher/internal/standin/store"
	"filbertusher/pkg/usher"
)

// fault is the fault injected into one store call.
type fault int

const (
	faultNone fault = iota
	// faultUnavailable fails the call before it has an effect.
	faultUnavailable
	// faultResponseLost lets a write take effect but loses the response.
	faultResponseLost
	// faultWriteDelayed returns no response and lets the write take effect at any later time.
	faultWriteDelayed
)

// faultyStore is an in-memory store that injects a chosen fault into each call.
// interleave runs before and after a call takes effect, so that other companions
// can act in between. delayed holds the writes that have yet to take effect.
type faultyStore struct {
	store.SingleEra
	memory      *store.Memory
	chooseFault func(write bool) fault
	interleave  func()
	delayed     []func()
}

var _ usher.Store = (*faultyStore)(nil)

func newFaultyStore() *faultyStore {
	return &faultyStore{
		memory: store.NewMemory(), chooseFault: func(bool) fault { return faultNone }, interleave: func() {},
	}
}

func (s *faultyStore) Get(_ context.Context, key usher.ObjectKey) (usher.Object, error) {
	s.interleave()
	if s.chooseFault(false) != faultNone {
		return usher.Object{}, &usher.UnavailableError{Operation: "get", Cause: io.ErrUnexpectedEOF}
	}
	object, ok := s.memory.Get(key)
	s.interleave()
	if !ok {
		return usher.Object{}, &usher.NotFoundError{Key: key}
	}
	return object, nil
}

func (s *faultyStore) Put(_ context.Context, key usher.ObjectKey, expected usher.Version, value []byte) (usher.Version, error) {
	s.interleave()
	apply := func() (usher.Version, bool) { return s.memory.Write(key, expected, value, false) }
	chosen := s.chooseFault(true)
	switch chosen {
	case faultUnavailable:
		return 0, &usher.UnavailableError{Operation: "put", Cause: io.ErrUnexpectedEOF}
	case faultWriteDelayed:
		s.delayed = append(s.delayed, func() { apply() })
		return 0, &usher.AmbiguousError{Key: key, Cause: io.ErrUnexpectedEOF}
	}
	version, applied := apply()
	s.interleave()
	switch {
	case chosen == faultResponseLost:
		return 0, &usher.AmbiguousError{Key: key, Cause: io.ErrUnexpectedEOF}
	case !applied:
		return 0, &usher.ConflictError{Key: key, Expected: expected, Current: version}
	}
	return version, nil
}

func (s *faultyStore) Delete(_ context.Context, key usher.ObjectKey, expected usher.Version) error {
	if version, applied := s.memory.Write(key, expected, nil, true); !applied {
		return &usher.ConflictError{Key: key, Expected: expected, Current: version}
	}
	return nil
}

func (s *faultyStore) List(_ context.Context, prefix usher.ObjectKey) ([]usher.Object, usher.Version, error) {
	objects, revision := s.memory.List(prefix)
	return objects, revision, nil
}

func (s *faultyStore) Watch(context.Context, usher.ObjectKey, usher.Version, time.Duration) ([]usher.WatchEvent, usher.Version, error) {
	return nil, 0, nil
}
