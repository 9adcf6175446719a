package config

import (
	"encoding/json"
	"maps"
	"sort"

	"filbertusher/pkg/usher"
)

// update builds a snapshot from an older one. Maps that no changed object
// belongs to are shared between the two; the others are copied once. With
// 34,000 workspaces a copy takes about a millisecond, which is less than what
// a persistent map would cost on every lookup of every request.
type update struct {
	next   *Snapshot
	copied map[Kind]bool
	// touched marks the buckets whose digest has to be computed anew.
	touched [bucketCount]bool
}

// With returns the snapshot after a change. It is not checked whether the
// objects fit together; see Check.
func (s *Snapshot) With(head *Head, changed []usher.Object, deleted []usher.ObjectKey) (*Snapshot, error) {
	next := *s
	next.Head = *head
	next.Version = head.Version
	u := &update{next: &next, copied: make(map[Kind]bool)}
	for _, key := range deleted {
		u.remove(key)
	}
	for _, object := range changed {
		if err := u.put(object); err != nil {
			return nil, &ObjectError{Key: object.Key, Cause: err}
		}
	}
	if err := u.finish(); err != nil {
		return nil, err
	}
	return u.next, nil
}

// copyOnce copies the map of a kind before its first change.
func (u *update) copyOnce(kind Kind) {
	if u.copied[kind] {
		return
	}
	u.copied[kind] = true
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

func (u *update) remove(key usher.ObjectKey) {
	kind, name, _ := SplitKey(key)
	u.copyOnce(kind)
	u.touched[bucketOf(kind, name)] = true
	s := u.next
	switch kind {
	case KindService:
		delete(s.Services, usher.ServiceName(name))
	case KindWorkspace:
		u.forgetTokens(usher.WorkspaceName(name))
		delete(s.Workspaces, usher.WorkspaceName(name))
	case KindTier:
		delete(s.Tiers, usher.TierName(name))
	case KindPreset:
		delete(s.Presets, usher.PresetName(name))
	case KindEndpoint:
		delete(s.Endpoints, usher.EndpointName(name))
	case KindInForce:
		s.inForce = nil
	}
}

func (u *update) put(object usher.Object) error {
	kind, name, _ := SplitKey(object.Key)
	u.copyOnce(kind)
	u.touched[bucketOf(kind, name)] = true
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
	case KindInForce:
		return decode(object.Value, func(v *usher.InForce) { s.inForce = v })
	default:
		return &UnknownKindError{Kind: kind}
	}
}

func decode[T any](value []byte, keep func(*T)) error {
	decoded := new(T)
	if err := json.Unmarshal(value, decoded); err != nil {
		return err
	}
	keep(decoded)
	return nil
}

func (u *update) putWorkspace(name usher.WorkspaceName, workspace *usher.Workspace) {
	u.forgetTokens(name)
	workspace.Tiers = internTiers(workspace.Tiers)
	u.next.Workspaces[name] = workspace
	for i := range workspace.Tokens {
		token := &workspace.Tokens[i]
		token.Name = intern(token.Name)
		u.next.identities[usher.Digest(token.SHA256)] = Identity{Workspace: workspace, TokenName: token.Name}
	}
}

// forgetTokens removes the tokens of a workspace, unless another workspace
// has taken the same token over within this change.
func (u *update) forgetTokens(name usher.WorkspaceName) {
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

// finish computes what follows from the objects.
func (u *update) finish() error {
	s := u.next
	if u.copied[KindService] {
		s.indexModels()
	}
	if u.copied[KindEndpoint] {
		s.indexEndpoints()
	}
	s.InForce = nil
	if s.inForce != nil {
		// It is nil while a configuration is loaded page by page; Check refuses a
		// whole one in which the preset is missing.
		s.InForce = s.Presets[s.inForce.Preset]
	}
	return u.digest()
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
	s.ByService = make(map[usher.ServiceName][]*usher.Endpoint)
	for _, endpoint := range s.Endpoints {
		s.ByService[endpoint.Service] = append(s.ByService[endpoint.Service], endpoint)
	}
	s.Near = s.ByService
	for _, endpoints := range s.ByService {
		sort.Slice(endpoints, func(i, j int) bool { return endpoints[i].Name < endpoints[j].Name })
	}
}

// digest brings the tree up to date. Only touched buckets are encoded.
func (u *update) digest() error {
	members := u.next.members(func(index bucketIndex) bool { return u.touched[index] })
	var pages [pageCount]bool
	for index := range u.touched {
		if !u.touched[index] {
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
