package companion

import (
	"context"
	"testing"

	"pgregory.net/rapid"

	"filbertusher/pkg/usher"
)

// countedSlot counts how often it was given back.
type countedSlot struct {
	usher.Slot
	released int
}

// Release implements usher.Slot.
func (s *countedSlot) Release() { s.released++ }

// TestAGrantIsUsedOrGivenBackOnce drives reservations by any order of grants,
// uses, withdrawals and expiries: each slot is handed over once or given back
// once, and never both.
func TestAGrantIsUsedOrGivenBackOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newReservations()
		type held struct {
			opened *reservation
			slot   *countedSlot
			grant  uint64
			taken  bool
		}
		byID := make(map[usher.RequestID]*held)
		var all []*held
		ids := []usher.RequestID{"a", "b", "c"}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := rapid.SampledFrom(ids).Draw(t, "id")
			known := byID[id]
			switch rapid.SampledFrom([]string{"open", "grant", "take", "takeOld", "withdraw", "expire"}).Draw(t, "step") {
			case "open":
				if opened, ok := r.open(id, context.CancelFunc(func() {})); ok {
					byID[id] = &held{opened: opened, slot: &countedSlot{}}
					all = append(all, byID[id])
				}
			case "grant":
				if known != nil && known.grant == 0 {
					known.grant = r.grant(id, known.opened, known.slot)
					if known.grant == 0 {
						known.slot.Release()
						known.grant = ^uint64(0)
					}
				}
			case "take":
				if known != nil {
					known.taken = r.take(id, known.grant) != nil || known.taken
				}
			case "takeOld":
				if known != nil && r.take(id, known.grant+1) != nil {
					t.Fatal("a wrong number was taken for the grant")
				}
			case "withdraw":
				r.withdraw(id)
			case "expire":
				if known != nil {
					r.end(id, known.opened)
				}
			}
		}
		for _, id := range ids {
			r.withdraw(id)
		}
		for _, one := range all {
			uses := one.slot.released
			if one.taken {
				uses++
			}
			granted := one.grant != 0
			if granted && uses != 1 || !granted && uses != 0 {
				t.Fatalf("granted=%v taken=%v released=%d", granted, one.taken, one.slot.released)
			}
		}
		if r.count() != 0 {
			t.Fatal("reservations are left")
		}
	})
}
