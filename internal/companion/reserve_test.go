package companion

import (
	"context"
	"testing"

	"pgregory.net/rapid"

	_ "filbertusher/internal/standin/property"
	"filbertusher/pkg/usher"
)

// countedSlot counts the calls of Release.
type countedSlot struct {
	usher.Slot
	released int
}

// Release implements usher.Slot.
func (s *countedSlot) Release() { s.released++ }

// TestGrantClaimedOrReleasedOnce applies random sequences of grants, claims,
// withdrawals and expiries. It guards against leaked and doubly released slots:
// each granted slot must be either claimed once or released once.
func TestGrantClaimedOrReleasedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newReservations()
		type held struct {
			opened  *reservation
			slot    *countedSlot
			grant   uint64
			claimed bool
		}
		byID := make(map[usher.RequestID]*held)
		var all []*held
		ids := []usher.RequestID{"a", "b", "c"}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := rapid.SampledFrom(ids).Draw(t, "id")
			current := byID[id]
			switch rapid.SampledFrom([]string{"open", "grant", "claim", "claimWrongGrant", "withdraw", "expire"}).Draw(t, "step") {
			case "open":
				if opened, ok := r.open(id, context.CancelFunc(func() {})); ok {
					byID[id] = &held{opened: opened, slot: &countedSlot{}}
					all = append(all, byID[id])
				}
			case "grant":
				if current != nil && current.grant == 0 {
					current.grant = r.grant(id, current.opened, current.slot)
					if current.grant == 0 {
						current.slot.Release()
						current.grant = ^uint64(0)
					}
				}
			case "claim":
				if current != nil {
					current.claimed = r.claim(id, current.grant) != nil || current.claimed
				}
			case "claimWrongGrant":
				if current != nil && r.claim(id, current.grant+1) != nil {
					t.Fatal("a wrong grant number claimed a slot")
				}
			case "withdraw":
				r.withdraw(id)
			case "expire":
				if current != nil {
					r.end(id, current.opened)
				}
			}
		}
		for _, id := range ids {
			r.withdraw(id)
		}
		for _, one := range all {
			uses := one.slot.released
			if one.claimed {
				uses++
			}
			granted := one.grant != 0
			if granted && uses != 1 || !granted && uses != 0 {
				t.Fatalf("granted=%v claimed=%v released=%d", granted, one.claimed, one.slot.released)
			}
		}
		if r.count() != 0 {
			t.Fatal("reservations remain after all were withdrawn")
		}
	})
}
