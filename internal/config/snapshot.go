// Package config holds the configuration of entries and companions as an immutable
// snapshot, and stores it as a tree of content-addressed parts. A newer version
// replaces the whole snapshot. Gateway instances have a configuration of their own
// (see package routing).
package config

import (
	"strings"

	"filbertusher/pkg/usher"
)

// Prefix is the common key prefix of all configuration objects in the store.
const Prefix usher.ObjectKey = "config/"

// Kind is the kind of a declared object. It is the second segment of its key.
type Kind string

// The kinds of configuration objects.
const (
	KindService      Kind = "service"
	KindWorkspace    Kind = "workspace"
	KindTier         Kind = "tier"
	KindPreset       Kind = "preset"
	KindEndpoint     Kind = "endpoint"
	KindActivePreset Kind = "inForce"
)

// ActivePresetName is the name of the only object of KindActivePreset, which selects the
// active preset.
const ActivePresetName = "inForce"

// Key returns the store key of a declared object.
func Key(kind Kind, name string) usher.ObjectKey {
	return Prefix + usher.ObjectKey(string(kind)+"/"+name)
}

// SplitKey splits a key into kind and name. It returns false for a key without
// Prefix or name.
func SplitKey(key usher.ObjectKey) (Kind, string, bool) {
	rest, ok := strings.CutPrefix(string(key), string(Prefix))
	if !ok {
		return "", "", false
	}
	kind, name, ok := strings.Cut(rest, "/")
	return Kind(kind), name, ok
}

// Identity is the owner of a bearer token.
type Identity struct {
	Workspace *usher.Workspace
	TokenName string
}

// Snapshot is one version of the configuration. It is immutable once built, so
// readers need no lock.
type Snapshot struct {
	Version    usher.Version
	Services   map[usher.ServiceName]*usher.Service
	Models     map[usher.ModelName]*usher.Service
	Workspaces map[usher.WorkspaceName]*usher.Workspace
	Tiers      map[usher.TierName]*usher.Tier
	Presets    map[usher.PresetName]*usher.Preset
	Endpoints  map[usher.EndpointName]*usher.Endpoint
	// EndpointsByService lists the endpoints of each service, sorted by name.
	EndpointsByService map[usher.ServiceName][]*usher.Endpoint
	// SelectedByService lists the endpoints of each service that this process may use. It
	// equals EndpointsByService unless an endpoint selector was set on the holder.
	SelectedByService map[usher.ServiceName][]*usher.Endpoint
	// ActivePreset is the active preset, or nil if none was ever activated.
	ActivePreset *usher.Preset

	// Head identifies this version and the change that made it.
	Head Head

	// identities maps the digest of a bearer token to its owner.
	identities map[usher.Digest]Identity
	// activePresetRef is the stored reference to the active preset, or nil.
	activePresetRef *usher.ActivePreset
	tree            tree
}

// ObjectError is returned for a stored object that cannot be decoded.
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

// UnknownKindError is returned for an object of an undefined kind.
type UnknownKindError struct{ Kind Kind }

// Error implements error.
func (e *UnknownKindError) Error() string { return "kind " + string(e.Kind) + " is unknown" }

// MissingPresetError is returned when the active preset does not exist.
type MissingPresetError struct{ Preset usher.PresetName }

// Error implements error.
func (e *MissingPresetError) Error() string {
	return "preset " + string(e.Preset) + " is active but not declared"
}

// Empty returns a snapshot without objects at version 0, with which a process
// starts.
func Empty() *Snapshot {
	return &Snapshot{
		Services:           make(map[usher.ServiceName]*usher.Service),
		Models:             make(map[usher.ModelName]*usher.Service),
		Workspaces:         make(map[usher.WorkspaceName]*usher.Workspace),
		Tiers:              make(map[usher.TierName]*usher.Tier),
		Presets:            make(map[usher.PresetName]*usher.Preset),
		Endpoints:          make(map[usher.EndpointName]*usher.Endpoint),
		EndpointsByService: make(map[usher.ServiceName][]*usher.Endpoint),
		SelectedByService:  make(map[usher.ServiceName][]*usher.Endpoint),
		identities:         make(map[usher.Digest]Identity),
	}
}

// Build returns a snapshot of the given objects at version.
func Build(objects []usher.Object, version usher.Version) (*Snapshot, error) {
	s, err := Empty().With(&Head{Version: version}, objects, nil)
	if err == nil && s.activePresetRef != nil && s.ActivePreset == nil {
		return nil, &MissingPresetError{Preset: s.activePresetRef.Preset}
	}
	return s, err
}

// Identify returns the owner of the bearer token with the given digest.
func (s *Snapshot) Identify(digest usher.Digest) (Identity, bool) {
	identity, ok := s.identities[digest]
	return identity, ok
}

// Limits returns the limits of a tier in the active preset, or false if the
// preset does not list the tier.
func (s *Snapshot) Limits(tier usher.TierName) (usher.TierLimits, bool) {
	if s.ActivePreset == nil {
		return usher.TierLimits{}, false
	}
	for _, limits := range s.ActivePreset.Tiers {
		if limits.Tier == tier {
			return limits, true
		}
	}
	return usher.TierLimits{}, false
}
