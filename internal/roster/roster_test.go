package roster

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"filbertusher/pkg/usher"
)

func registered(name string, leaving bool) usher.EndpointChange {
	return usher.EndpointChange{Usable: true, Registration: usher.Registration{
		Name: usher.EndpointName(name), Service: "s", Address: "10.0.0.1:80", Slots: 1, Leaving: leaving,
	}}
}

func deleted(name string) usher.EndpointChange {
	return usher.EndpointChange{Registration: usher.Registration{Name: usher.EndpointName(name)}}
}

type clock struct{ time.Time }

func (c *clock) now() time.Time { return c.Time }

func (c *clock) advance(d time.Duration) { c.Time = c.Add(d) }

func available(r *Roster) []usher.EndpointName {
	var names []usher.EndpointName
	for _, e := range r.Snapshot().ByService["s"] {
		names = append(names, e.Name)
	}
	return names
}

func TestLeavingAndDeletedEndpointsAreNotAvailable(t *testing.T) {
	c := &clock{time.Unix(1000, 0)}
	r := New(2*time.Second, c.now, nil)
	r.Replace([]usher.EndpointChange{registered("a", false), registered("b", true)}, 5)
	if diff := cmp.Diff([]usher.EndpointName{"a"}, available(r)); diff != "" {
		t.Error(diff)
	}
	if _, known := r.Snapshot().ByName["b"]; !known {
		t.Error("a leaving endpoint is missing from ByName")
	}
	r.Apply([]usher.EndpointChange{deleted("a")}, 6)
	if diff := cmp.Diff([]usher.EndpointName(nil), available(r)); diff != "" {
		t.Error("a deleted endpoint was retained although the store was available: " + diff)
	}
}

func TestLapsedEndpointsAreRetainedForGracePeriod(t *testing.T) {
	c := &clock{time.Unix(1000, 0)}
	r := New(2*time.Second, c.now, nil)
	r.Replace([]usher.EndpointChange{registered("a", false), registered("b", false)}, 5)
	r.StoreRecovered()
	r.Replace(nil, 6)
	if len(available(r)) != 2 {
		t.Fatal("endpoints whose registrations lapsed during an outage were removed at once")
	}
	c.advance(time.Second)
	r.Apply([]usher.EndpointChange{registered("a", false)}, 7)
	r.Expire()
	if len(available(r)) != 2 {
		t.Fatal("a lapsed endpoint was removed before the grace period ended")
	}
	c.advance(1100 * time.Millisecond)
	r.Expire()
	if diff := cmp.Diff([]usher.EndpointName{"a"}, available(r)); diff != "" {
		t.Error(diff)
	}
}

// A process that retains a lapsed endpoint must not pass it on to a process that
// already removed it.
func TestLapsedEndpointsAreNotListed(t *testing.T) {
	c := &clock{time.Unix(1000, 0)}
	retaining, other := New(2*time.Second, c.now, nil), New(2*time.Second, c.now, nil)
	for _, r := range []*Roster{retaining, other} {
		r.Replace([]usher.EndpointChange{registered("a", false), registered("b", false)}, 5)
	}
	retaining.StoreRecovered()
	retaining.Apply([]usher.EndpointChange{deleted("a")}, 7)
	other.Apply([]usher.EndpointChange{deleted("a")}, 6)
	other.Replace(retaining.List())
	if diff := cmp.Diff([]usher.EndpointName{"b"}, available(other)); diff != "" {
		t.Error(diff)
	}
}

func TestOlderListAndUnreadableRegistrations(t *testing.T) {
	c := &clock{time.Unix(1000, 0)}
	r := New(2*time.Second, c.now, nil)
	r.Replace([]usher.EndpointChange{registered("a", false)}, 5)
	r.Replace(nil, 4)
	if len(available(r)) != 1 {
		t.Error("an older list replaced a newer one")
	}
	r.StoreRecovered()
	unreadable := deleted("a")
	unreadable.Unreadable = true
	r.Apply([]usher.EndpointChange{unreadable}, 6)
	if len(available(r)) != 0 {
		t.Error("an endpoint with an unreadable registration is available")
	}
}

func TestEndpointRestartsUnderSameName(t *testing.T) {
	c := &clock{time.Unix(1000, 0)}
	changes := 0
	r := New(0, c.now, func(usher.EndpointChange, string) { changes++ })
	first, second := registered("a", false), registered("a", false)
	first.Born, second.Born = 1, 2
	r.Apply([]usher.EndpointChange{first}, 1)
	r.Apply([]usher.EndpointChange{first}, 2)
	r.Apply([]usher.EndpointChange{second}, 3)
	if got := r.Snapshot().ByName["a"].Born; got != 2 || changes != 2 {
		t.Errorf("incarnation %d is known after %d calls of onChange, want 2 after 2", got, changes)
	}
}

// The versions before and after the store went back to an earlier state.
var (
	beforeRestoration = usher.NewVersion(1, 70)
	afterRestoration  = usher.NewVersion(2, 51)
)

func born(change usher.EndpointChange, at int64) usher.EndpointChange {
	change.Born = at
	return change
}

func TestLeavingEndpointStaysLeavingAfterStoreRestored(t *testing.T) {
	c := &clock{time.Unix(1000, 0)}
	r := New(2*time.Second, c.now, nil)
	r.Replace([]usher.EndpointChange{born(registered("a", true), 1), born(registered("b", true), 1)}, beforeRestoration)
	r.Replace([]usher.EndpointChange{born(registered("a", false), 1), born(registered("b", false), 2)}, afterRestoration)
	if diff := cmp.Diff([]usher.EndpointName{"b"}, available(r)); diff != "" {
		t.Errorf("only the endpoint that was started again is available: %s", diff)
	}
}

func TestRemovedEndpointIsNotRevivedByRestoredStore(t *testing.T) {
	list := []usher.EndpointChange{born(registered("a", false), 1), born(registered("b", false), 1), born(registered("c", false), 1)}
	for name, step := range map[string]struct {
		change func(r *Roster, c *clock)
		want   []usher.EndpointName
	}{
		"listed": {func(*Roster, *clock) {}, nil},
		"listed again": {func(r *Roster, _ *clock) {
			r.Replace(list, afterRestoration+1)
		}, nil},
		"registered again": {func(r *Roster, _ *clock) {
			r.Apply(list[:1], afterRestoration+1)
		}, []usher.EndpointName{"a"}},
		"started again": {func(r *Roster, _ *clock) {
			r.Replace([]usher.EndpointChange{born(registered("a", false), 2)}, afterRestoration+1)
		}, []usher.EndpointName{"a"}},
		"lost its registration": {func(r *Roster, c *clock) {
			r.Apply([]usher.EndpointChange{deleted("a"), deleted("b")}, afterRestoration+1)
			c.advance(withholdPeriod)
			r.Expire()
		}, nil},
		"still registered after the period": {func(r *Roster, c *clock) {
			c.advance(withholdPeriod)
			r.Expire()
		}, []usher.EndpointName{"a"}},
	} {
		c := &clock{time.Unix(1000, 0)}
		r := New(2*time.Second, c.now, nil)
		r.Replace([]usher.EndpointChange{born(registered("a", false), 1), born(registered("b", true), 1), born(registered("c", false), 1)}, beforeRestoration-2)
		r.Apply([]usher.EndpointChange{deleted("a"), deleted("b")}, beforeRestoration)
		c.advance(time.Second)
		r.Replace(list, afterRestoration)
		step.change(r, c)
		got := slices.DeleteFunc(available(r), func(name usher.EndpointName) bool { return name == "c" })
		slices.Sort(got)
		if diff := cmp.Diff(step.want, got, cmpopts.EquateEmpty()); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}

func TestEndpointMissingFromRestoredStoreIsRetained(t *testing.T) {
	c := &clock{time.Unix(1000, 0)}
	r := New(2*time.Second, c.now, nil)
	r.Replace([]usher.EndpointChange{registered("a", false), registered("b", false)}, beforeRestoration)
	r.Replace([]usher.EndpointChange{registered("a", false)}, afterRestoration)
	if len(available(r)) != 2 {
		t.Error("an endpoint that registered after the copy was made was removed at once")
	}
	c.advance(2 * time.Second)
	r.Expire()
	if diff := cmp.Diff([]usher.EndpointName{"a"}, available(r)); diff != "" {
		t.Errorf("the grace period has passed: %s", diff)
	}
}

func TestLeavingThatAnEndpointStatesItself(t *testing.T) {
	c := &clock{time.Unix(1000, 0)}
	r := New(2*time.Second, c.now, nil)
	list := []usher.EndpointChange{born(registered("a", false), 1), born(registered("b", false), 1)}
	r.Replace(list, 5)
	if !r.MarkLeaving(&list[0].Registration) || r.MarkLeaving(&list[0].Registration) {
		t.Error("a leaving is news once")
	}
	if diff := cmp.Diff([]usher.EndpointName{"b"}, available(r)); diff != "" {
		t.Error(diff)
	}
	r.Replace(list, 6)
	if diff := cmp.Diff([]usher.EndpointName{"b"}, available(r)); diff != "" {
		t.Errorf("an older word of the directory counts: %s", diff)
	}
	list[0] = born(list[0], 2)
	r.Replace(list, 7)
	if len(available(r)) != 2 {
		t.Error("a new incarnation is not available")
	}
	if old := born(list[0], 1); r.MarkLeaving(&old.Registration) {
		t.Error("a late response of the old incarnation binds the new one")
	}
}

// A response that states a leaving arrives while the registration is gone for a moment. The
// registration that comes back took the statement back before.
func TestLeavingIsKeptWhileRegistrationIsGone(t *testing.T) {
	c := &clock{time.Unix(1000, 0)}
	r := New(2*time.Second, c.now, nil)
	list := []usher.EndpointChange{born(registered("a", false), 1)}
	r.Replace(list, 5)
	r.Replace(nil, 6)
	if !r.MarkLeaving(&list[0].Registration) || r.MarkLeaving(&list[0].Registration) {
		t.Error("a leaving is news once")
	}
	r.Replace(list, 7)
	if got := available(r); len(got) != 0 {
		t.Errorf("available: %v, want none", got)
	}
	r.Replace(nil, 8)
	next := born(list[0], 2)
	if r.MarkLeaving(&next.Registration) {
		t.Error("a response of an incarnation that was never registered counts")
	}
	r.Replace([]usher.EndpointChange{next}, 9)
	if got := available(r); len(got) != 1 {
		t.Error("a new incarnation is not available")
	}
}

// The endpoints that leave were missing from the dump, as the scheduler knows them no more.
func TestDumpNamesLeavingEndpoints(t *testing.T) {
	c := &clock{time.Unix(1000, 0)}
	r := New(2*time.Second, c.now, nil)
	said := registered("c", false)
	r.Replace([]usher.EndpointChange{said, registered("a", true), registered("b", false)}, 5)
	r.MarkLeaving(&said.Registration)
	encoded, err := json.Marshal(r.State())
	if err != nil {
		t.Fatal(err)
	}
	var state struct{ Leaving []string }
	if err := json.Unmarshal(encoded, &state); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"a", "c"}, state.Leaving); diff != "" {
		t.Error(diff)
	}
}

func TestDigestIsOfRegistrationsOnly(t *testing.T) {
	c := &clock{time.Unix(1000, 0)}
	digestAfter := func(change func(r *Roster)) uint64 {
		r := New(time.Minute, c.now, nil)
		r.Replace([]usher.EndpointChange{registered("a", false), registered("b", false)}, 5)
		change(r)
		return r.Snapshot().Digest
	}
	same := digestAfter(func(*Roster) {})
	for name, test := range map[string]struct {
		change func(r *Roster)
		want   bool
	}{
		"other order": {func(r *Roster) {
			r.Replace([]usher.EndpointChange{registered("b", false), registered("a", false)}, 6)
		}, true},
		"later revision": {func(r *Roster) { r.Apply(nil, 9) }, true},
		"leaves":         {func(r *Roster) { r.Apply([]usher.EndpointChange{registered("a", true)}, 6) }, false},
		"removed":        {func(r *Roster) { r.Apply([]usher.EndpointChange{deleted("a")}, 6) }, false},
		"lapsed":         {func(r *Roster) { r.StoreRecovered(); r.Apply([]usher.EndpointChange{deleted("a")}, 6) }, false},
		"added":          {func(r *Roster) { r.Apply([]usher.EndpointChange{registered("c", false)}, 6) }, false},
	} {
		if got := digestAfter(test.change) == same; got != test.want {
			t.Errorf("%s: same digest %v, want %v", name, got, test.want)
		}
	}
}
