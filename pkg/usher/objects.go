package usher

import "time"

// The types of this file are the configuration objects that operators keep in
// version control and apply to the platform's object API. Field names in files
// and objects are camel case.

// ServiceKind is the protocol of a service.
type ServiceKind string

const (
	// ServiceModel is a model engine with the chat completions protocol.
	ServiceModel ServiceKind = "model"
	// ServicePlain is any HTTP service.
	ServicePlain ServiceKind = "plain"
)

// FencingMode tells whether an endpoint rejects requests with stale fencing tokens.
type FencingMode string

// The values of FencingMode.
const (
	FencingChecked FencingMode = "checked"
	FencingIgnored FencingMode = "ignored"
)

// Service declares a service that callers may request.
type Service struct {
	Name ServiceName `json:"name"`
	Kind ServiceKind `json:"kind"`
	// Model is the model name that callers request; only for ServiceModel.
	Model ModelName `json:"model,omitempty"`
	// Idempotent services may run a request again after an attempt with unknown
	// outcome. Other services require an Idempotency-Key.
	Idempotent bool `json:"idempotent"`
	// KeyRetention is how long an idempotency key and its response are kept.
	KeyRetention Duration `json:"keyRetention,omitempty"`
}

// Workspace declares a customer account with its bearer tokens and tiers.
type Workspace struct {
	Name WorkspaceName `json:"name"`
	// Tokens are the bearer tokens of the workspace, stored only as digests.
	Tokens []BearerToken `json:"tokens"`
	// Tiers lists the tiers the workspace may use; the first one is the default.
	Tiers []TierName `json:"tiers"`
	// FairShareWeight is the fair-share weight of the workspace within a tier; 0 means 1.
	FairShareWeight int `json:"share,omitempty"`
}

// BearerToken is one bearer token of a workspace.
type BearerToken struct {
	Name string `json:"name"`
	// SHA256 is the lower-case hexadecimal digest of the token.
	SHA256 string `json:"sha256"`
}

// Tier declares a priority class of requests. Under overload, requests of a tier
// with a lower rank number are shed later. Deadline is the maximum time from the
// arrival of a request to its response.
type Tier struct {
	Name     TierName `json:"name"`
	Rank     Rank     `json:"rank"`
	Deadline Duration `json:"deadline"`
}

// Preset declares a set of limits. Exactly one preset is active at a time.
type Preset struct {
	Name PresetName `json:"name"`
	// Tiers lists the limits of each tier that is served under the preset.
	// Requests of a missing tier are rejected.
	Tiers []TierLimits `json:"tiers"`
	// Preemption lets a more urgent request stop a running one.
	Preemption bool `json:"preemption,omitempty"`
}

// TierLimits are the limits of one tier under one preset. Zero means no limit.
type TierLimits struct {
	Tier TierName `json:"tier"`
	// RequestsPerSecond and TokensPerSecond apply to each workspace separately.
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty"`
	TokensPerSecond   float64 `json:"tokensPerSecond,omitempty"`
	// Concurrency bounds the in-flight requests of one workspace.
	Concurrency int `json:"concurrency,omitempty"`
}

// Endpoint declares one back end and the address of its companion process.
type Endpoint struct {
	Name             EndpointName     `json:"name"`
	Service          ServiceName      `json:"service"`
	AvailabilityZone AvailabilityZone `json:"availabilityZone"`
	// Companion is the IP address and port of the companion's RPC listener.
	Companion string      `json:"companion"`
	Fencing   FencingMode `json:"fencing"`
	// Generation names the hardware; it is informational, for operators.
	Generation string `json:"generation,omitempty"`
	// Leaving endpoints are draining: they get no new requests.
	Leaving bool `json:"leaving,omitempty"`
	// MarkedForAddress is the companion's address at the time the endpoint was marked
	// as leaving because of the platform's list of instances. It is kept when an
	// operator reverts the mark, so that the same item of the list does not set
	// it again.
	MarkedForAddress string `json:"hintedFor,omitempty"`
	// Models, Adapters and Role are the desired state of the engine.
	Models   []ModelName `json:"models,omitempty"`
	Adapters []string    `json:"adapters,omitempty"`
	Role     string      `json:"role,omitempty"`
}

// ActivePreset selects the active preset. There is exactly one such object.
type ActivePreset struct {
	Preset PresetName `json:"preset"`
}

// Duration is a time.Duration that is encoded as text, for example "1.5s", in
// objects and files.
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return &DurationError{Value: string(text)}
	}
	*d = Duration(parsed)
	return nil
}

// DurationError is returned for text that can't be parsed as a duration.
type DurationError struct{ Value string }

// Error implements error.
func (e *DurationError) Error() string {
	return "duration " + e.Value + " is not of the form 1.5s, 300ms or 2h"
}
