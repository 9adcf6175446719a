package operator_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"filbertusher/internal/config"
	"filbertusher/internal/operator"
	"filbertusher/internal/standin/store"
	"filbertusher/pkg/usher"
)

// lossyStore loses the reply to the first write of the head. The write is applied before
// call number lateAt of the head after it, and that many calls are refused from number
// refuseFrom on.
type lossyStore struct {
	usher.Store
	lateAt, refuseFrom, refusals int
	// afterLate is called after the write was applied, unless it is nil.
	afterLate func()

	late  func()
	calls int
}

// call counts a call of the head after the loss, and returns an error if it is refused.
func (s *lossyStore) call(operation string, key usher.ObjectKey) error {
	if key != config.HeadKey || s.late == nil {
		return nil
	}
	s.calls++
	if s.calls == s.lateAt {
		s.late()
		if s.afterLate != nil {
			s.afterLate()
		}
	}
	if s.calls < s.refuseFrom || s.calls >= s.refuseFrom+s.refusals {
		return nil
	}
	return &usher.UnavailableError{Operation: operation, Cause: context.DeadlineExceeded}
}

func (s *lossyStore) Get(ctx context.Context, key usher.ObjectKey) (usher.Object, error) {
	if err := s.call("get", key); err != nil {
		return usher.Object{}, err
	}
	return s.Store.Get(ctx, key)
}

func (s *lossyStore) Put(ctx context.Context, key usher.ObjectKey, expected usher.Version, value []byte) (usher.Version, error) {
	if err := s.call("put", key); err != nil {
		return 0, err
	}
	if key != config.HeadKey || s.late != nil {
		return s.Store.Put(ctx, key, expected, value)
	}
	// A conflict means that a repetition of the write was applied before.
	s.late = func() { _, _ = s.Store.Put(ctx, key, expected, value) }
	return 0, &usher.AmbiguousError{Key: key, Cause: context.DeadlineExceeded}
}

// An operator was told that their change conflicts with itself: it had been accepted, but the
// reply was lost and the store refused calls after it.
func TestLostReplyIsNoConflictWithOwnChange(t *testing.T) {
	for _, lateAt := range []int{1, 2, 3, 4} {
		for _, refuseFrom := range []int{1, 2, 3, 4} {
			for _, refusals := range []int{0, 1, 10, 11, 25} {
				t.Run(fmt.Sprintf("late=%d/refused=%d..%d", lateAt, refuseFrom, refuseFrom+refusals), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						testLostReply(t, &lossyStore{lateAt: lateAt, refuseFrom: refuseFrom, refusals: refusals})
					})
				})
			}
		}
	}
}

func testLostReply(t *testing.T, lossy *lossyStore) {
	direct := store.NewDirect(store.NewMemory())
	lossy.Store = direct
	head, err := operator.New(lossy, "ann").Apply(t.Context(), operator.Change{ID: "ours", Put: []usher.Object{tier("x", 1)}})
	unknown := new(operator.UnknownOutcomeError)
	switch {
	case errors.As(err, &unknown):
		// The change may be accepted later.
	case err != nil:
		t.Error(err)
	default:
		if head.ID != "ours" {
			t.Errorf("the accepted change is %s", head.ID)
		}
		assertHistory(t, direct, "ours")
	}
}

// The same happened when so many changes were accepted after it that the newest version no
// longer lists it among its ancestors.
func TestLostReplyBeforeManyOtherChanges(t *testing.T) {
	for _, others := range []int{31, 32, 33, 80} {
		t.Run(fmt.Sprint(others), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				direct := store.NewDirect(store.NewMemory())
				lossy := &lossyStore{Store: direct, lateAt: 1}
				want := []config.ChangeID{"ours"}
				lossy.afterLate = func() {
					for n := range others {
						want = append(want, mustApply(t, operator.New(direct, "bob"), tier("y", n)).ID)
					}
				}
				if _, err := operator.New(lossy, "ann").Apply(t.Context(), operator.Change{ID: "ours", Put: []usher.Object{tier("x", 1)}}); err != nil {
					t.Error(err)
				}
				assertHistory(t, direct, want...)
			})
		})
	}
}

// assertHistory checks the IDs of all versions, oldest first.
func assertHistory(t *testing.T, from usher.Store, want ...config.ChangeID) {
	t.Helper()
	heads, err := operator.New(from, "").History(t.Context(), len(want)+1)
	if err != nil {
		t.Fatal(err)
	}
	var got []config.ChangeID
	for _, head := range heads {
		got = append([]config.ChangeID{head.ID}, got...)
	}
	if diff := cmp.Diff(want, got, cmpopts.EquateEmpty()); diff != "" {
		t.Error("accepted changes:", diff)
	}
}
