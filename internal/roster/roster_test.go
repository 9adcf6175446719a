package roster

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"filbertusher/pkg/usher"
)

func entry(name string, leaving bool) usher.EndpointChange {
	return usher.EndpointChange{Usable: true, Registration: usher.Registration{
		Name: usher.EndpointName(name), Service: "s", Address: "10.0.0.1:80", Slots: 1, Leaving: leaving,
	}}
}

func gone(name string) usher.EndpointChange {
	return usher.EndpointChange{Registration: usher.Registration{Name: usher.EndpointName(name)}}
}

type clock struct{ time.Time }

func (c *clock) now() time.Time { return c.Time }

func (c *clock) pass(d time.Duration) { c.Time = c.Add(d) }

func usable(r *Roster) []usher.EndpointName {
	var names []usher.EndpointName
	for _, e := range r.Snapshot().ByService["s"] {
		names = append(names, e.Name)
	}
	return names
}

func TestLeavingAndGoneEndpointsGetNothing(t *testing.T) {
	c := &clock{time.Unix(1000, 0)}
	r := New(2*time.Second, c.now, nil)
	r.Replace([]usher.EndpointChange{entry("a", false), entry("b", true)}, 5)
	if diff := cmp.Diff([]usher.EndpointName{"a"}, usable(r)); diff != "" {
		t.Error(diff)
	}
	if _, known := r.Snapshot().ByName["b"]; !known {
		t.Error("a leaving endpoint is still known")
	}
	r.Apply([]usher.EndpointChange{gone("a")}, 6)
	if diff := cmp.Diff([]usher.EndpointName(nil), usable(r)); diff != "" {
		t.Error("while the store is up, a deleted entry is gone at once: " + diff)
	}
}

func TestLapsedEntriesStayUntilTheGraceEnds(t *testing.T) {
	c := &clock{time.Unix(1000, 0)}
	r := New(2*time.Second, c.now, nil)
	r.Replace([]usher.EndpointChange{entry("a", false), entry("b", false)}, 5)
	r.Disturbed()
	r.Replace(nil, 6)
	if len(usable(r)) != 2 {
		t.Fatal("entries that lapsed during an outage were dropped at once")
	}
	c.pass(time.Second)
	r.Apply([]usher.EndpointChange{entry("a", false)}, 7)
	r.Expire()
	if len(usable(r)) != 2 {
		t.Fatal("an entry was dropped before the grace ended")
	}
	c.pass(1100 * time.Millisecond)
	r.Expire()
	if diff := cmp.Diff([]usher.EndpointName{"a"}, usable(r)); diff != "" {
		t.Error(diff)
	}
}

// What one process keeps in case it comes back does not bring it back elsewhere.
func TestLapsedEntriesAreNotPassedOn(t *testing.T) {
	c := &clock{time.Unix(1000, 0)}
	keeps, knows := New(2*time.Second, c.now, nil), New(2*time.Second, c.now, nil)
	for _, r := range []*Roster{keeps, knows} {
		r.Replace([]usher.EndpointChange{entry("a", false), entry("b", false)}, 5)
	}
	keeps.Disturbed()
	keeps.Apply([]usher.EndpointChange{gone("a")}, 7)
	knows.Apply([]usher.EndpointChange{gone("a")}, 6)
	knows.Replace(keeps.List())
	if diff := cmp.Diff([]usher.EndpointName{"b"}, usable(knows)); diff != "" {
		t.Error(diff)
	}
}

func TestOlderNewsAndUnreadableEntries(t *testing.T) {
	c := &clock{time.Unix(1000, 0)}
	r := New(2*time.Second, c.now, nil)
	r.Replace([]usher.EndpointChange{entry("a", false)}, 5)
	r.Replace(nil, 4)
	if len(usable(r)) != 1 {
		t.Error("an older list replaced a newer one")
	}
	r.Disturbed()
	bad := gone("a")
	bad.Unreadable = true
	r.Apply([]usher.EndpointChange{bad}, 6)
	if len(usable(r)) != 0 {
		t.Error("an entry that can't be read names an endpoint to use")
	}
}

func TestSameNameReborn(t *testing.T) {
	c := &clock{time.Unix(1000, 0)}
	told := 0
	r := New(0, c.now, func(usher.EndpointChange, string) { told++ })
	first, second := entry("a", false), entry("a", false)
	first.Born, second.Born = 1, 2
	r.Apply([]usher.EndpointChange{first}, 1)
	r.Apply([]usher.EndpointChange{first}, 2)
	r.Apply([]usher.EndpointChange{second}, 3)
	if got := r.Snapshot().ByName["a"].Born; got != 2 || told != 2 {
		t.Errorf("incarnation %d is known after %d changes were told; want 2 after 2", got, told)
	}
}
