// Package store simulates the platform's object API. It has object versions,
// conditional updates, watches, rate limits and a delayed list of instances. It
// injects faults: outages, slow calls, and writes that take effect late or whose
// response is lost.
package store

import (
	"bytes"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"filbertusher/pkg/usher"
)

// maxHistory is the maximum number of changes that are kept for watches. Above it,
// the older half is dropped.
const maxHistory = 100000

// Memory holds the objects of the store in memory. Every change increments the
// revision of the store, and the version of an object is the revision of its
// last change.
type Memory struct {
	mu       sync.Mutex
	revision usher.Version
	objects  map[usher.ObjectKey]usher.Object
	history  []usher.WatchEvent
	// compacted is the newest revision whose change is no longer in the history.
	compacted usher.Version
	changed   chan struct{}
	era       usher.StoreEra
	backup    backup
	// statuses holds the statuses of objects by the revision of the object's change.
	statuses map[usher.Version][]byte
}

// backup is a copy of the state that a restored store goes back to.
type backup struct {
	revision  usher.Version
	objects   map[usher.ObjectKey]usher.Object
	history   []usher.WatchEvent
	compacted usher.Version
	statuses  map[usher.Version][]byte
}

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{
		objects: make(map[usher.ObjectKey]usher.Object), changed: make(chan struct{}), era: 1, statuses: make(map[usher.Version][]byte),
	}
}

// Get returns an object and whether it exists.
func (m *Memory) Get(key usher.ObjectKey) (usher.Object, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	object, ok := m.objects[key]
	return object, ok
}

// List returns the objects whose keys begin with prefix, sorted by key, and the
// revision of the store.
func (m *Memory) List(prefix usher.ObjectKey) ([]usher.Object, usher.Version) {
	m.mu.Lock()
	defer m.mu.Unlock()
	objects := make([]usher.Object, 0, len(m.objects))
	for key, object := range m.objects {
		if strings.HasPrefix(string(key), string(prefix)) {
			objects = append(objects, object)
		}
	}
	sort.Slice(objects, func(i, j int) bool { return objects[i].Key < objects[j].Key })
	return objects, m.revision
}

// Write stores a value, or deletes the object if deleted is set, provided that the
// object is at version expected, which is 0 for an object that does not exist. It
// returns the resulting version and whether the change was made.
func (m *Memory) Write(key usher.ObjectKey, expected usher.Version, value []byte, deleted bool) (usher.Version, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	current := m.objects[key].Version
	if current != expected {
		return current, false
	}
	status := m.statuses[current]
	if deleted {
		status = nil
	}
	return m.commit(usher.WatchEvent{Object: usher.Object{Key: key, Value: value}, Deleted: deleted}, status), true
}

// WriteStatus replaces the status of an object that is at version expected, as Write does its
// value. A status that is the same is no change.
func (m *Memory) WriteStatus(key usher.ObjectKey, expected usher.Version, status []byte) (usher.Version, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	current, found := m.objects[key]
	if !found || current.Version != expected {
		return current.Version, false
	}
	if bytes.Equal(m.statuses[current.Version], status) {
		return current.Version, true
	}
	return m.commit(usher.WatchEvent{Object: usher.Object{Key: key, Value: current.Value}}, status), true
}

// Status returns the status that an object had at a version.
func (m *Memory) Status(version usher.Version) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.statuses[version]
}

// commit makes a change and returns its revision. The caller must hold m.mu.
func (m *Memory) commit(event usher.WatchEvent, status []byte) usher.Version {
	m.revision++
	event.Version = m.revision
	delete(m.statuses, event.Version)
	if status != nil {
		m.statuses[event.Version] = status
	}
	if event.Deleted {
		delete(m.objects, event.Key)
	} else {
		m.objects[event.Key] = event.Object
	}
	m.history = append(m.history, event)
	if len(m.history) > maxHistory {
		m.history = append([]usher.WatchEvent(nil), m.history[maxHistory/2:]...)
		m.compacted = m.history[0].Version - 1
	}
	close(m.changed)
	m.changed = make(chan struct{})
	return m.revision
}

// Watch returns the changes after revision since to keys that begin with prefix.
// If there are none, it waits up to wait for the first one. expired is true if the
// history does not contain all changes after since, or if the store has not reached
// that revision; the caller has to list the objects again.
func (m *Memory) Watch(done <-chan struct{}, prefix usher.ObjectKey, since usher.Version, wait time.Duration) (events []usher.WatchEvent, revision usher.Version, expired bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		events, revision, changed, expired := m.eventsAfter(prefix, since)
		if expired || len(events) > 0 {
			return events, revision, expired
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

func (m *Memory) eventsAfter(prefix usher.ObjectKey, since usher.Version) ([]usher.WatchEvent, usher.Version, <-chan struct{}, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	expired := since > m.revision || since < m.compacted
	start := sort.Search(len(m.history), func(i int) bool { return m.history[i].Version > since })
	var events []usher.WatchEvent
	for _, event := range m.history[start:] {
		if strings.HasPrefix(string(event.Key), string(prefix)) {
			events = append(events, event)
		}
	}
	return events, m.revision, m.changed, expired
}

// Reset drops the history and, if everything is set, all objects, like a store
// that was restored from a backup.
func (m *Memory) Reset(everything bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.history = nil
	m.compacted = m.revision
	if everything {
		m.objects = make(map[usher.ObjectKey]usher.Object)
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// Backup keeps a copy of the present state for Restore.
func (m *Memory) Backup() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.backup = backup{revision: m.revision, objects: maps.Clone(m.objects), history: slices.Clone(m.history), compacted: m.compacted, statuses: maps.Clone(m.statuses)}
}

// Restore goes back to the state that Backup kept and begins a new era. Revisions
// since then are given out again.
func (m *Memory) Restore() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision, m.compacted = m.backup.revision, m.backup.compacted
	m.objects, m.history = maps.Clone(m.backup.objects), slices.Clone(m.backup.history)
	if m.objects == nil {
		m.objects = make(map[usher.ObjectKey]usher.Object)
	}
	if m.statuses = maps.Clone(m.backup.statuses); m.statuses == nil {
		m.statuses = make(map[usher.Version][]byte)
	}
	m.era++
	close(m.changed)
	m.changed = make(chan struct{})
}

// Era returns how often the store was restored, from 1.
func (m *Memory) Era() usher.StoreEra {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.era
}

// SingleEra implements usher.EraSource for stores that never go back to an earlier
// state.
type SingleEra struct{}

var _ usher.EraSource = SingleEra{}

// Era implements usher.EraSource.
func (SingleEra) Era() usher.StoreEra { return 0 }

// Restored implements usher.EraSource.
func (SingleEra) Restored() <-chan struct{} { return nil }
