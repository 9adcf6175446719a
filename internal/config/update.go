package config

import (
	"encoding/json"
	"maps"
	"sort"

	"filbertusher/pkg/usher"
)

// updater builds a snapshot from an older one. Maps of unchanged kinds are
// shared between the two; the others are cloned once. Cloning a map of 34,000
// workspaces takes about a millisecond, which is less than what a persistent
// map would cost in lookups on the request path.
type updater struct {
	next   *Snapshot
	cloned map[Kind]bool
	// dirty marks the buckets whose digest must be recomputed.
	dirty [bucketCount]bool
}

// With returns a copy of s with head as its head and the given objects changed
// and deleted. It does not validate the references between objects; see Validate.
func (s *Snapshot) With(head *Head, changed []usher.Object, deleted []usher.ObjectKey) (*Snapshot, error) {
	next := *s
	next.Head = *head
	next.Version = head.Version
	u := &updater{next: &next, cloned: make(map[Kind]bool)}
	for _, key := range deleted {
		u.remove(key)
	}
	for _, object := range changed {
		if err := u.put(object); err != nil {
			return nil, &ObjectError{Key: object.Key, Cause: err}
		}
	}
	if err := u.updateDerived(); err != nil {
		return nil, err
	}
	return u.next, nil
}

// cloneOnce clones the map of a kind before its first change.
func (u *updater) cloneOnce(kind Kind) {
	if u.cloned[kind] {
		return
	}
	u.cloned[kind] = true
	s := u.next
	switch kind {
	case KindService:
		s.Services = maps.Clone(s.Services)
	case KindWorkspace:
		s.Workspaces = maps.Clone(s.Workspaces)
		s.identities = maps.Clone(s.identities)
	case KindTier:
		s.Tiers = maps.Clone(s.Tiers)
	case KindPreset:
		s.Presets = maps.Clone(s.Presets)
	case KindEndpoint:
		s.Endpoints = maps.Clone(s.Endpoints)
	}
}

func (u *updater) remove(key usher.ObjectKey) {
	kind, name, _ := SplitKey(key)
	u.cloneOnce(kind)
	u.dirty[bucketOf(kind, name)] = true
	s := u.next
	switch kind {
	case KindService:
		delete(s.Services, usher.ServiceName(name))
	case KindWorkspace:
		u.removeTokens(usher.WorkspaceName(name))
		delete(s.Workspaces, usher.WorkspaceName(name))
	case KindTier:
		delete(s.Tiers, usher.TierName(name))
	case KindPreset:
		delete(s.Presets, usher.PresetName(name))
	case KindEndpoint:
		delete(s.Endpoints, usher.EndpointName(name))
	case KindActivePreset:
		s.activePresetRef = nil
	}
}

func (u *updater) put(object usher.Object) error {
	kind, name, _ := SplitKey(object.Key)
	u.cloneOnce(kind)
	u.dirty[bucketOf(kind, name)] = true
	s := u.next
	switch kind {
	case KindService:
		return decode(object.Value, func(v *usher.Service) { s.Services[usher.ServiceName(name)] = v })
	case KindWorkspace:
		return decode(object.Value, func(v *usher.Workspace) { u.putWorkspace(usher.WorkspaceName(name), v) })
	case KindTier:
		return decode(object.Value, func(v *usher.Tier) { s.Tiers[usher.TierName(name)] = v })
	case KindPreset:
		return decode(object.Value, func(v *usher.Preset) { s.Presets[usher.PresetName(name)] = v })
	case KindEndpoint:
		return decode(object.Value, func(v *usher.Endpoint) { s.Endpoints[usher.EndpointName(name)] = v })
	case KindActivePreset:
		return decode(object.Value, func(v *usher.ActivePreset) { s.activePresetRef = v })
	default:
		return &UnknownKindError{Kind: kind}
	}
}

func decode[T any](value []byte, store func(*T)) error {
	decoded := new(T)
	if err := json.Unmarshal(value, decoded); err != nil {
		return err
	}
	store(decoded)
	return nil
}

func (u *updater) putWorkspace(name usher.WorkspaceName, workspace *usher.Workspace) {
	u.removeTokens(name)
	workspace.Tiers = internTiers(workspace.Tiers)
	u.next.Workspaces[name] = workspace
	for i := range workspace.Tokens {
		token := &workspace.Tokens[i]
		token.Name = intern(token.Name)
		u.next.identities[usher.Digest(token.SHA256)] = Identity{Workspace: workspace, TokenName: token.Name}
	}
}

// removeTokens removes the tokens of a workspace, except those that the same
// change has reassigned to another workspace.
func (u *updater) removeTokens(name usher.WorkspaceName) {
	old, ok := u.next.Workspaces[name]
	if !ok {
		return
	}
	for _, token := range old.Tokens {
		digest := usher.Digest(token.SHA256)
		if u.next.identities[digest].Workspace == old {
			delete(u.next.identities, digest)
		}
	}
}

// updateDerived recomputes the indexes and digests derived from the objects.
func (u *updater) updateDerived() error {
	s := u.next
	if u.cloned[KindService] {
		s.indexModels()
	}
	if u.cloned[KindEndpoint] {
		s.indexEndpoints()
	}
	s.ActivePreset = nil
	if s.activePresetRef != nil {
		// The result is nil while a configuration is loaded page by page.
		// Validate rejects a complete one whose active preset is missing.
		s.ActivePreset = s.Presets[s.activePresetRef.Preset]
	}
	return u.updateDigests()
}

func (s *Snapshot) indexModels() {
	s.Models = make(map[usher.ModelName]*usher.Service, len(s.Services))
	for _, service := range s.Services {
		if service.Kind == usher.ServiceModel {
			s.Models[service.Model] = service
		}
	}
}

func (s *Snapshot) indexEndpoints() {
	s.EndpointsByService = make(map[usher.ServiceName][]*usher.Endpoint)
	for _, endpoint := range s.Endpoints {
		s.EndpointsByService[endpoint.Service] = append(s.EndpointsByService[endpoint.Service], endpoint)
	}
	s.SelectedByService = s.EndpointsByService
	for _, endpoints := range s.EndpointsByService {
		sort.Slice(endpoints, func(i, j int) bool { return endpoints[i].Name < endpoints[j].Name })
	}
}

// updateDigests recomputes the digests of the dirty buckets and their pages.
func (u *updater) updateDigests() error {
	members := u.next.objectsByBucket(func(index bucketIndex) bool { return u.dirty[index] })
	var pages [pageCount]bool
	for index := range u.dirty {
		if !u.dirty[index] {
			continue
		}
		_, digest, err := encodeBucket(members[bucketIndex(index)])
		if err != nil {
			return err
		}
		u.next.tree.buckets[index] = digest
		pages[pageOf(bucketIndex(index))] = true
	}
	for number, changed := range pages {
		if !changed {
			continue
		}
		_, digest, err := u.next.tree.encodePage(number)
		if err != nil {
			return err
		}
		u.next.tree.pages[number] = digest
	}
	return nil
}
