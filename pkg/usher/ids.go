// Package usher is the root package of filbertusher. It defines the IDs, units,
// configuration objects, typed errors and interfaces that the other packages
// share. Packages under internal/ implement the interfaces; programs outside the
// project may import this package as a client.
//
// Three kinds of processes appear in the comments. An entry is a front-end proxy
// that accepts callers' requests and offers them to companions. A companion is
// the sidecar process of one endpoint and the only one that sends requests to it.
// A gateway instance needs no companions: it accepts requests and sends them to
// the endpoints itself.
package usher

import "time"

// The IDs are distinct types, so that the compiler rejects a workspace where an
// endpoint is expected. All are compared byte by byte.
type (
	// RequestID identifies one request of one caller through all its attempts.
	// The entry that accepts the request chooses it and never reuses it. In a
	// gateway instance it is the ID that the caller sent, a new one for each time
	// that the caller sends the request.
	RequestID string
	// WorkspaceName names a customer account.
	WorkspaceName string
	// ServiceName names a service that callers request: a model or a plain HTTP
	// service.
	ServiceName string
	// TierName names a priority class of requests.
	TierName string
	// PresetName names a set of limits of which exactly one is active.
	PresetName string
	// EndpointName names one back end and, if it has one, its companion process.
	EndpointName string
	// AvailabilityZone names the zone in which an instance or an endpoint runs.
	AvailabilityZone string
	// SoftwareVersion is the version of the software that an endpoint runs, which is
	// not that of its model's weights. It is empty for one that states none.
	SoftwareVersion string
	// ModelName names a model that an engine can serve.
	ModelName string
	// IdempotencyKey is chosen by the caller and identifies an operation within
	// one workspace and service.
	IdempotencyKey string
	// Incarnation identifies one run of one process; a restart gets a new one.
	Incarnation string
	// Digest is a SHA-256 in lower-case hexadecimal.
	Digest string
)

// Units of measure.
type (
	// Tokens counts prompt or answer tokens.
	Tokens int
	// Attempt counts how often the entry has offered a request to an endpoint,
	// from 1. In a gateway instance it counts the endpoints that the request was sent
	// to.
	Attempt int
	// Rank orders tiers and, in a gateway instance, routes and workspaces; 0 is the
	// most urgent and is shed last.
	Rank int
	// Version is a version of the configuration, or a revision of the store or of
	// an object in it together with the store's era (NewVersion). It only grows.
	Version uint64
	// FencingToken orders successive owners, such as the incarnations of an
	// endpoint's companion. An endpoint that checks it rejects a request whose token
	// is lower than one it has already seen.
	FencingToken uint64
)

// BytesPerToken is the estimated number of prompt bytes per token. It is for
// estimates of a request's cost before it runs; engines report exact counts.
const BytesPerToken = 4

// EstimateTokens returns the estimated number of prompt tokens in a body of size
// bytes.
func EstimateTokens(size int) Tokens {
	return Tokens((size + BytesPerToken - 1) / BytesPerToken)
}

// RequestCost is the expected cost of a request, known before it runs.
type RequestCost struct {
	PromptTokens Tokens
	AnswerTokens Tokens
}

// RequestHeader is the request metadata that scheduling decisions use. Every
// message about the request carries it, without the body.
type RequestHeader struct {
	ID        RequestID
	Attempt   Attempt
	Workspace WorkspaceName
	Service   ServiceName
	Tier      TierName
	Rank      Rank
	Key       IdempotencyKey
	Deadline  time.Time
	// Entry is the process that the response goes to. Companions set it themselves.
	Entry Incarnation
	Cost  RequestCost
	// Prefix holds one hash for each leading block of the prompt; the hash of
	// a block covers all blocks before it, so equal hashes mean equal prefixes.
	Prefix []uint64
	// Digest covers method, path and body. It distinguishes a retried request
	// from a key that was reused for another one.
	Digest Digest
	// Idempotent requests may run again after an attempt with unknown outcome.
	Idempotent bool
	// Crashes is how often an endpoint crashed while it ran the same request.
	Crashes int
	// ProbesCrash is set for a request that is let through although requests that begin
	// like it crashed endpoints. It runs alone.
	ProbesCrash bool
	Stream      bool
}
