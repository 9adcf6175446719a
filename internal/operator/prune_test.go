package operator_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"filbertusher/internal/config"
	"filbertusher/internal/operator"
	"filbertusher/pkg/usher"
)

func mustApply(t *testing.T, o *operator.Client, objects ...usher.Object) *config.Head {
	t.Helper()
	head, err := o.Apply(t.Context(), operator.Change{Put: objects})
	if err != nil {
		t.Fatal(err)
	}
	return head
}

func countObjects(t *testing.T, s *testStore) int {
	t.Helper()
	objects, _, err := s.client.List(t.Context(), config.Prefix)
	if err != nil {
		t.Fatal(err)
	}
	return len(objects)
}

// The kept versions stay readable, older ones are deleted, and the number of
// stored objects does not grow with the number of changes.
func TestPruneKeepsNewestVersions(t *testing.T) {
	s := newTestStore(t)
	o := operator.New(s.client, "ann")
	for n := range 30 {
		mustApply(t, o, tier("x", n))
	}
	const keep = 3
	first, err := config.Prune(t.Context(), s.client, keep)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(config.PruneResult{Versions: 27, Parts: 54}, first); diff != "" {
		t.Error(diff)
	}
	size := countObjects(t, s)
	for n := range 30 {
		mustApply(t, o, tier("x", 100+n))
	}
	if _, err := config.Prune(t.Context(), s.client, keep); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(size, countObjects(t, s)); diff != "" {
		t.Error("number of stored objects:", diff)
	}
	reader := operator.New(s.client, "")
	for version := usher.Version(58); version <= 60; version++ {
		if _, err := reader.At(t.Context(), version); err != nil {
			t.Error(version, err)
		}
	}
	var notFound *usher.NotFoundError
	if _, err := reader.At(t.Context(), 57); !errors.As(err, &notFound) {
		t.Error("reading a pruned version:", err)
	}
}

// Writers that alternate between the same contents reuse stored parts that a
// concurrent Prune may delete. Every accepted version must still be complete.
func TestPruneDuringWrites(t *testing.T) {
	s := newTestStore(t)
	var wait sync.WaitGroup
	done := make(chan struct{})
	for i := range 3 {
		wait.Go(func() {
			o := operator.New(s.client, fmt.Sprint("writer", i))
			for n := range 40 {
				if _, err := o.Apply(t.Context(), operator.Change{Put: []usher.Object{tier(fmt.Sprint("t", i), n%2)}}); err != nil {
					t.Error(err)
				}
			}
		})
	}
	go func() {
		wait.Wait()
		close(done)
	}()
	for running := true; running; {
		if _, err := config.Prune(t.Context(), s.client, 10); err != nil {
			t.Error(err)
		}
		select {
		case <-done:
			running = false
		default:
		}
	}
	current, err := operator.New(s.client, "").Current(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(3, len(current.Tiers)); diff != "" {
		t.Error(diff)
	}
}

// interruptedStore calls interrupt once, before the first read of a page.
type interruptedStore struct {
	usher.Store
	once      sync.Once
	interrupt func()
}

func (s *interruptedStore) Get(ctx context.Context, key usher.ObjectKey) (usher.Object, error) {
	if strings.HasPrefix(string(key), string(config.Prefix)+"page/") {
		s.once.Do(s.interrupt)
	}
	return s.Store.Get(ctx, key)
}

// A reader starts over if its version is replaced and pruned while it reads.
func TestReadRestartsAfterPrune(t *testing.T) {
	s := newTestStore(t)
	writer := operator.New(s.client, "ann")
	mustApply(t, writer, tier("x", 0))
	slow := &interruptedStore{Store: s.client}
	slow.interrupt = func() {
		for n := range 3 {
			mustApply(t, writer, tier("x", 1+n))
		}
		if _, err := config.Prune(t.Context(), s.client, 1); err != nil {
			t.Error(err)
		}
	}
	snapshot, err := operator.New(slow, "").Current(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(usher.Version(4), snapshot.Version); diff != "" {
		t.Error(diff)
	}
}
