package spread

import (
	"slices"
	"sync"

	"filbertusher/internal/config"
	"filbertusher/pkg/usher"
)

const (
	// maxSteps bounds how many versions back a process can tell what changed.
	maxSteps = 256
	// maxStepKeys bounds the keys of one step. A larger change is fetched by
	// pages, which is cheaper then.
	maxStepKeys = 2000
)

// step says which objects changed between two versions. Only keys are kept;
// the values are those of the current snapshot, which is what a peer needs
// whatever happened in between.
type step struct {
	fromVersion usher.Version
	fromChange  config.ChangeID
	toVersion   usher.Version
	keys        []usher.ObjectKey
}

// changes remembers the last steps of a process, without gaps.
type changes struct {
	mu    sync.Mutex
	steps []step
}

// add remembers a step. Nil keys mean that it is not known what changed.
func (c *changes) add(from, to *config.Head, keys []usher.ObjectKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if keys == nil || len(keys) > maxStepKeys {
		c.steps = nil
		return
	}
	c.steps = append(c.steps, step{fromVersion: from.Version, fromChange: from.ID, toVersion: to.Version, keys: keys})
	if len(c.steps) > maxSteps {
		c.steps = append([]step(nil), c.steps[1:]...)
	}
}

// since returns the keys that changed after a version, and false when that is
// not known. A peer may hold a version that this process has passed over: then
// the step that passed over it lists its changes and some before it, which does
// no harm, because the values sent are those of now. lineage shows that such a
// version is one that the current one was built on.
func (c *changes) since(version usher.Version, change config.ChangeID, lineage []config.ChangeID) ([]usher.ObjectKey, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, one := range c.steps {
		held := one.fromVersion == version && one.fromChange == change
		passed := one.fromVersion < version && version < one.toVersion && slices.Contains(lineage, change)
		if held || passed {
			return distinct(c.steps[i:]), true
		}
	}
	return nil, false
}

func distinct(steps []step) []usher.ObjectKey {
	seen := make(map[usher.ObjectKey]bool)
	keys := []usher.ObjectKey{}
	for _, one := range steps {
		for _, key := range one.keys {
			if !seen[key] {
				seen[key] = true
				keys = append(keys, key)
			}
		}
	}
	return keys
}
