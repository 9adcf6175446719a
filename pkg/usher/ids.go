// Package usher is the root package of filbertusher: the ids, units, declared
// kinds, typed errors and interfaces that every other package shares. Packages
// under internal/ implement the interfaces; programs outside the project may
// import this package to speak with it.
package usher

import "time"

// The ids are distinct types so that a workspace can never be passed where an
// endpoint is expected. All are compared byte by byte.
type (
	// RequestID names one request of one caller for its whole life. It is
	// chosen by the entry that accepted the request and never reused.
	RequestID string
	// WorkspaceName names a customer.
	WorkspaceName string
	// ServiceName names what callers ask for: a model or a plain service.
	ServiceName string
	// TierName names a class of requests.
	TierName string
	// PresetName names a set of limits of which exactly one is in force.
	PresetName string
	// EndpointName names one back end and the companion beside it.
	EndpointName string
	// AvailabilityZone names where an instance stands.
	AvailabilityZone string
	// ModelName names a model that an engine can serve.
	ModelName string
	// IdempotencyKey is chosen by the caller and names an operation within
	// one workspace and service.
	IdempotencyKey string
	// Incarnation names one run of one process. A restart makes a new one.
	Incarnation string
	// Digest is a SHA-256 in lower-case hexadecimal.
	Digest string
)

// Units of measure.
type (
	// Tokens counts prompt or answer tokens.
	Tokens int
	// Attempt counts how often the entry has offered a request, from 1.
	Attempt int
	// Rank orders tiers; 0 is the most urgent and is shed last.
	Rank int
	// Version is the store's revision of a configuration. It only grows.
	Version uint64
	// Fence is a fencing number: an order that carries a lower one than the
	// endpoint has seen is refused by endpoints that check.
	Fence uint64
)

// BytesPerToken is the planning estimate of how many bytes of a prompt make
// one token. It only steers placement; engines report exact counts.
const BytesPerToken = 4

// EstimateTokens returns how many prompt tokens a body of size bytes is
// expected to cost.
func EstimateTokens(size int) Tokens {
	return Tokens((size + BytesPerToken - 1) / BytesPerToken)
}

// RequestCost is what is known of the work in a request before it runs.
type RequestCost struct {
	PromptTokens Tokens
	AnswerTokens Tokens
}

// RequestHeader is the part of a request that decisions are made on. It
// travels with every message about the request, without the body.
type RequestHeader struct {
	ID        RequestID
	Attempt   Attempt
	Workspace WorkspaceName
	Service   ServiceName
	Tier      TierName
	Rank      Rank
	Key       IdempotencyKey
	Deadline  time.Time
	Cost      RequestCost
	// Prefix holds one hash for each leading block of the prompt; the hash of
	// a block covers all blocks before it, so equal hashes mean equal prefixes.
	Prefix []uint64
	// Digest covers method, path and body. It tells a repeated request from a
	// reused key.
	Digest Digest
	// Idempotent requests may run again after an unsure attempt.
	Idempotent bool
	// Crashes is how often the same request was in an endpoint that crashed.
	Crashes int
	Stream  bool
}
