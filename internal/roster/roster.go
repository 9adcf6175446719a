// Package roster keeps, for a gateway instance, the list of the endpoints of each
// service, as registered in the store. It excludes endpoints that are leaving from
// new requests. Endpoints whose registrations may only have lapsed while the store
// was unavailable stay in the list for a grace period. After the store went back to
// an earlier state, endpoints that were leaving or removed before stay so, although old
// registrations of theirs reappear.
package roster

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertusher/internal/boottime"
	"filbertusher/pkg/usher"
)

// Snapshot is the state of all endpoints at one time. It is immutable.
type Snapshot struct {
	// Revision is the store's version that the snapshot reflects.
	Revision usher.Version
	// ByService holds the endpoints that may get new requests.
	ByService map[usher.ServiceName][]usher.Registration
	// ByName holds all endpoints, including those that are leaving.
	ByName map[usher.EndpointName]usher.Registration
	// Digest is equal in snapshots of the same registrations, without those that may have
	// lapsed, and whatever the revision. 0 stands for no digest.
	Digest uint64
}

// Roster is the list of endpoints as one process knows it. Reading a snapshot takes
// no lock.
type Roster struct {
	current  atomic.Pointer[Snapshot]
	onChange func(change usher.EndpointChange, reason string)

	mu          sync.Mutex
	now         func() time.Time
	gracePeriod time.Duration
	endpoints   map[usher.EndpointName]usher.Registration
	revision    usher.Version
	// lapsedSince holds, for each endpoint that is retained although its
	// registration is gone, when the registration vanished.
	lapsedSince map[usher.EndpointName]time.Time
	// recoveredAt is when the store last answered again after an outage, and
	// restoredAt when it was first seen in its present era.
	recoveredAt time.Time
	restoredAt  time.Time
	// departed holds the endpoints that were removed lately, and withheld the
	// registrations of departed ones that a restored store lists.
	departed map[usher.EndpointName]departure
	withheld map[usher.EndpointName]usher.EndpointChange
	// confirmedAt is when the roster was last known to be complete.
	confirmedAt boottime.Latest
}

// departure is the last registration of an endpoint and when it was removed.
type departure struct {
	registration usher.Registration
	at           time.Time
}

const (
	// withholdPeriod is how long after the store went back an endpoint that had been
	// removed before is withheld although the store lists it. An endpoint that is gone
	// has lost its registration again by then.
	withholdPeriod = 6 * time.Second
	// departureRetention is how long removed endpoints are remembered, and
	// maxDepartures how many. A store goes back by seconds.
	departureRetention = time.Minute
	maxDepartures      = 4096
)

// New returns an empty roster. Endpoints whose registrations vanish within
// gracePeriod after the store recovered are retained until the period ends.
// onChange is called with the reason when an endpoint is new, lapses or is removed,
// and when its incarnation, address or Leaving changes.
func New(gracePeriod time.Duration, now func() time.Time, onChange func(usher.EndpointChange, string)) *Roster {
	r := &Roster{
		now: now, gracePeriod: gracePeriod, onChange: onChange,
		endpoints:   make(map[usher.EndpointName]usher.Registration),
		lapsedSince: make(map[usher.EndpointName]time.Time),
		departed:    make(map[usher.EndpointName]departure),
		withheld:    make(map[usher.EndpointName]usher.EndpointChange),
	}
	r.publish()
	return r
}

// Snapshot returns the current state of the endpoints.
func (r *Roster) Snapshot() *Snapshot { return r.current.Load() }

// Confirm records that at some time a list of all registrations had the digest. It has no
// effect if the roster has another digest: it is behind then, or the list is.
func (r *Roster) Confirm(digest uint64, at boottime.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if digest == r.Snapshot().Digest {
		r.confirmedAt.Record(at)
	}
}

// Age returns how long ago the roster is known to have had all registrations. It includes
// time during which the machine was suspended.
func (r *Roster) Age() time.Duration { return r.confirmedAt.Age() }

// StoreRecovered records that the store answers again after an outage.
// Registrations that vanished meanwhile may only have lapsed.
func (r *Roster) StoreRecovered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recoveredAt = r.now()
}

// Apply applies changes up to a revision of the store. It ignores a revision older
// than the current one, and reports whether it applied the changes.
func (r *Roster) Apply(changes []usher.EndpointChange, revision usher.Version) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision < r.revision {
		return false
	}
	r.revision = revision
	for _, change := range changes {
		delete(r.withheld, change.Name)
		r.apply(change)
	}
	r.publish()
	return true
}

// MarkLeaving records that an incarnation of an endpoint states that it leaves, whatever
// its registration says, also if that is gone just now. It reports whether that is news.
func (r *Roster) MarkLeaving(endpoint *usher.Registration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	current, registered := r.endpoints[endpoint.Name]
	departure, departed := r.departed[endpoint.Name]
	if !registered && departed {
		current = departure.registration
	}
	if !registered && !departed || current.Leaving || current.Born != endpoint.Born || current.Address != endpoint.Address {
		return false
	}
	current.Leaving = true
	if registered {
		r.endpoints[endpoint.Name] = current
	} else {
		departure.registration = current
		r.departed[endpoint.Name] = departure
	}
	r.notify(usher.EndpointChange{Registration: current, Usable: registered}, "said so in a response")
	r.publish()
	return true
}

// Replace applies a complete list. Endpoints that are not on it are removed, or
// treated as lapsed if the store recovered shortly before. It ignores a revision
// older than the current one, and reports whether it applied the list.
func (r *Roster) Replace(list []usher.EndpointChange, revision usher.Version) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision < r.revision {
		return false
	}
	if r.revision != 0 && revision.Era() > r.revision.Era() {
		// What was registered since the state that the store went back to is missing
		// until its endpoint registers again.
		r.recoveredAt, r.restoredAt = r.now(), r.now()
	}
	r.revision = revision
	listed := make(map[usher.EndpointName]bool, len(list))
	clear(r.withheld)
	for _, change := range list {
		listed[change.Name] = true
		if r.mustWithhold(&change) {
			r.withheld[change.Name] = change
			continue
		}
		r.apply(change)
	}
	for name := range r.endpoints {
		if !listed[name] {
			r.apply(usher.EndpointChange{Registration: usher.Registration{Name: name}})
		}
	}
	r.publish()
	return true
}

// mustWithhold reports whether a listed registration may be the copy of one that was
// removed before the store went back.
func (r *Roster) mustWithhold(change *usher.EndpointChange) bool {
	departure, found := r.departed[change.Name]
	return found && change.Usable && departure.registration.Born == change.Born &&
		departure.at.Before(r.restoredAt) && r.now().Sub(r.restoredAt) < withholdPeriod
}

// wasLeaving reports whether this incarnation of the endpoint has said before that it
// leaves. An incarnation that leaves does not return.
func (r *Roster) wasLeaving(change *usher.EndpointChange) bool {
	last, known := r.endpoints[change.Name]
	if !known {
		last = r.departed[change.Name].registration
	}
	return last.Leaving && last.Born == change.Born && last.Address == change.Address
}

func (r *Roster) apply(change usher.EndpointChange) {
	previous, known := r.endpoints[change.Name]
	switch {
	case change.Usable:
		change.Leaving = change.Leaving || r.wasLeaving(&change)
		delete(r.lapsedSince, change.Name)
		delete(r.departed, change.Name)
		r.endpoints[change.Name] = change.Registration
		if !known || previous.Born != change.Born || previous.Address != change.Address || previous.Leaving != change.Leaving {
			r.notify(change, "registered")
		}
	case !known:
	case change.Unreadable || !r.inGracePeriod():
		r.remove(previous, "removed")
	default:
		if _, lapsed := r.lapsedSince[change.Name]; !lapsed {
			r.lapsedSince[change.Name] = r.now()
			r.notify(usher.EndpointChange{Registration: previous, Usable: true}, "lapsed")
		}
	}
}

// inGracePeriod reports whether the store recovered so recently that a registration
// that vanished may only have lapsed.
func (r *Roster) inGracePeriod() bool {
	return !r.recoveredAt.IsZero() && r.now().Sub(r.recoveredAt) < r.gracePeriod
}

// Expire removes the lapsed endpoints that were not registered again within the
// grace period, and adds the withheld ones that are still registered. It reports
// whether there were any, and has to be called regularly while the store answers.
func (r *Roster) Expire() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	if !r.inGracePeriod() {
		for name := range r.lapsedSince {
			r.remove(r.endpoints[name], "not registered again in time")
			changed = true
		}
	}
	if r.now().Sub(r.restoredAt) >= withholdPeriod {
		for name, change := range r.withheld {
			delete(r.withheld, name)
			r.apply(change)
			changed = true
		}
	}
	if changed {
		r.publish()
	}
	return changed
}

func (r *Roster) remove(endpoint usher.Registration, reason string) {
	delete(r.endpoints, endpoint.Name)
	delete(r.lapsedSince, endpoint.Name)
	r.rememberDeparture(endpoint)
	r.notify(usher.EndpointChange{Registration: endpoint}, reason)
}

func (r *Roster) rememberDeparture(endpoint usher.Registration) {
	maps.DeleteFunc(r.departed, func(_ usher.EndpointName, d departure) bool {
		return r.now().Sub(d.at) > departureRetention
	})
	if len(r.departed) < maxDepartures {
		r.departed[endpoint.Name] = departure{registration: endpoint, at: r.now()}
	}
}

func (r *Roster) notify(change usher.EndpointChange, reason string) {
	if r.onChange != nil {
		r.onChange(change, reason)
	}
}

func (r *Roster) publish() {
	snapshot := &Snapshot{
		Revision:  r.revision,
		ByService: make(map[usher.ServiceName][]usher.Registration),
		ByName:    make(map[usher.EndpointName]usher.Registration, len(r.endpoints)),
		Digest:    emptyDigest,
	}
	for name, endpoint := range r.endpoints {
		snapshot.ByName[name] = endpoint
		if _, lapsed := r.lapsedSince[name]; !lapsed {
			snapshot.Digest += digest(&endpoint)
		}
		if !endpoint.Leaving {
			snapshot.ByService[endpoint.Service] = append(snapshot.ByService[endpoint.Service], endpoint)
		}
	}
	r.current.Store(snapshot)
}

// emptyDigest is the digest of no registrations.
const emptyDigest = 1

// digest returns the part of Snapshot.Digest of one registration. It covers all but ColdFor,
// which decreases by itself.
func digest(e *usher.Registration) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%q %d %q %q %q %d %t %q", e.Name, e.Born, e.Service, e.Address, e.Zone, e.Slots, e.Leaving, e.Software))
}

// List returns the endpoints and the revision for a process that can't reach the
// store, to be passed to its Replace. Endpoints that are retained only because they
// may have lapsed are left out: the other process may know already that they are
// gone.
func (r *Roster) List() ([]usher.EndpointChange, usher.Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]usher.EndpointChange, 0, len(r.endpoints))
	for name, endpoint := range r.endpoints {
		if _, lapsed := r.lapsedSince[name]; lapsed {
			continue
		}
		list = append(list, usher.EndpointChange{Registration: endpoint, Usable: true})
	}
	return list, r.revision
}

// State returns the roster's section of the diagnostic dump.
func (r *Roster) State() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	var leaving []usher.EndpointName
	for name, endpoint := range r.endpoints {
		if endpoint.Leaving {
			leaving = append(leaving, name)
		}
	}
	slices.Sort(leaving)
	return struct {
		Era       usher.StoreEra       `json:"era"`
		Revision  uint64               `json:"revision"`
		Endpoints int                  `json:"endpoints"`
		Leaving   []usher.EndpointName `json:"leaving"`
		Lapsed    int                  `json:"lapsed"`
		Withheld  int                  `json:"withheld"`
		AgeMs     int64                `json:"ageMs"`
	}{r.revision.Era(), r.revision.Revision(), len(r.endpoints), leaving, len(r.lapsedSince), len(r.withheld), r.Age().Milliseconds()}
}
