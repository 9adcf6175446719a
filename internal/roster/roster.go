// Package roster knows the endpoints of each service: which there are, which
// are leaving, and which are missing only because the store forgot them while
// it was away.
package roster

import (
	"sync"
	"sync/atomic"
	"time"

	"filbertusher/pkg/usher"
)

// Snapshot is the endpoints at one moment. It is immutable.
type Snapshot struct {
	// Revision is the store's revision that the snapshot reflects.
	Revision usher.Version
	// ByService holds the endpoints that may get new requests.
	ByService map[usher.ServiceName][]usher.Registration
	// ByName holds all endpoints, leaving ones too.
	ByName map[usher.EndpointName]usher.Registration
}

// Roster is the state of one process. Readers load a snapshot without a lock.
type Roster struct {
	current atomic.Pointer[Snapshot]
	changed func(change usher.EndpointChange, why string)

	mu       sync.Mutex
	now      func() time.Time
	grace    time.Duration
	known    map[usher.EndpointName]usher.Registration
	revision usher.Version
	// missing holds since when an entry that should be there is not.
	missing map[usher.EndpointName]time.Time
	// disturbed is when the store last came back after it did not answer.
	disturbed time.Time
}

// New returns an empty roster. Endpoints that vanish within grace after the
// store came back stay for that long; changed is told of each change.
func New(grace time.Duration, now func() time.Time, changed func(usher.EndpointChange, string)) *Roster {
	r := &Roster{
		now: now, grace: grace, changed: changed,
		known:   make(map[usher.EndpointName]usher.Registration),
		missing: make(map[usher.EndpointName]time.Time),
	}
	r.current.Store(&Snapshot{ByService: map[usher.ServiceName][]usher.Registration{}, ByName: map[usher.EndpointName]usher.Registration{}})
	return r
}

// Snapshot returns the endpoints as they are now known.
func (r *Roster) Snapshot() *Snapshot { return r.current.Load() }

// Disturbed notes that the store answers again after it did not. What vanished
// meanwhile may only have lapsed.
func (r *Roster) Disturbed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disturbed = r.now()
}

// Apply takes in changes up to a revision.
func (r *Roster) Apply(changes []usher.EndpointChange, revision usher.Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision < r.revision {
		return
	}
	r.revision = revision
	for _, change := range changes {
		r.apply(change)
	}
	r.publish()
}

// Replace takes in a complete list. Endpoints that are not on it are gone, or
// lapsed if the store was away shortly before.
func (r *Roster) Replace(list []usher.EndpointChange, revision usher.Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision < r.revision {
		return
	}
	r.revision = revision
	listed := make(map[usher.EndpointName]bool, len(list))
	for _, change := range list {
		listed[change.Name] = true
		r.apply(change)
	}
	for name := range r.known {
		if !listed[name] {
			r.apply(usher.EndpointChange{Registration: usher.Registration{Name: name}})
		}
	}
	r.publish()
}

func (r *Roster) apply(change usher.EndpointChange) {
	old, known := r.known[change.Name]
	switch {
	case change.Usable:
		delete(r.missing, change.Name)
		r.known[change.Name] = change.Registration
		if !known || old.Born != change.Born || old.Address != change.Address || old.Leaving != change.Leaving {
			r.tell(change, "registered")
		}
	case !known:
	case change.Unreadable || !r.lapsing():
		r.drop(old, "removed")
	default:
		if _, waits := r.missing[change.Name]; !waits {
			r.missing[change.Name] = r.now()
			r.tell(usher.EndpointChange{Registration: old, Usable: true}, "lapsed")
		}
	}
}

// lapsing says whether an entry that vanished may be back shortly.
func (r *Roster) lapsing() bool {
	return !r.disturbed.IsZero() && r.now().Sub(r.disturbed) < r.grace
}

// Expire drops the endpoints that did not come back in time, and says whether
// there were any. It has to be called regularly while the store answers.
func (r *Roster) Expire() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lapsing() || len(r.missing) == 0 {
		return false
	}
	for name := range r.missing {
		r.drop(r.known[name], "did not come back")
	}
	r.publish()
	return true
}

func (r *Roster) drop(endpoint usher.Registration, why string) {
	delete(r.known, endpoint.Name)
	delete(r.missing, endpoint.Name)
	r.tell(usher.EndpointChange{Registration: endpoint}, why)
}

func (r *Roster) tell(change usher.EndpointChange, why string) {
	if r.changed != nil {
		r.changed(change, why)
	}
}

func (r *Roster) publish() {
	next := &Snapshot{
		Revision:  r.revision,
		ByService: make(map[usher.ServiceName][]usher.Registration),
		ByName:    make(map[usher.EndpointName]usher.Registration, len(r.known)),
	}
	for name, endpoint := range r.known {
		next.ByName[name] = endpoint
		if !endpoint.Leaving {
			next.ByService[endpoint.Service] = append(next.ByService[endpoint.Service], endpoint)
		}
	}
	r.current.Store(next)
}

// List returns what a process that can't reach the store needs to take over
// this one's view. Endpoints that are kept only because they may have lapsed are
// left out: another process may know already that they are gone.
func (r *Roster) List() ([]usher.EndpointChange, usher.Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]usher.EndpointChange, 0, len(r.known))
	for name, endpoint := range r.known {
		if _, lapsed := r.missing[name]; lapsed {
			continue
		}
		list = append(list, usher.EndpointChange{Registration: endpoint, Usable: true})
	}
	return list, r.revision
}
