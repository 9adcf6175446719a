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

func put(t *testing.T, o *operator.Operator, objects ...usher.Object) *config.Head {
	t.Helper()
	head, err := o.Apply(t.Context(), operator.Change{Put: objects})
	if err != nil {
		t.Fatal(err)
	}
	return head
}

func stored(t *testing.T, b *bench) int {
	t.Helper()
	objects, _, err := b.client.List(t.Context(), config.Prefix)
	if err != nil {
		t.Fatal(err)
	}
	return len(objects)
}

// Kept versions can be read, older ones are gone, and what the store holds does
// not grow with the number of changes.
func TestPruneKeepsTheNewest(t *testing.T) {
	b := newBench(t)
	o := operator.New(b.client, "ann")
	for n := range 30 {
		put(t, o, tier("x", n))
	}
	const keep = 3
	first, err := config.Prune(t.Context(), b.client, keep)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(config.Pruned{Versions: 27, Parts: 54}, first); diff != "" {
		t.Error(diff)
	}
	size := stored(t, b)
	for n := range 30 {
		put(t, o, tier("x", 100+n))
	}
	if _, err := config.Prune(t.Context(), b.client, keep); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(size, stored(t, b)); diff != "" {
		t.Error("objects in the store:", diff)
	}
	fresh := operator.New(b.client, "")
	for version := usher.Version(58); version <= 60; version++ {
		if _, err := fresh.At(t.Context(), version); err != nil {
			t.Error(version, err)
		}
	}
	var missing *usher.NotFoundError
	if _, err := fresh.At(t.Context(), 57); !errors.As(err, &missing) {
		t.Error("a pruned version:", err)
	}
}

// Writers that go back and forth between the same contents find parts that are
// pruned beside them. Whatever is accepted has to be whole.
func TestPruneBesideWriters(t *testing.T) {
	b := newBench(t)
	var wait sync.WaitGroup
	done := make(chan struct{})
	for i := range 3 {
		wait.Go(func() {
			o := operator.New(b.client, fmt.Sprint("writer", i))
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
		if _, err := config.Prune(t.Context(), b.client, 10); err != nil {
			t.Error(err)
		}
		select {
		case <-done:
			running = false
		default:
		}
	}
	current, err := operator.New(b.client, "").Current(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(3, len(current.Tiers)); diff != "" {
		t.Error(diff)
	}
}

// overtaken runs interrupt before the first read of a page.
type overtaken struct {
	usher.Store
	once      sync.Once
	interrupt func()
}

func (o *overtaken) Get(ctx context.Context, key usher.ObjectKey) (usher.Object, error) {
	if strings.HasPrefix(string(key), string(config.Prefix)+"page/") {
		o.once.Do(o.interrupt)
	}
	return o.Store.Get(ctx, key)
}

// A reader whose version is replaced and pruned while it reads begins again.
func TestReaderOvertakenByPrune(t *testing.T) {
	b := newBench(t)
	writer := operator.New(b.client, "ann")
	put(t, writer, tier("x", 0))
	slow := &overtaken{Store: b.client}
	slow.interrupt = func() {
		for n := range 3 {
			put(t, writer, tier("x", 1+n))
		}
		if _, err := config.Prune(t.Context(), b.client, 1); err != nil {
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
