package config

import (
	"encoding/json"
	"sync"
	"unique"

	"filbertusher/pkg/usher"
)

// The encoded objects are not kept beside the decoded ones, because that would
// double the memory of a process. Encoding is canonical, so they can be made
// again whenever a peer asks or a digest is computed.

// each calls visit with every object and its decoded value. The parts of the
// key come apart, because most visitors need only the bucket, and joining tens
// of thousands of keys would cost more than all else in a change.
func (s *Snapshot) each(visit func(kind Kind, name string, value any)) {
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
	if s.inForce != nil {
		visit(KindInForce, InForceName, s.inForce)
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
	case KindInForce:
		return orNil(s.inForce)
	default:
		return nil
	}
}

// orNil turns a nil pointer into a nil interface.
func orNil[T any](value *T) any {
	if value == nil {
		return nil
	}
	return value
}

// Object returns the canonical encoding of one object and whether it exists.
func (s *Snapshot) Object(key usher.ObjectKey) (usher.Object, bool) {
	value := s.lookup(key)
	if value == nil {
		return usher.Object{}, false
	}
	return encodeObject(key, value), true
}

// Objects returns the canonical encoding of every object, in no order.
func (s *Snapshot) Objects() []usher.Object {
	var objects []usher.Object
	s.each(func(kind Kind, name string, value any) {
		objects = append(objects, encodeObject(Key(kind, name), value))
	})
	return objects
}

// members returns the encoded objects of the wanted buckets.
func (s *Snapshot) members(wanted func(bucketIndex) bool) map[bucketIndex][]usher.Object {
	found := make(map[bucketIndex][]usher.Object)
	s.each(func(kind Kind, name string, value any) {
		if index := bucketOf(kind, name); wanted(index) {
			found[index] = append(found[index], encodeObject(Key(kind, name), value))
		}
	})
	return found
}

// encodeObject can't fail, because the kinds hold nothing that JSON can't.
func encodeObject(key usher.ObjectKey, value any) usher.Object {
	encoded, _ := json.Marshal(value)
	return usher.Object{Key: key, Value: encoded}
}

// maxInterned bounds the length of texts that are worth sharing.
const maxInterned = 16

// intern returns the shared copy of a short text that many workspaces repeat.
func intern(text string) string {
	if len(text) > maxInterned {
		return text
	}
	return unique.Make(text).Value()
}

// tierLists holds one copy of each list of tiers. Workspaces are many and
// their lists few; a shared list is never changed.
var tierLists sync.Map

func internTiers(tiers []usher.TierName) []usher.TierName {
	var key string
	for _, tier := range tiers {
		key += string(tier) + "\x00"
	}
	shared, _ := tierLists.LoadOrStore(key, tiers)
	return shared.([]usher.TierName)
}
