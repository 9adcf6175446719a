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
	// maxAttempts bounds how often a change is tried anew after others were
	// accepted first.
	maxAttempts = 100
	// attemptDelay is the longest pause before such a try.
	attemptDelay = 20 * time.Millisecond
	// maxRefused bounds how often a change is tried anew after the store refused a
	// call, for example because others had used up its budget.
	maxRefused = 5
	// settleAttempts bounds the tries to find out what became of a write.
	settleAttempts = 10
	// settleDelay is the pause between two of them.
	settleDelay = 200 * time.Millisecond
)

// Apply has a change accepted as a whole or returns why not. Errors are
// *ConflictError, *config.CheckError, *UnknownOutcomeError and those of the
// store, with which nothing was accepted.
//
// Changes of different objects do not conflict: the later one is built anew on
// the earlier one and checked again.
func (o *Operator) Apply(ctx context.Context, change Change) (*config.Head, error) {
	if change.ID == "" {
		change.ID = config.NewChangeID()
	}
	base, err := o.base(ctx, change.Expect)
	if err != nil {
		return nil, err
	}
	current := base
	refused := 0
	for attempt := 0; ; attempt++ {
		next, again, err := o.attempt(ctx, &change, base, &current)
		if isUnavailable(err) && refused < maxRefused {
			// The store refused a call, of which it promises that it had no effect.
			refused++
			pause.For(ctx, settleDelay)
			continue
		}
		if err != nil || !again {
			return next, err
		}
		if attempt == maxAttempts {
			return nil, &usher.ConflictError{Key: config.HeadKey, Expected: base.Version, Current: current.Version}
		}
		pause.For(ctx, time.Duration(rand.Int64N(int64(attemptDelay))))
	}
}

// base returns the snapshot that the operator has looked at.
func (o *Operator) base(ctx context.Context, expect usher.Version) (*config.Snapshot, error) {
	if expect == 0 {
		return o.Current(ctx)
	}
	return o.At(ctx, expect)
}

// attempt tries the change on top of what is in force now. again is true when
// another change was accepted in between.
func (o *Operator) attempt(ctx context.Context, change *Change, base *config.Snapshot, current **config.Snapshot) (accepted *config.Head, again bool, err error) {
	inForce, version, err := config.LoadInForce(ctx, o.store, *current)
	if err != nil {
		return nil, false, err
	}
	*current = inForce
	if err := o.conflict(ctx, change, base, *current); err != nil {
		return nil, false, err
	}
	next, err := o.draft(change, *current)
	if err != nil {
		return nil, false, err
	}
	if err := next.SaveParts(ctx, o.store, *current); err != nil {
		return nil, false, err
	}
	if err := (*current).SavePast(ctx, o.store); err != nil {
		return nil, false, err
	}
	again, err = o.accept(ctx, next, version)
	return &next.Head, again, err
}

// draft builds and checks the version that the change would make.
func (o *Operator) draft(change *Change, current *config.Snapshot) (*config.Snapshot, error) {
	draft := config.Head{ID: change.ID, Author: o.author, Time: time.Now().UTC(), Note: change.Note}
	next, err := current.Successor(draft, change.Put, change.Delete)
	if err != nil {
		return nil, err
	}
	if current.InForce != nil && next.InForce == nil {
		return nil, &config.CheckError{Errors: []*config.FieldError{{
			Key: config.Key(config.KindInForce, config.InForceName), Field: "preset", Problem: "one preset has to stay in force",
		}}}
	}
	return next, next.Check()
}

// accept writes the head. An answer that was lost is settled by reading the
// head back: the id in it, or in its lineage, shows whether the write took
// effect. The same write may be sent again, because it is conditional on a
// version that it can replace only once.
func (o *Operator) accept(ctx context.Context, next *config.Snapshot, version usher.Version) (again bool, err error) {
	err = next.SaveHead(ctx, o.store, version)
	var ambiguous *usher.AmbiguousError
	sentBefore := false
	for attempt := 0; errors.As(err, &ambiguous) || (sentBefore && isUnavailable(err)); attempt++ {
		sentBefore = true
		if attempt == settleAttempts || ctx.Err() != nil {
			return false, &UnknownOutcomeError{ID: next.Head.ID, Cause: err}
		}
		pause.For(ctx, settleDelay)
		head, now, readErr := config.LoadHead(ctx, o.store)
		switch {
		case readErr != nil:
			continue
		case wasAccepted(head, next.Head.ID):
			return false, nil
		case now != version:
			return true, nil
		}
		err = next.SaveHead(ctx, o.store, version)
	}
	var conflict *usher.ConflictError
	if !errors.As(err, &conflict) {
		return false, err
	}
	if !sentBefore {
		return true, nil
	}
	// The conflict may be with the first sending of this very change.
	head, _, readErr := config.LoadHead(ctx, o.store)
	if readErr != nil {
		return false, &UnknownOutcomeError{ID: next.Head.ID, Cause: readErr}
	}
	return !wasAccepted(head, next.Head.ID), nil
}

func isUnavailable(err error) bool {
	var unavailable *usher.UnavailableError
	return errors.As(err, &unavailable)
}

func wasAccepted(head *config.Head, id config.ChangeID) bool {
	if head.ID == id {
		return true
	}
	for _, earlier := range head.Lineage {
		if earlier == id {
			return true
		}
	}
	return false
}

// conflict says whether somebody else has changed an object of the change
// since base.
func (o *Operator) conflict(ctx context.Context, change *Change, base, current *config.Snapshot) error {
	if base.Head.ID == current.Head.ID {
		return nil
	}
	wanted := make(map[usher.ObjectKey]string)
	for _, object := range change.Put {
		wanted[object.Key] = string(object.Value)
	}
	conflict := &ConflictError{Theirs: current.Head, Ours: *change, Author: o.author}
	for _, key := range change.keys() {
		before, _ := base.Object(key)
		now, _ := current.Object(key)
		if bytes.Equal(before.Value, now.Value) {
			continue
		}
		conflict.Values = append(conflict.Values, ConflictValue{
			Key: key, Base: string(before.Value), Theirs: string(now.Value), Ours: wanted[key],
		})
	}
	if len(conflict.Values) == 0 {
		return nil
	}
	conflict.Theirs = o.lastChange(ctx, base, current, conflict.Values[0].Key)
	return conflict
}

// lastChange finds the newest change of an object after base. When the history
// can't be read, the newest change of all is what can be shown.
func (o *Operator) lastChange(ctx context.Context, base, current *config.Snapshot, key usher.ObjectKey) config.Head {
	head := &current.Head
	for head.Version > base.Version {
		if head.Truncated || slices.Contains(head.Changed, key) {
			return *head
		}
		past, err := config.LoadPast(ctx, o.store, head.Version-1)
		if err != nil {
			break
		}
		head = past
	}
	return current.Head
}

// Put declares one object, for tools that make declarations by program.
func (o *Operator) Put(ctx context.Context, kind config.Kind, name string, object any) (*config.Head, error) {
	value, err := json.Marshal(object)
	if err != nil {
		return nil, err
	}
	return o.Apply(ctx, Change{Put: []usher.Object{{Key: config.Key(kind, name), Value: value}}})
}

// UsePreset puts a preset in force in place of the one that is.
func (o *Operator) UsePreset(ctx context.Context, name usher.PresetName, note string) (*config.Head, error) {
	current, err := o.Current(ctx)
	if err != nil {
		return nil, err
	}
	if _, ok := current.Presets[name]; !ok {
		return nil, &NotDeclaredError{Kind: config.KindPreset, Name: string(name)}
	}
	value, err := json.Marshal(usher.InForce{Preset: name})
	if err != nil {
		return nil, err
	}
	return o.Apply(ctx, Change{
		Note: note, Put: []usher.Object{{Key: config.Key(config.KindInForce, config.InForceName), Value: value}},
		Expect: current.Version,
	})
}

// AnnounceLeaving marks endpoints as leaving, or as staying again. All of them
// are marked by one change.
func (o *Operator) AnnounceLeaving(ctx context.Context, endpoints []usher.EndpointName, leaving bool, note string) (*config.Head, error) {
	return o.markEndpoints(ctx, endpoints, note, func(endpoint *usher.Endpoint) { endpoint.Leaving = leaving })
}

// FollowHint marks endpoints as leaving because the platform's list shows them
// so, and notes for which address.
func (o *Operator) FollowHint(ctx context.Context, endpoints []usher.EndpointName, note string) (*config.Head, error) {
	return o.markEndpoints(ctx, endpoints, note, func(endpoint *usher.Endpoint) {
		endpoint.Leaving = true
		endpoint.HintedFor = endpoint.Companion
	})
}

func (o *Operator) markEndpoints(ctx context.Context, endpoints []usher.EndpointName, note string, mark func(*usher.Endpoint)) (*config.Head, error) {
	current, err := o.Current(ctx)
	if err != nil {
		return nil, err
	}
	change := Change{Note: note, Expect: current.Version}
	for _, name := range endpoints {
		endpoint, ok := current.Endpoints[name]
		if !ok {
			return nil, &NotDeclaredError{Kind: config.KindEndpoint, Name: string(name)}
		}
		marked := *endpoint
		mark(&marked)
		value, err := json.Marshal(marked)
		if err != nil {
			return nil, err
		}
		change.Put = append(change.Put, usher.Object{Key: config.Key(config.KindEndpoint, string(name)), Value: value})
	}
	return o.Apply(ctx, change)
}

// Rollback makes a new version with the objects of an earlier one. Versions
// never go down, so a rollback is a change like any other.
func (o *Operator) Rollback(ctx context.Context, version usher.Version, note string) (*config.Head, error) {
	current, err := o.Current(ctx)
	if err != nil {
		return nil, err
	}
	earlier, err := o.At(ctx, version)
	if err != nil {
		return nil, err
	}
	changed, deleted := config.Difference(current, earlier)
	if earlier.InForce == nil {
		// Some preset has to be in force, so the one of now stays.
		deleted = slices.DeleteFunc(deleted, func(key usher.ObjectKey) bool {
			return key == config.Key(config.KindInForce, config.InForceName)
		})
	}
	return o.Apply(ctx, Change{Note: note, Put: changed, Delete: deleted, Expect: current.Version})
}
