package journal

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"filbertusher/internal/standin/store"
	"filbertusher/pkg/usher"
)

// goneProber takes each holder for gone.
type goneProber struct{}

func (goneProber) Gone(context.Context, Holder) bool { return true }

// restoredFixture has a memory that can go back to an earlier state, and companions
// that each reach it through a client of their own.
type restoredFixture struct {
	t      *testing.T
	memory *store.Memory
}

// companion returns the slot table of a new companion.
func (f *restoredFixture) companion(name string) *SlotTable {
	return NewSlotTable(Options{
		Holder:    Holder{Endpoint: usher.EndpointName(name), Incarnation: usher.Incarnation("run of " + name)},
		Retention: time.Hour, WritesPerSecond: 1e9, MaxKeys: 1000, MaxHeadBytes: 600,
	}, store.NewDirect(f.memory), goneProber{})
}

func (f *restoredFixture) slot(table *SlotTable) *Slot {
	f.t.Helper()
	slot, err := table.Slot(f.t.Context(), "orders", 0, 0)
	if err != nil {
		f.t.Fatal(err)
	}
	return slot
}

// run accepts a key and finishes its request.
func (f *restoredFixture) run(slot *Slot, key string) error {
	f.t.Helper()
	entry, isNew, err := slot.GetOrCreate(KeyHash(key), "digest", usher.RequestID(key), slot.View())
	if err != nil || !isNew {
		f.t.Fatalf("key %s: new %v, error %v", key, isNew, err)
	}
	if err := entry.Commit(f.t.Context()); err != nil {
		entry.Finish(nil, usher.NewRefusal(usher.RefusalStoreUnavailable, "not stored"))
		return err
	}
	entry.Finish(&usher.Response{Status: 200, Body: []byte(key)}, nil)
	return slot.flush(f.t.Context())
}

// checkKnown checks that the slot has the keys and their responses.
func (f *restoredFixture) checkKnown(slot *Slot, keys ...string) {
	f.t.Helper()
	for _, key := range keys {
		entry, isNew, err := slot.GetOrCreate(KeyHash(key), "digest", "again", slot.View())
		if err != nil || isNew {
			f.t.Errorf("key %s would run again (error %v)", key, err)
			continue
		}
		if response, refusal := entry.Result(); refusal != nil || string(response.Body) != key {
			f.t.Errorf("key %s: refusal %v, response %v", key, refusal, response)
		}
	}
}

func TestKeysLostByRestoredStoreRunOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &restoredFixture{t: t, memory: store.NewMemory()}
		one := f.companion("one")
		slot := f.slot(one)
		var keys []string
		// Some keys are in segments that the copy lacks, some in segments that it has.
		for i := range 12 {
			if i == 6 {
				f.memory.Backup()
			}
			keys = append(keys, fmt.Sprint("key", i))
			if err := f.run(slot, keys[i]); err != nil {
				t.Fatal(err)
			}
		}
		f.memory.Restore()
		if err := slot.ConfirmHeld(t.Context()); err != nil {
			t.Fatal(err)
		}
		if err := f.run(slot, "later"); err != nil {
			t.Fatal(err)
		}
		successor := f.slot(f.companion("two"))
		f.checkKnown(successor, append(keys, "later")...)
		if err := slot.ConfirmHeld(t.Context()); !errors.As(err, new(*MovedError)) {
			t.Errorf("the predecessor got error %v, want that the slot has moved", err)
		}
	})
}

// The first call after the restoration may be a write, which may find a head with the
// revision that it expects.
func TestWriteAcrossRestorationKeepsKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &restoredFixture{t: t, memory: store.NewMemory()}
		slot := f.slot(f.companion("one"))
		f.memory.Backup()
		for _, key := range []string{"key1", "key2"} {
			if err := f.run(slot, key); err != nil {
				t.Fatal(err)
			}
		}
		f.memory.Restore()
		if err := f.run(slot, "key3"); err != nil {
			t.Fatal(err)
		}
		f.checkKnown(f.slot(f.companion("two")), "key1", "key2", "key3")
	})
}

func TestSlotThatStoreLostIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &restoredFixture{t: t, memory: store.NewMemory()}
		f.memory.Backup()
		slot := f.slot(f.companion("one"))
		if err := f.run(slot, "key1"); err != nil {
			t.Fatal(err)
		}
		f.memory.Restore()
		if err := slot.ConfirmHeld(t.Context()); err != nil {
			t.Fatal(err)
		}
		f.checkKnown(f.slot(f.companion("two")), "key1")
	})
}

func TestHolderWritesLostKeysBeforeSlotIsClaimed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &restoredFixture{t: t, memory: store.NewMemory()}
		one, two := f.companion("one"), f.companion("two")
		slot := f.slot(one)
		f.memory.Backup()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = one.KeepHeld(ctx) }()
		if err := f.run(slot, "key1"); err != nil {
			t.Fatal(err)
		}
		f.memory.Restore()
		if _, err := two.Slot(t.Context(), "orders", 0, 0); !errors.As(err, new(*RestoredError)) {
			t.Errorf("the claim got error %v, want that keys may be missing", err)
		}
		time.Sleep(heldCheckInterval)
		synctest.Wait()
		f.checkKnown(f.slot(two), "key1")
	})
}

func TestAllHeldSlotsAreWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &restoredFixture{t: t, memory: store.NewMemory()}
		one := f.companion("one")
		f.memory.Backup()
		var slots []*Slot
		for number := range SlotNumber(4) {
			slot, err := one.Slot(t.Context(), "orders", number, 0)
			if err != nil {
				t.Fatal(err)
			}
			if err := f.run(slot, "key"); err != nil {
				t.Fatal(err)
			}
			slots = append(slots, slot)
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = one.KeepHeld(ctx) }()
		f.memory.Restore()
		// The check of one slot is the first call after the restoration.
		time.Sleep(heldCheckInterval + time.Second)
		synctest.Wait()
		for _, slot := range slots {
			if _, stored := f.memory.Get(headKey("orders", slot.id.number)); !stored {
				t.Errorf("slot %d was not written again", slot.id.number)
			}
		}
	})
}

func TestHolderGivesWayToClaimOfNewEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &restoredFixture{t: t, memory: store.NewMemory()}
		one, two := f.companion("one"), f.companion("two")
		f.slot(f.companion("zero"))
		f.memory.Backup()
		// The claims of both get the same revision, each in its era.
		slot := f.slot(one)
		f.memory.Restore()
		if _, err := two.Slot(t.Context(), "orders", 0, 0); err == nil {
			t.Fatal("the slot was claimed at once")
		}
		time.Sleep(claimGrace)
		successor := f.slot(two)
		if successor.View().Fence <= slot.View().Fence {
			t.Errorf("fencing token %d follows %d", successor.View().Fence, slot.View().Fence)
		}
		if err := f.run(slot, "key2"); !errors.As(err, new(*MovedError)) {
			t.Errorf("got error %v, want that the slot has moved", err)
		}
		if err := f.run(successor, "key3"); err != nil {
			t.Error(err)
		}
	})
}
