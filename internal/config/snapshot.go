// Package config holds the configuration that a process decides by: an
// immutable snapshot, replaced as a whole when a newer one is known.
package config

import (
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
	// Near lists the endpoints of each service that this process works with. It
	// is ByService unless the holder was given a choice.
	Near map[usher.ServiceName][]*usher.Endpoint
	// InForce is the preset in force; nil when none was ever chosen.
	InForce *usher.Preset

	// Head is where the snapshot stands among the accepted changes.
	Head Head

	// identities maps the digest of a bearer token to its owner.
	identities map[usher.Digest]Identity
	// inForce is the stored choice of the preset, which may be absent.
	inForce *usher.InForce
	tree    tree
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
func Empty() *Snapshot {
	return &Snapshot{
		Services:   make(map[usher.ServiceName]*usher.Service),
		Models:     make(map[usher.ModelName]*usher.Service),
		Workspaces: make(map[usher.WorkspaceName]*usher.Workspace),
		Tiers:      make(map[usher.TierName]*usher.Tier),
		Presets:    make(map[usher.PresetName]*usher.Preset),
		Endpoints:  make(map[usher.EndpointName]*usher.Endpoint),
		ByService:  make(map[usher.ServiceName][]*usher.Endpoint),
		Near:       make(map[usher.ServiceName][]*usher.Endpoint),
		identities: make(map[usher.Digest]Identity),
	}
}

// Build returns the snapshot that the objects make at version.
func Build(objects []usher.Object, version usher.Version) (*Snapshot, error) {
	s, err := Empty().With(&Head{Version: version}, objects, nil)
	if err == nil && s.inForce != nil && s.InForce == nil {
		return nil, &MissingPresetError{Preset: s.inForce.Preset}
	}
	return s, err
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
