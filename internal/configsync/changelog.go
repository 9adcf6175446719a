package configsync

import (
	"slices"
	"sync"

	"filbertusher/internal/config"
	"filbertusher/pkg/usher"
)

const (
	// maxTransitions is the number of most recent version transitions that a
	// process remembers.
	maxTransitions = 256
	// maxTransitionKeys is the maximum number of keys in one transition. Peers
	// fetch larger changes by page, which is cheaper.
	maxTransitionKeys = 2000
)

// transition lists the objects that changed between two versions. It stores
// only keys: a peer is sent the current values, whatever the values were in
// between.
type transition struct {
	fromVersion usher.Version
	fromChange  config.ChangeID
	toVersion   usher.Version
	keys        []usher.ObjectKey
}

// changeLog remembers the most recent transitions of a process, without gaps.
type changeLog struct {
	mu          sync.Mutex
	transitions []transition
}

// add appends a transition. Nil keys mean that the changed objects are unknown;
// the log is then cleared.
func (c *changeLog) add(from, to *config.Head, keys []usher.ObjectKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if keys == nil || len(keys) > maxTransitionKeys {
		c.transitions = nil
		return
	}
	c.transitions = append(c.transitions, transition{fromVersion: from.Version, fromChange: from.ID, toVersion: to.Version, keys: keys})
	if len(c.transitions) > maxTransitions {
		c.transitions = append([]transition(nil), c.transitions[1:]...)
	}
}

// since returns the keys that changed after a version, or false if that is
// unknown. The version may be one that this process skipped. lineage then shows
// whether it is an ancestor of the current version, and the keys of the
// transition that skipped it are returned in full. They include keys that
// changed before the version, which is harmless because the current values are
// sent.
func (c *changeLog) since(version usher.Version, change config.ChangeID, lineage []config.ChangeID) ([]usher.ObjectKey, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, t := range c.transitions {
		matches := t.fromVersion == version && t.fromChange == change
		skipped := t.fromVersion < version && version < t.toVersion && slices.Contains(lineage, change)
		if matches || skipped {
			return distinctKeys(c.transitions[i:]), true
		}
	}
	return nil, false
}

func distinctKeys(transitions []transition) []usher.ObjectKey {
	seen := make(map[usher.ObjectKey]bool)
	keys := []usher.ObjectKey{}
	for _, t := range transitions {
		for _, key := range t.keys {
			if !seen[key] {
				seen[key] = true
				keys = append(keys, key)
			}
		}
	}
	return keys
}
