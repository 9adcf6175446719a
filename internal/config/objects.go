package config

import (
	"encoding/json"
	"sync"
	"unique"

	"filbertusher/pkg/usher"
)

// Only the decoded objects are kept, because keeping the encoded ones as well
// would double the memory use. The encoding is canonical, so objects are
// encoded again when a peer requests them or a digest is computed.

// forEach calls visit with the kind, name and decoded value of every object. It
// does not build the key, because most visitors need only the bucket, and
// concatenating tens of thousands of keys would dominate the cost of a change.
func (s *Snapshot) forEach(visit func(kind Kind, name string, value any)) {
	for name, value := range s.Services {
		visit(KindService, string(name), value)
	}
	for name, value := range s.Workspaces {
		visit(KindWorkspace, string(name), value)
	}
	for name, value := range s.Tiers {
		visit(KindTier, string(name), value)
	}
	for name, value := range s.Presets {
		visit(KindPreset, string(name), value)
	}
	for name, value := range s.Endpoints {
		visit(KindEndpoint, string(name), value)
	}
	if s.activePresetRef != nil {
		visit(KindActivePreset, ActivePresetName, s.activePresetRef)
	}
}

// lookup returns the decoded value of an object, or nil.
func (s *Snapshot) lookup(key usher.ObjectKey) any {
	kind, name, _ := SplitKey(key)
	switch kind {
	case KindService:
		return orNil(s.Services[usher.ServiceName(name)])
	case KindWorkspace:
		return orNil(s.Workspaces[usher.WorkspaceName(name)])
	case KindTier:
		return orNil(s.Tiers[usher.TierName(name)])
	case KindPreset:
		return orNil(s.Presets[usher.PresetName(name)])
	case KindEndpoint:
		return orNil(s.Endpoints[usher.EndpointName(name)])
	case KindActivePreset:
		return orNil(s.activePresetRef)
	default:
		return nil
	}
}

// orNil converts a nil pointer to a nil interface.
func orNil[T any](value *T) any {
	if value == nil {
		return nil
	}
	return value
}

// Object returns the canonical encoding of an object and whether it exists.
func (s *Snapshot) Object(key usher.ObjectKey) (usher.Object, bool) {
	value := s.lookup(key)
	if value == nil {
		return usher.Object{}, false
	}
	return encodeObject(key, value), true
}

// Objects returns the canonical encoding of every object, in unspecified order.
func (s *Snapshot) Objects() []usher.Object {
	var objects []usher.Object
	s.forEach(func(kind Kind, name string, value any) {
		objects = append(objects, encodeObject(Key(kind, name), value))
	})
	return objects
}

// objectsByBucket returns the encoded objects of the buckets that include
// selects.
func (s *Snapshot) objectsByBucket(include func(bucketIndex) bool) map[bucketIndex][]usher.Object {
	found := make(map[bucketIndex][]usher.Object)
	s.forEach(func(kind Kind, name string, value any) {
		if index := bucketOf(kind, name); include(index) {
			found[index] = append(found[index], encodeObject(Key(kind, name), value))
		}
	})
	return found
}

// encodeObject ignores the error, because every kind consists only of types
// that JSON can encode.
func encodeObject(key usher.ObjectKey, value any) usher.Object {
	encoded, _ := json.Marshal(value)
	return usher.Object{Key: key, Value: encoded}
}

// maxInternedBytes is the length of the longest string that is interned.
const maxInternedBytes = 16

// intern returns the shared copy of a short string that many workspaces repeat.
func intern(text string) string {
	if len(text) > maxInternedBytes {
		return text
	}
	return unique.Make(text).Value()
}

// tierLists holds one copy of each distinct list of tiers, because many
// workspaces have the same few lists. A shared list must not be modified.
var tierLists sync.Map

func internTiers(tiers []usher.TierName) []usher.TierName {
	var key string
	for _, tier := range tiers {
		key += string(tier) + "\x00"
	}
	shared, _ := tierLists.LoadOrStore(key, tiers)
	return shared.([]usher.TierName)
}
