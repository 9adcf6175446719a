package journal

import (
	"context"
	"io"
	"time"

	"filbertusher/internal/standin/store"
	"filbertusher/pkg/usher"
)

// fault is what happens to one call of the store.
type fault int

const (
	faultNone fault = iota
	// faultDown refuses the call before it has an effect.
	faultDown
	// faultLost lets a write take effect and loses the answer.
	faultLost
	// faultLate answers nothing and lets the write take effect at any time.
	faultLate
)

// faultyStore is the store stand-in's memory with a chosen fault for each call.
// around runs before and after the effect of a call, for other actors.
type faultyStore struct {
	memory *store.Memory
	choose func(write bool) fault
	around func()
	late   []func()
}

var _ usher.Store = (*faultyStore)(nil)

func newFaultyStore() *faultyStore {
	return &faultyStore{
		memory: store.NewMemory(), choose: func(bool) fault { return faultNone }, around: func() {},
	}
}

func (s *faultyStore) Get(_ context.Context, key usher.ObjectKey) (usher.Object, error) {
	s.around()
	if s.choose(false) != faultNone {
		return usher.Object{}, &usher.UnavailableError{Operation: "get", Cause: io.ErrUnexpectedEOF}
	}
	object, ok := s.memory.Get(key)
	s.around()
	if !ok {
		return usher.Object{}, &usher.NotFoundError{Key: key}
	}
	return object, nil
}

func (s *faultyStore) Put(_ context.Context, key usher.ObjectKey, expected usher.Version, value []byte) (usher.Version, error) {
	s.around()
	apply := func() (usher.Version, bool) { return s.memory.Write(key, expected, value, false) }
	chosen := s.choose(true)
	switch chosen {
	case faultDown:
		return 0, &usher.UnavailableError{Operation: "put", Cause: io.ErrUnexpectedEOF}
	case faultLate:
		s.late = append(s.late, func() { apply() })
		return 0, &usher.AmbiguousError{Key: key, Cause: io.ErrUnexpectedEOF}
	}
	version, done := apply()
	s.around()
	switch {
	case chosen == faultLost:
		return 0, &usher.AmbiguousError{Key: key, Cause: io.ErrUnexpectedEOF}
	case !done:
		return 0, &usher.ConflictError{Key: key, Expected: expected, Current: version}
	}
	return version, nil
}

func (s *faultyStore) Delete(_ context.Context, key usher.ObjectKey, expected usher.Version) error {
	if version, done := s.memory.Write(key, expected, nil, true); !done {
		return &usher.ConflictError{Key: key, Expected: expected, Current: version}
	}
	return nil
}

func (s *faultyStore) List(_ context.Context, prefix usher.ObjectKey) ([]usher.Object, usher.Version, error) {
	objects, revision := s.memory.List(prefix)
	return objects, revision, nil
}

func (s *faultyStore) Watch(context.Context, usher.ObjectKey, usher.Version, time.Duration) ([]usher.Event, usher.Version, error) {
	return nil, 0, nil
}
