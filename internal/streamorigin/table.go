package streamorigin

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertusher/pkg/usher"
)

// Key is the digest of the ID of the request that began a stream.
type Key uint64

func keyOf(id usher.RequestID) Key { return Key(xxhash.Sum64String(string(id))) }

const (
	// originTTL is how long the origin of a stream is kept, and versionTTL how long after
	// its last endpoint vanished a version may have begun a stream that is taken up. Both
	// are far above the time that callers wait for a stream.
	originTTL  = time.Minute
	versionTTL = time.Minute
	// maxOrigins bounds the streams of which the origin is kept; the oldest are dropped.
	maxOrigins = 1 << 16
	// maxVersions bounds the versions of a service. With more, nothing is inferred.
	maxVersions = 64
)

// Table holds what one instance knows. It is safe for concurrent use.
type Table struct {
	now func() time.Time

	mu      sync.Mutex
	origins map[Key]Origin
	// learned lists the streams in origins in the order in which they were learned.
	// learnedBefore is the number of those that were dropped from it.
	learned       []learnedOrigin
	learnedBefore uint64
	services      map[usher.ServiceName]*versions
	// unfinished are the streams that began here and whose callers have not received all
	// of them, with the times at which they began.
	unfinished map[Key]time.Time
	instances  int
	// streamsLoaded is closed once the streams of before the start of this process are
	// known, as far as they were stored.
	streamsLoaded chan struct{}
	// loaded is set once the versions of before the start of this process are known.
	loaded bool
	// changed is signalled when the versions change that have to be stored.
	changed chan struct{}
}

// learnedOrigin is a stream whose origin was learned. own is set if this instance passed
// on its first event.
type learnedOrigin struct {
	key Key
	at  time.Time
	own bool
}

// versions are the versions of a service that serve or served lately.
type versions struct {
	// servedUntil is zero for a version that serves.
	servedUntil map[usher.SoftwareVersion]time.Time
}

// New returns an empty table. Of infers nothing until Sync or Merge has learned which
// versions served before.
func New(now func() time.Time) *Table {
	return &Table{
		now: now, origins: make(map[Key]Origin), services: make(map[usher.ServiceName]*versions),
		unfinished: make(map[Key]time.Time), streamsLoaded: make(chan struct{}), changed: make(chan struct{}, 1),
	}
}

// Began records that the first event of a stream was passed on.
func (t *Table) Began(id usher.RequestID, origin Origin) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.learn(keyOf(id), origin, true)
	// A caller may have claimed the ID for another stream before.
	t.origins[keyOf(id)] = origin
	t.unfinished[keyOf(id)] = t.now()
}

// Infer keeps an origin that Of has inferred, because it can't be inferred any more once
// another version serves.
func (t *Table) Infer(id usher.RequestID, origin Origin) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.learn(keyOf(id), origin, true)
}

// learn adds the origin of a stream. The caller must hold t.mu.
func (t *Table) learn(key Key, origin Origin, own bool) {
	if _, known := t.origins[key]; known {
		return
	}
	now := t.now()
	dropped := 0
	for dropped < len(t.learned) && (now.Sub(t.learned[dropped].at) > originTTL || len(t.learned)-dropped >= maxOrigins) {
		delete(t.origins, t.learned[dropped].key)
		delete(t.unfinished, t.learned[dropped].key)
		dropped++
	}
	t.learned = t.learned[dropped:]
	t.learnedBefore += uint64(dropped)
	t.origins[key] = origin
	t.learned = append(t.learned, learnedOrigin{key: key, at: now, own: own})
}

// Of returns the origin of the stream that the request first began, if it is known.
// services are those that the stream's route may send to.
func (t *Table) Of(first usher.RequestID, services []usher.ServiceName) (Origin, Knowledge) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if origin, known := t.origins[keyOf(first)]; known && first != "" {
		return origin, Recorded
	}
	if !t.loaded || len(services) != 1 {
		return Origin{}, Unknown
	}
	recent := t.recent(services[0], versionTTL)
	if len(recent) != 1 {
		return Origin{}, Unknown
	}
	return Origin{Service: services[0], Software: recent[0]}, Inferred
}

// recent returns the versions of a service that serve or served within a time. The caller
// must hold t.mu.
func (t *Table) recent(service usher.ServiceName, within time.Duration) (recent []usher.SoftwareVersion) {
	known := t.services[service]
	if known == nil {
		return nil
	}
	for software, until := range known.servedUntil {
		if until.IsZero() || t.now().Sub(until) < within {
			recent = append(recent, software)
		}
	}
	slices.Sort(recent)
	return recent
}

// isMixed reports whether several versions of a service serve or served within a time.
// The caller must hold t.mu.
func (t *Table) isMixed(within time.Duration) bool {
	for service := range t.services {
		if len(t.recent(service, within)) > 1 {
			return true
		}
	}
	return false
}

// SetEndpoints tells the table which endpoints are registered, including those that are
// leaving.
func (t *Table) SetEndpoints(endpoints map[usher.EndpointName]usher.Registration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	serving := make(map[Origin]bool)
	for _, endpoint := range endpoints {
		serving[Origin{Service: endpoint.Service, Software: endpoint.Software}] = true
	}
	changed := false
	for origin := range serving {
		changed = t.setServed(origin, time.Time{}) || changed
	}
	for service, known := range t.services {
		for software, until := range known.servedUntil {
			switch {
			case until.IsZero() && !serving[Origin{Service: service, Software: software}]:
				known.servedUntil[software] = t.now()
				changed = true
			case !until.IsZero() && t.now().Sub(until) >= versionTTL:
				delete(known.servedUntil, software)
			}
		}
		if len(known.servedUntil) == 0 {
			delete(t.services, service)
		}
	}
	if changed && t.isMixed(versionTTL) {
		t.signalChange()
	}
}

// Observe records the versions of endpoints that are registered now. Unlike SetEndpoints, it
// concludes nothing from those that are missing.
func (t *Table) Observe(registered []usher.EndpointChange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for i := range registered {
		if endpoint := &registered[i]; endpoint.Usable {
			changed = t.setServed(Origin{Service: endpoint.Service, Software: endpoint.Software}, t.now()) || changed
		}
	}
	if changed && t.isMixed(versionTTL) {
		t.signalChange()
	}
}

// setServed records until when a version served, the zero time if it still does, and
// reports whether that is news. The caller must hold t.mu.
func (t *Table) setServed(origin Origin, until time.Time) bool {
	known := t.services[origin.Service]
	if known == nil {
		known = &versions{servedUntil: make(map[usher.SoftwareVersion]time.Time)}
		t.services[origin.Service] = known
	}
	current, found := known.servedUntil[origin.Software]
	if found && (current.IsZero() || !until.IsZero() && !until.After(current)) {
		return false
	}
	if !found && len(known.servedUntil) >= maxVersions {
		return false
	}
	known.servedUntil[origin.Software] = until
	return true
}

func (t *Table) signalChange() {
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// State returns the table's section of the diagnostic dump.
func (t *Table) State() any {
	t.mu.Lock()
	defer t.mu.Unlock()
	services := make(map[usher.ServiceName][]usher.SoftwareVersion, len(t.services))
	for service := range t.services {
		services[service] = t.recent(service, versionTTL)
	}
	return struct {
		Streams  int                                           `json:"streams"`
		Loaded   bool                                          `json:"loaded"`
		Versions map[usher.ServiceName][]usher.SoftwareVersion `json:"versions"`
	}{len(t.origins), t.loaded, services}
}
