package usher

import (
	"context"
	"net/http"
	"net/netip"
	"time"
)

// Only gateway instances use the types of this file. Their configuration is the
// RouteTable of the Directory; entries and companions use the configuration
// objects of objects.go instead.

// RouteName names one route of a configuration.
type RouteName string

// RequestKind tells whether a route's requests may be repeated and whether their
// responses are streamed.
type RequestKind int

// The kinds of request.
const (
	// KindNonIdempotent requests run at most once.
	KindNonIdempotent RequestKind = iota
	// KindIdempotent requests may run more than once.
	KindIdempotent
	// KindStream requests are answered by a stream of events.
	KindStream
)

// WeightedService is one service of a route's traffic split, with its relative
// weight.
type WeightedService struct {
	Service ServiceName
	Weight  int
}

// Route maps matching requests to services and sets the limits they run under.
type Route struct {
	Name RouteName
	// Host and Prefix select the requests; of several prefixes that match, the
	// longest one wins.
	Host   string
	Prefix string
	Kind   RequestKind
	// Resumable streams may continue at another endpoint after the last
	// delivered event.
	Resumable bool
	// Split is never empty; weights are relative to their sum.
	Split []WeightedService
	// Timeout bounds the time from acceptance to the end of the response; zero
	// means that only the caller's deadline applies.
	Timeout time.Duration
	// Target is the latency objective: the time to the complete response, or to
	// the first event of a stream.
	Target time.Duration
	// GapTarget is the latency objective between two events of a stream.
	GapTarget time.Duration
	Rank      Rank
	// MaxAttempts is how many endpoints one request may be sent to.
	MaxAttempts int
	// Public routes need no credential.
	Public bool
	// Affinity is set for routes whose requests list the parts of their prompt.
	// The scheduler doesn't read it: it prefers endpoints that have the listed
	// parts cached for every request that lists some.
	Affinity bool
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == KindIdempotent || (r.Kind == KindStream && r.Resumable)
}

// WorkspaceSpec is a customer account with its credentials and quota.
type WorkspaceSpec struct {
	Name        WorkspaceName
	Credentials []string
	// Rank takes precedence over the route's rank if HasRank is set. The route's
	// rank then orders the requests of equal workspace rank.
	Rank    Rank
	HasRank bool
	// Rate, per second, and Burst limit what all instances together admit; a
	// rate of zero means no limit. Both count tokens if CountsTokens is set,
	// otherwise requests.
	Rate         float64
	Burst        float64
	CountsTokens bool
	// PlainTokens is the assumed cost of a request that states no token count.
	PlainTokens Tokens
}

// ServiceSpec is the configuration of a service's endpoints. Engine is set for
// model engines and unset for plain services.
type ServiceSpec struct {
	Name ServiceName
	// MaxConnections is how many connections one endpoint accepts from all instances
	// together; zero means no limit.
	MaxConnections int
	// Slots is how many requests one engine runs concurrently if its registration
	// states no number; zero for a plain service.
	Slots int
	// TokensPerEvent is how many tokens one event of a stream contains.
	TokensPerEvent int
	Engine         bool
}

// CallerLimits bound the size of callers' requests and the time they may take to
// send them. The gateway applies MaxBodyBytes and IdleTimeout; for the header it has
// fixed bounds of its own instead of MaxHeaderBytes and HeaderTimeout.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// RouteTable is one immutable version of the gateway's configuration.
type RouteTable struct {
	Version Version
	// Written is the store's version of the object that the table was decoded from.
	Written    Version
	Routes     []Route
	Services   []ServiceSpec
	Workspaces []WorkspaceSpec
	Limits     CallerLimits
	// NeedsCredential is set if requests to non-public routes must carry a
	// credential.
	NeedsCredential bool
}

// Registration is one incarnation of an endpoint as it registered itself. Leaving is
// set while the endpoint drains and must get no new requests.
type Registration struct {
	Name EndpointName
	// Born distinguishes incarnations of the same name.
	Born    int64
	Service ServiceName
	Address string
	Zone    AvailabilityZone
	Slots   int
	Leaving bool
	// Software is the version of the endpoint's software.
	Software SoftwareVersion
	// ColdFor is the remaining warm-up time in which the endpoint is slow.
	ColdFor time.Duration
}

// MaxEndpointSlots bounds the slots of an endpoint. A registration with more is not one of
// an endpoint: the slots of a service are added up.
const MaxEndpointSlots = 1 << 20

// IsValid reports whether requests can be sent to the endpoint: it has a name, a service, an
// address with a port, and a possible number of slots.
func (r *Registration) IsValid() bool {
	address, err := netip.ParseAddrPort(r.Address)
	return r.Name != "" && r.Service != "" && err == nil && address.Port() > 0 && r.Slots > 0 && r.Slots <= MaxEndpointSlots
}

// EndpointChange is the new state of an endpoint. Usable is unset if the
// endpoint was removed or its registration can't be parsed.
type EndpointChange struct {
	Registration
	Usable bool
	// Unreadable is set if the registration exists but can't be parsed. The endpoint
	// is then dropped at once; one whose registration is missing may be retained for
	// a grace period.
	Unreadable bool
}

// GatewayInstance is a gateway instance as it announces itself to the others.
type GatewayInstance struct {
	Name        string           `json:"name"`
	Incarnation Incarnation      `json:"incarnation"`
	Address     string           `json:"address"`
	Zone        AvailabilityZone `json:"zone"`
	// Heartbeat grows with each announcement, so that others detect a lost instance
	// without comparing clocks.
	Heartbeat int64 `json:"beat"`
}

// Directory is the gateway's service discovery: the current configuration, the
// registered endpoints and the other gateway instances. Errors are those of
// Store.
type Directory interface {
	EraSource
	// Routes returns the current configuration and the revision to watch from.
	Routes(ctx context.Context) (*RouteTable, Version, error)
	// WatchRoutes waits for a newer configuration; the table is nil if there was
	// none within wait.
	WatchRoutes(ctx context.Context, since Version, wait time.Duration) (*RouteTable, Version, error)
	// Endpoints returns all endpoints and the revision to watch from.
	Endpoints(ctx context.Context) ([]EndpointChange, Version, error)
	// WatchEndpoints waits for endpoint changes, for at most wait.
	WatchEndpoints(ctx context.Context, since Version, wait time.Duration) ([]EndpointChange, Version, error)
	// Announce publishes this instance to the others; Withdraw removes it again.
	Announce(ctx context.Context, instance GatewayInstance) error
	Withdraw(ctx context.Context, name string) error
	// Instances returns all announced instances.
	Instances(ctx context.Context) ([]GatewayInstance, error)
}

// RequestMetadata holds the decoded headers of a caller's request.
type RequestMetadata struct {
	// ID is chosen by the caller, a new one for each of its attempts.
	ID         RequestID
	Credential string
	// Wait is how long the caller will wait for the response; zero if not stated.
	Wait  time.Duration
	Model ModelName
	Cost  RequestCost
	// CostStated is set if the caller stated Cost.
	CostStated bool
	// ExpectedAnswerTokens is the caller's estimate of the response's tokens; zero if missing.
	ExpectedAnswerTokens Tokens
	// Prefix lists the leading parts of the prompt in order.
	Prefix []PromptPart
	// LastEvent is the ID of the last event that the caller received of a stream
	// it resumes, and Resumes is the request that brought the first one; it is empty if
	// not stated.
	LastEvent string
	Resumes   RequestID
}

// PromptPart is a part of a prompt that other requests may share.
type PromptPart struct {
	ID     string
	Tokens Tokens
}

// ForwardOptions is what the gateway adds to a caller's headers when it forwards a
// request.
type ForwardOptions struct {
	Endpoint  EndpointName
	Workspace WorkspaceName
	// TimeLeft is the time that is left for the endpoint to answer the request.
	TimeLeft time.Duration
	// LastEvent is the ID of the event after which a stream is resumed.
	LastEvent string
}

// ResponseMetadata holds the decoded headers of an endpoint's response.
type ResponseMetadata struct {
	// ID is the request that the response belongs to; empty if not stated.
	ID RequestID
	// Sealed is set if the endpoint marked the response as valid.
	Sealed bool
	// NotRun is set if the endpoint states that it did not run the request.
	NotRun bool
	// OtherEndpoint is set if another endpoint now owns the address.
	OtherEndpoint bool
	// RateLimit is how many requests per second the endpoint takes from all instances
	// together; nil if it names no limit.
	RateLimit *float64
	// Leaving is set if the endpoint states that it drains.
	Leaving bool
	// Pause is how long the endpoint wants no requests from this instance; zero if it
	// does not ask for that.
	Pause time.Duration
}

// HeaderCodec encodes and decodes the HTTP headers that callers and endpoints use.
type HeaderCodec interface {
	// DecodeRequest decodes a caller's request headers; errors are *Refusal.
	DecodeRequest(header http.Header) (RequestMetadata, error)
	// EncodeRequest converts a caller's request headers to those sent to an endpoint.
	EncodeRequest(header http.Header, options ForwardOptions) http.Header
	// ResponseMetadata decodes an endpoint's response headers.
	ResponseMetadata(status int, header http.Header) ResponseMetadata
	// EncodeResponse converts an endpoint's response headers to those sent to the caller.
	EncodeResponse(header http.Header) http.Header
}
