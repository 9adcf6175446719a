// Package store is a stand-in for the platform's object API: versions,
// conditional updates, watches, a call budget, outages, slowness, writes whose
// answer is lost, and the lagging list of instances.
package store

import (
	"sort"
	"strings"
	"sync"
	"time"

	"filbertusher/pkg/usher"
)

// historyLimit is how many changes a watch can catch up on.
const historyLimit = 100000

// Memory is the state of the store. Every change gets the next revision, and
// an object's version is the revision of its last change.
type Memory struct {
	mu       sync.Mutex
	revision usher.Version
	objects  map[usher.ObjectKey]usher.Object
	history  []usher.WatchEvent
	// floor is the revision up to which the history is forgotten.
	floor   usher.Version
	changed chan struct{}
}

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{objects: make(map[usher.ObjectKey]usher.Object), changed: make(chan struct{})}
}

// Get returns an object and whether it exists.
func (m *Memory) Get(key usher.ObjectKey) (usher.Object, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	object, ok := m.objects[key]
	return object, ok
}

// List returns the objects below prefix, ordered by key, and the revision.
func (m *Memory) List(prefix usher.ObjectKey) ([]usher.Object, usher.Version) {
	m.mu.Lock()
	defer m.mu.Unlock()
	found := make([]usher.Object, 0, len(m.objects))
	for key, object := range m.objects {
		if strings.HasPrefix(string(key), string(prefix)) {
			found = append(found, object)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found, m.revision
}

// Write puts a value, or deletes the object when deleted is set, if the object
// is at version expected. It returns the version that the object is at now.
func (m *Memory) Write(key usher.ObjectKey, expected usher.Version, value []byte, deleted bool) (usher.Version, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	current := m.objects[key].Version
	if current != expected {
		return current, false
	}
	m.revision++
	event := usher.WatchEvent{Object: usher.Object{Key: key, Version: m.revision, Value: value}, Deleted: deleted}
	if deleted {
		delete(m.objects, key)
	} else {
		m.objects[key] = event.Object
	}
	m.history = append(m.history, event)
	if len(m.history) > historyLimit {
		m.history = append([]usher.WatchEvent(nil), m.history[historyLimit/2:]...)
		m.floor = m.history[0].Version - 1
	}
	close(m.changed)
	m.changed = make(chan struct{})
	return m.revision, true
}

// Watch returns the changes below prefix after since, waiting up to wait for
// the first one. lost is true when the history no longer reaches back so far.
func (m *Memory) Watch(done <-chan struct{}, prefix usher.ObjectKey, since usher.Version, wait time.Duration) (events []usher.WatchEvent, revision usher.Version, lost bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		events, revision, changed, lost := m.after(prefix, since)
		if lost || len(events) > 0 {
			return events, revision, lost
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, revision, false
		case <-done:
			return nil, revision, false
		}
	}
}

func (m *Memory) after(prefix usher.ObjectKey, since usher.Version) ([]usher.WatchEvent, usher.Version, <-chan struct{}, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	lost := since > m.revision || since < m.floor
	start := sort.Search(len(m.history), func(i int) bool { return m.history[i].Version > since })
	var events []usher.WatchEvent
	for _, event := range m.history[start:] {
		if strings.HasPrefix(string(event.Key), string(prefix)) {
			events = append(events, event)
		}
	}
	return events, m.revision, m.changed, lost
}

// Reset forgets the history, or with everything also all objects, as a store
// that was restored from a backup does.
func (m *Memory) Reset(everything bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.history = nil
	m.floor = m.revision
	if everything {
		m.objects = make(map[usher.ObjectKey]usher.Object)
	}
	close(m.changed)
	m.changed = make(chan struct{})
}
