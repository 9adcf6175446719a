// Package config holds the configuration that a process decides by: an
// immutable snapshot, replaced as a whole when a newer one is known.
package config

import (
	"encoding/json"
	"sort"
	"strings"

	"filbertusher/pkg/usher"
)

// Prefix begins the keys of all objects that make up the configuration.
const Prefix usher.ObjectKey = "config/"

// Kind names a kind of declared object; it is the second part of its key.
type Kind string

// The declared kinds.
const (
	KindService   Kind = "service"
	KindWorkspace Kind = "workspace"
	KindTier      Kind = "tier"
	KindPreset    Kind = "preset"
	KindEndpoint  Kind = "endpoint"
	KindInForce   Kind = "inForce"
)

// InForceName is the name of the only object of KindInForce.
const InForceName = "inForce"

// Key returns the key of a declared object.
func Key(kind Kind, name string) usher.ObjectKey {
	return Prefix + usher.ObjectKey(string(kind)+"/"+name)
}

// SplitKey returns the kind and name in a key, and false for other keys.
func SplitKey(key usher.ObjectKey) (Kind, string, bool) {
	rest, ok := strings.CutPrefix(string(key), string(Prefix))
	if !ok {
		return "", "", false
	}
	kind, name, ok := strings.Cut(rest, "/")
	return Kind(kind), name, ok
}

// Identity is who a bearer token belongs to.
type Identity struct {
	Workspace *usher.Workspace
	TokenName string
}

// Snapshot is one version of the configuration. It is never changed after it
// was built, so readers need no lock.
type Snapshot struct {
	Version    usher.Version
	Services   map[usher.ServiceName]*usher.Service
	Models     map[usher.ModelName]*usher.Service
	Workspaces map[usher.WorkspaceName]*usher.Workspace
	Tiers      map[usher.TierName]*usher.Tier
	Presets    map[usher.PresetName]*usher.Preset
	Endpoints  map[usher.EndpointName]*usher.Endpoint
	// ByService lists the endpoints of each service, ordered by name.
	ByService map[usher.ServiceName][]*usher.Endpoint
	// InForce is the preset in force; nil when none was ever chosen.
	InForce *usher.Preset

	// identities maps the digest of a bearer token to its owner.
	identities map[usher.Digest]Identity
	objects    []usher.Object
}

// ObjectError is returned for a stored object that can't be read.
type ObjectError struct {
	Key   usher.ObjectKey
	Cause error
}

// Error implements error.
func (e *ObjectError) Error() string {
	return "object " + string(e.Key) + " is malformed: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ObjectError) Unwrap() error { return e.Cause }

// UnknownKindError is returned for an object of a kind that is not declared.
type UnknownKindError struct{ Kind Kind }

// Error implements error.
func (e *UnknownKindError) Error() string { return "kind " + string(e.Kind) + " is unknown" }

// MissingPresetError is returned when the preset in force does not exist.
type MissingPresetError struct{ Preset usher.PresetName }

// Error implements error.
func (e *MissingPresetError) Error() string {
	return "preset " + string(e.Preset) + " is in force but not declared"
}

// Empty returns the snapshot of a process that knows no configuration yet.
func Empty() *Snapshot { return newSnapshot(0) }

func newSnapshot(version usher.Version) *Snapshot {
	return &Snapshot{
		Version:    version,
		Services:   make(map[usher.ServiceName]*usher.Service),
		Models:     make(map[usher.ModelName]*usher.Service),
		Workspaces: make(map[usher.WorkspaceName]*usher.Workspace),
		Tiers:      make(map[usher.TierName]*usher.Tier),
		Presets:    make(map[usher.PresetName]*usher.Preset),
		Endpoints:  make(map[usher.EndpointName]*usher.Endpoint),
		ByService:  make(map[usher.ServiceName][]*usher.Endpoint),
		identities: make(map[usher.Digest]Identity),
	}
}

// Build returns the snapshot that the objects make at version.
func Build(objects []usher.Object, version usher.Version) (*Snapshot, error) {
	s := newSnapshot(version)
	s.objects = objects
	var inForce usher.InForce
	for _, object := range objects {
		if err := s.add(object, &inForce); err != nil {
			return nil, &ObjectError{Key: object.Key, Cause: err}
		}
	}
	s.index()
	if inForce.Preset != "" {
		preset, ok := s.Presets[inForce.Preset]
		if !ok {
			return nil, &MissingPresetError{Preset: inForce.Preset}
		}
		s.InForce = preset
	}
	return s, nil
}

func (s *Snapshot) add(object usher.Object, inForce *usher.InForce) error {
	kind, _, _ := SplitKey(object.Key)
	switch kind {
	case KindService:
		return decode(object.Value, func(v *usher.Service) { s.Services[v.Name] = v })
	case KindWorkspace:
		return decode(object.Value, func(v *usher.Workspace) { s.Workspaces[v.Name] = v })
	case KindTier:
		return decode(object.Value, func(v *usher.Tier) { s.Tiers[v.Name] = v })
	case KindPreset:
		return decode(object.Value, func(v *usher.Preset) { s.Presets[v.Name] = v })
	case KindEndpoint:
		return decode(object.Value, func(v *usher.Endpoint) { s.Endpoints[v.Name] = v })
	case KindInForce:
		return decode(object.Value, func(v *usher.InForce) { *inForce = *v })
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

func (s *Snapshot) index() {
	for _, service := range s.Services {
		if service.Kind == usher.ServiceModel {
			s.Models[service.Model] = service
		}
	}
	for _, endpoint := range s.Endpoints {
		s.ByService[endpoint.Service] = append(s.ByService[endpoint.Service], endpoint)
	}
	for _, endpoints := range s.ByService {
		sort.Slice(endpoints, func(i, j int) bool { return endpoints[i].Name < endpoints[j].Name })
	}
	for _, workspace := range s.Workspaces {
		for _, token := range workspace.Tokens {
			s.identities[usher.Digest(token.SHA256)] = Identity{Workspace: workspace, TokenName: token.Name}
		}
	}
}

// Identify returns whose bearer token has the digest.
func (s *Snapshot) Identify(digest usher.Digest) (Identity, bool) {
	identity, ok := s.identities[digest]
	return identity, ok
}

// Limits returns the limits of a tier under the preset in force, and false
// when the preset does not serve the tier.
func (s *Snapshot) Limits(tier usher.TierName) (usher.TierLimits, bool) {
	if s.InForce == nil {
		return usher.TierLimits{}, false
	}
	for _, limits := range s.InForce.Tiers {
		if limits.Tier == tier {
			return limits, true
		}
	}
	return usher.TierLimits{}, false
}

// Objects returns the stored objects that the snapshot was built from, for
// peers that are behind. They must not be changed.
func (s *Snapshot) Objects() []usher.Object { return s.objects }
