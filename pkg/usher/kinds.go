package usher

import "time"

// The declared kinds are what operators keep in version control and apply to
// the platform's object API. Field names in files and objects are camel case.

// ServiceKind tells how a service is spoken to.
type ServiceKind string

const (
	// ServiceModel is a model engine behind the chat completions protocol.
	ServiceModel ServiceKind = "model"
	// ServicePlain is any HTTP service.
	ServicePlain ServiceKind = "plain"
)

// Fencing tells whether an endpoint refuses orders with old fencing numbers.
type Fencing string

// The values of Fencing.
const (
	FencingChecked Fencing = "checked"
	FencingIgnored Fencing = "ignored"
)

// Service declares what callers may ask for.
type Service struct {
	Name ServiceName `json:"name"`
	Kind ServiceKind `json:"kind"`
	// Model is the model that callers name; only for ServiceModel.
	Model ModelName `json:"model,omitempty"`
	// Idempotent services may run a request again after an unsure attempt. A
	// service that is not demands an Idempotency-Key.
	Idempotent bool `json:"idempotent"`
	// KeyRetention is how long a key and its answer are remembered.
	KeyRetention Duration `json:"keyRetention,omitempty"`
}

// Workspace declares a customer and what it may use.
type Workspace struct {
	Name WorkspaceName `json:"name"`
	// Tokens are the bearer tokens of the workspace, as digests only.
	Tokens []Token `json:"tokens"`
	// Tiers lists the tiers the workspace may ask for; the first one is used
	// when a request names none.
	Tiers []TierName `json:"tiers"`
	// Share weighs the workspace against others inside a tier; 0 means 1.
	Share int `json:"share,omitempty"`
}

// Token is one bearer token of a workspace.
type Token struct {
	Name string `json:"name"`
	// SHA256 is the lower-case hexadecimal digest of the token.
	SHA256 string `json:"sha256"`
}

// Tier declares a class of requests. A lower rank is shed later.
type Tier struct {
	Name     TierName `json:"name"`
	Rank     Rank     `json:"rank"`
	Deadline Duration `json:"deadline"`
}

// Preset declares the limits that hold while it is in force.
type Preset struct {
	Name PresetName `json:"name"`
	// Tiers lists the limits of each tier that is served under the preset. A
	// tier that is missing is refused.
	Tiers []TierLimits `json:"tiers"`
	// Preemption lets a more urgent request stop a running one.
	Preemption bool `json:"preemption,omitempty"`
}

// TierLimits bounds one tier under one preset. Zero means no limit.
type TierLimits struct {
	Tier TierName `json:"tier"`
	// RequestsPerSecond and TokensPerSecond hold for each workspace.
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty"`
	TokensPerSecond   float64 `json:"tokensPerSecond,omitempty"`
	// Concurrency bounds the requests of one workspace in flight.
	Concurrency int `json:"concurrency,omitempty"`
}

// Endpoint declares one back end. Its companion is reached at Companion.
type Endpoint struct {
	Name             EndpointName     `json:"name"`
	Service          ServiceName      `json:"service"`
	AvailabilityZone AvailabilityZone `json:"availabilityZone"`
	// Companion is the IP address and port of the companion's RPC listener.
	Companion string  `json:"companion"`
	Fencing   Fencing `json:"fencing"`
	// Generation names the hardware, for operators' eyes.
	Generation string `json:"generation,omitempty"`
	// Leaving endpoints get no new work.
	Leaving bool `json:"leaving,omitempty"`
	// HintedFor is the companion's address for which the platform's list was
	// followed. It is kept when a departure is called off, so that the same line
	// of the list is not followed twice.
	HintedFor string `json:"hintedFor,omitempty"`
	// Models, Adapters and Role are the desired state of the engine.
	Models   []ModelName `json:"models,omitempty"`
	Adapters []string    `json:"adapters,omitempty"`
	Role     string      `json:"role,omitempty"`
}

// InForce names the preset in force. There is exactly one such object.
type InForce struct {
	Preset PresetName `json:"preset"`
}

// Duration is a time.Duration that is written as "1.5s" in objects and files.
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

// DurationError is returned for text that is not a duration.
type DurationError struct{ Value string }

// Error implements error.
func (e *DurationError) Error() string {
	return "duration " + e.Value + " is not of the form 1.5s, 300ms or 2h"
}
