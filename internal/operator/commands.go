package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"filbertusher/internal/config"
	"filbertusher/internal/pause"
	"filbertusher/pkg/usher"
)

const (
	// maxRebases bounds how often a change is rebuilt on a newer version because
	// another change was accepted first.
	maxRebases = 100
	// maxRebaseDelay is the upper bound of the random pause before a rebuild.
	maxRebaseDelay = 20 * time.Millisecond
	// maxStoreRefusals bounds how often a change is retried after the store refused
	// a call, for example because other clients had used up its rate limit.
	maxStoreRefusals = 5
	// maxOutcomeChecks bounds the attempts to find out whether a write with a lost
	// response took effect.
	maxOutcomeChecks = 10
	// storeRetryDelay is the pause before each of these checks, and before a change
	// is retried after a refused call.
	storeRetryDelay = 200 * time.Millisecond
)

// Apply commits a change atomically. It returns *ConflictError,
// *config.ValidationError, *UnknownOutcomeError, *usher.ConflictError after
// maxRebases rebuilds, or another error of the store; after such an error the
// accepted configuration is unchanged.
//
// Changes of different objects do not conflict: the later one is rebuilt on top
// of the earlier one and validated again.
func (c *Client) Apply(ctx context.Context, change Change) (*config.Head, error) {
	if change.ID == "" {
		change.ID = config.NewChangeID()
	}
	base, err := c.baseSnapshot(ctx, change.BaseVersion)
	if err != nil {
		return nil, err
	}
	current := base
	storeRefusals := 0
	for attempt := 0; ; attempt++ {
		next, retry, err := c.tryApply(ctx, &change, base, &current)
		unknown := new(UnknownOutcomeError)
		if isUnavailable(err) && !errors.As(err, &unknown) && storeRefusals < maxStoreRefusals {
			// A call that the store refused had no effect, so it is safe to retry. After an
			// unknown outcome, the change may have been accepted and would conflict with itself.
			storeRefusals++
			pause.For(ctx, storeRetryDelay)
			continue
		}
		if err != nil || !retry {
			return next, err
		}
		if attempt == maxRebases {
			return nil, &usher.ConflictError{Key: config.HeadKey, Expected: base.Version, Current: current.Version}
		}
		pause.For(ctx, time.Duration(rand.Int64N(int64(maxRebaseDelay))))
	}
}

// baseSnapshot returns the version that the change is based on.
func (c *Client) baseSnapshot(ctx context.Context, version usher.Version) (*config.Snapshot, error) {
	if version == 0 {
		return c.Current(ctx)
	}
	return c.At(ctx, version)
}

// tryApply loads the current version into *current, builds the change on top of it
// and tries to commit it. retry is true when another change was accepted in between.
func (c *Client) tryApply(ctx context.Context, change *Change, base *config.Snapshot, current **config.Snapshot) (accepted *config.Head, retry bool, err error) {
	latest, version, err := config.LoadCurrent(ctx, c.store, *current)
	if err != nil {
		return nil, false, err
	}
	*current = latest
	if err := c.checkConflict(ctx, change, base, *current); err != nil {
		return nil, false, err
	}
	next, err := c.buildNext(change, *current)
	if err != nil {
		return nil, false, err
	}
	if err := next.SaveParts(ctx, c.store, *current); err != nil {
		return nil, false, err
	}
	if err := (*current).ArchiveHead(ctx, c.store); err != nil {
		return nil, false, err
	}
	retry, err = c.commit(ctx, next, version)
	return &next.Head, retry, err
}

// buildNext builds and validates the version that the change would create.
func (c *Client) buildNext(change *Change, current *config.Snapshot) (*config.Snapshot, error) {
	head := config.Head{ID: change.ID, Author: c.author, Time: time.Now().UTC(), Note: change.Note}
	next, err := current.Successor(head, change.Put, change.Delete)
	if err != nil {
		return nil, err
	}
	if current.ActivePreset != nil && next.ActivePreset == nil {
		return nil, &config.ValidationError{Errors: []*config.FieldError{{
			Key: config.Key(config.KindActivePreset, config.ActivePresetName), Field: "preset", Problem: "an active preset is required",
		}}}
	}
	return next, next.Validate()
}

// commit writes the head. If the store's response is lost, commit reads the head
// back: the change ID in it, in its lineage, or in the archived head of the version
// that was written shows whether the write took effect. Repeating the write is safe,
// because it is conditional on a version that it can replace only once.
func (c *Client) commit(ctx context.Context, next *config.Snapshot, version usher.Version) (retry bool, err error) {
	err = next.SaveHead(ctx, c.store, version)
	var ambiguous *usher.AmbiguousError
	sentBefore := false
	for attempt := 0; errors.As(err, &ambiguous) || (sentBefore && isUnavailable(err)); attempt++ {
		sentBefore = true
		if attempt == maxOutcomeChecks || ctx.Err() != nil {
			return false, &UnknownOutcomeError{ID: next.Head.ID, Cause: err}
		}
		pause.For(ctx, storeRetryDelay)
		head, headVersion, readErr := config.LoadHead(ctx, c.store)
		switch {
		case readErr != nil:
			continue
		case headVersion != version:
			accepted, err := c.wasAccepted(ctx, head, &next.Head)
			return !accepted, err
		}
		err = next.SaveHead(ctx, c.store, version)
	}
	var conflict *usher.ConflictError
	if !errors.As(err, &conflict) {
		return false, err
	}
	if !sentBefore {
		return true, nil
	}
	// The conflict may be with an earlier attempt to write this same change.
	for attempt := 0; ; attempt++ {
		head, _, readErr := config.LoadHead(ctx, c.store)
		if readErr == nil {
			accepted, err := c.wasAccepted(ctx, head, &next.Head)
			return !accepted, err
		}
		if attempt == maxOutcomeChecks || ctx.Err() != nil {
			return false, &UnknownOutcomeError{ID: next.Head.ID, Cause: readErr}
		}
		pause.For(ctx, storeRetryDelay)
	}
}

func isUnavailable(err error) bool {
	var unavailable *usher.UnavailableError
	return errors.As(err, &unavailable)
}

// wasAccepted reports whether written became the version that it names, or returns an
// *UnknownOutcomeError. head has replaced the version that written is based on.
func (c *Client) wasAccepted(ctx context.Context, head, written *config.Head) (bool, error) {
	if head.ID == written.ID || slices.Contains(head.Lineage, written.ID) {
		return true, nil
	}
	if head.Version <= written.Version+usher.Version(len(head.Lineage)) {
		return false, nil
	}
	// The lineage no longer reaches back to that version.
	archived, err := config.LoadArchivedHead(ctx, c.store, written.Version)
	if err != nil {
		return false, &UnknownOutcomeError{ID: written.ID, Cause: err}
	}
	return archived.ID == written.ID, nil
}

// checkConflict returns a *ConflictError if an object of the change was changed
// by somebody else after base.
func (c *Client) checkConflict(ctx context.Context, change *Change, base, current *config.Snapshot) error {
	if base.Head.ID == current.Head.ID {
		return nil
	}
	ours := make(map[usher.ObjectKey]string)
	for _, object := range change.Put {
		ours[object.Key] = string(object.Value)
	}
	conflict := &ConflictError{Theirs: current.Head, Ours: *change, Author: c.author}
	for _, key := range change.keys() {
		baseObject, _ := base.Object(key)
		currentObject, _ := current.Object(key)
		if bytes.Equal(baseObject.Value, currentObject.Value) {
			continue
		}
		conflict.Values = append(conflict.Values, ConflictValue{
			Key: key, Base: string(baseObject.Value), Theirs: string(currentObject.Value), Ours: ours[key],
		})
	}
	if len(conflict.Values) == 0 {
		return nil
	}
	conflict.Theirs = c.lastChange(ctx, base, current, conflict.Values[0].Key)
	return conflict
}

// lastChange finds the newest change of an object after base. If the history
// can't be read, it falls back to the newest change of the configuration.
func (c *Client) lastChange(ctx context.Context, base, current *config.Snapshot, key usher.ObjectKey) config.Head {
	head := &current.Head
	for head.Version > base.Version {
		// A truncated list of changed keys may lack this one.
		if head.Truncated || slices.Contains(head.Changed, key) {
			return *head
		}
		archived, err := config.LoadArchivedHead(ctx, c.store, head.Version-1)
		if err != nil {
			break
		}
		head = archived
	}
	return current.Head
}

// Put writes one object. It is meant for tools that generate declarations.
func (c *Client) Put(ctx context.Context, kind config.Kind, name string, object any) (*config.Head, error) {
	value, err := json.Marshal(object)
	if err != nil {
		return nil, err
	}
	return c.Apply(ctx, Change{Put: []usher.Object{{Key: config.Key(kind, name), Value: value}}})
}

// ActivatePreset replaces the active preset.
func (c *Client) ActivatePreset(ctx context.Context, name usher.PresetName, note string) (*config.Head, error) {
	current, err := c.Current(ctx)
	if err != nil {
		return nil, err
	}
	if _, ok := current.Presets[name]; !ok {
		return nil, &NotDeclaredError{Kind: config.KindPreset, Name: string(name)}
	}
	value, err := json.Marshal(usher.ActivePreset{Preset: name})
	if err != nil {
		return nil, err
	}
	return c.Apply(ctx, Change{
		Note: note, Put: []usher.Object{{Key: config.Key(config.KindActivePreset, config.ActivePresetName), Value: value}},
		BaseVersion: current.Version,
	})
}

// SetLeaving marks endpoints as leaving, or clears the mark. One change
// updates all of them.
func (c *Client) SetLeaving(ctx context.Context, endpoints []usher.EndpointName, leaving bool, note string) (*config.Head, error) {
	return c.updateEndpoints(ctx, endpoints, note, func(endpoint *usher.Endpoint) { endpoint.Leaving = leaving })
}

// MarkLeaving marks endpoints as leaving because the platform's list of instances
// shows them as leaving, and records the address for which it did so.
func (c *Client) MarkLeaving(ctx context.Context, endpoints []usher.EndpointName, note string) (*config.Head, error) {
	return c.updateEndpoints(ctx, endpoints, note, func(endpoint *usher.Endpoint) {
		endpoint.Leaving = true
		endpoint.MarkedForAddress = endpoint.Companion
	})
}

func (c *Client) updateEndpoints(ctx context.Context, endpoints []usher.EndpointName, note string, update func(*usher.Endpoint)) (*config.Head, error) {
	current, err := c.Current(ctx)
	if err != nil {
		return nil, err
	}
	change := Change{Note: note, BaseVersion: current.Version}
	for _, name := range endpoints {
		endpoint, ok := current.Endpoints[name]
		if !ok {
			return nil, &NotDeclaredError{Kind: config.KindEndpoint, Name: string(name)}
		}
		updated := *endpoint
		update(&updated)
		value, err := json.Marshal(updated)
		if err != nil {
			return nil, err
		}
		change.Put = append(change.Put, usher.Object{Key: config.Key(config.KindEndpoint, string(name)), Value: value})
	}
	return c.Apply(ctx, change)
}

// Rollback creates a new version with the objects of an earlier one. Versions
// never decrease, so a rollback is committed like any other change.
func (c *Client) Rollback(ctx context.Context, version usher.Version, note string) (*config.Head, error) {
	current, err := c.Current(ctx)
	if err != nil {
		return nil, err
	}
	earlier, err := c.At(ctx, version)
	if err != nil {
		return nil, err
	}
	changed, deleted := config.Diff(current, earlier)
	if earlier.ActivePreset == nil {
		// The earlier version has no active preset, but there must always be one, so
		// the current one is kept.
		deleted = slices.DeleteFunc(deleted, func(key usher.ObjectKey) bool {
			return key == config.Key(config.KindActivePreset, config.ActivePresetName)
		})
	}
	return c.Apply(ctx, Change{Note: note, Put: changed, Delete: deleted, BaseVersion: current.Version})
}
