package usher

import (
	"context"
	"net/http"
	"time"
)

// RouteName names one route of a configuration.
type RouteName string

// RequestKind says what may be repeated of a route's requests.
type RequestKind int

// The kinds of request.
const (
	// KindUnsafe requests run at most once.
	KindUnsafe RequestKind = iota
	// KindSafe requests may run more than once.
	KindSafe
	// KindStream requests are answered by a series of events.
	KindStream
)

// ServiceShare is the part of a route's requests that goes to one service.
type ServiceShare struct {
	Service ServiceName
	Weight  int
}

// Route says which requests go where, and under which bounds.
type Route struct {
	Name RouteName
	// Host and Prefix select the requests; of several prefixes that match, the
	// longest one wins.
	Host   string
	Prefix string
	Kind   RequestKind
	// Resumable streams may go on at another endpoint after the last event that
	// was delivered.
	Resumable bool
	// Split is never empty; weights are relative.
	Split []ServiceShare
	// Timeout is the longest time from acceptance to the end of the answer;
	// zero means no bound but the caller's deadline.
	Timeout time.Duration
	// Target is the time to a whole answer, or to the first event of a stream,
	// within which an answer is on time.
	Target time.Duration
	// GapTarget is the longest pause between two events of an answer on time.
	GapTarget time.Duration
	Rank      Rank
	// MaxAttempts is to how many endpoints one request may be sent.
	MaxAttempts int
	// Public routes need no credential.
	Public bool
	// Affinity says that requests carry the parts of their prompt.
	Affinity bool
}

// Idempotent says whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == KindSafe || (r.Kind == KindStream && r.Resumable)
}

// WorkspaceSpec is a customer with its credentials and its quota.
type WorkspaceSpec struct {
	Name        WorkspaceName
	Credentials []string
	// Rank takes the place of the route's rank where HasRank is set.
	Rank    Rank
	HasRank bool
	// Rate and Burst bound what all instances let through; a rate of zero is no
	// bound. Both count tokens if CountsTokens is set, else requests.
	Rate         float64
	Burst        float64
	CountsTokens bool
	// PlainTokens is what a request without a token count is taken for.
	PlainTokens Tokens
}

// ServiceSpec is what the configuration says of a service's endpoints.
type ServiceSpec struct {
	Name           ServiceName
	MaxConnections int
	// Slots is how many requests an engine runs at once; zero for a plain
	// service, whose endpoints say it themselves.
	Slots int
	// TokensPerEvent is how many tokens an event of a stream holds.
	TokensPerEvent int
	Engine         bool
}

// CallerLimits bound what a caller may send and how long it may take.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// RouteTable is one version of the configuration. It is immutable.
type RouteTable struct {
	Version    Version
	Routes     []Route
	Services   []ServiceSpec
	Workspaces []WorkspaceSpec
	Limits     CallerLimits
	// NeedsCredential is set where requests of routes that are not public have
	// to carry a credential.
	NeedsCredential bool
}

// Registration is one incarnation of one back end, as it registered itself.
type Registration struct {
	Name EndpointName
	// Born tells incarnations of the same name apart.
	Born    int64
	Service ServiceName
	Address string
	Zone    AvailabilityZone
	Slots   int
	Leaving bool
	// ColdFor is how much longer the endpoint expects to be slow.
	ColdFor time.Duration
}

// EndpointChange is a new state of an endpoint. An endpoint that is gone, or
// whose entry can't be read, has Usable unset.
type EndpointChange struct {
	Registration
	Usable bool
	// Unreadable entries are no sign that the endpoint has left.
	Unreadable bool
}

// GatewayInstance is one instance that serves callers, as it announces itself.
type GatewayInstance struct {
	Name        string           `json:"name"`
	Incarnation Incarnation      `json:"incarnation"`
	Address     string           `json:"address"`
	Zone        AvailabilityZone `json:"zone"`
	// Beat grows with each announcement, so that others can tell a live instance
	// from one that was lost without comparing clocks.
	Beat int64 `json:"beat"`
}

// Directory tells what is in force, which endpoints there are, and which other
// instances serve callers. Errors are those of Store.
type Directory interface {
	// Routes returns the configuration in force and the revision to watch from.
	Routes(ctx context.Context) (*RouteTable, Version, error)
	// WatchRoutes waits for a newer configuration; the table is nil when there
	// was none within wait.
	WatchRoutes(ctx context.Context, since Version, wait time.Duration) (*RouteTable, Version, error)
	// Endpoints returns all endpoints and the revision to watch from.
	Endpoints(ctx context.Context) ([]EndpointChange, Version, error)
	// WatchEndpoints waits for changes of endpoints.
	WatchEndpoints(ctx context.Context, since Version, wait time.Duration) ([]EndpointChange, Version, error)
	// Announce makes this instance known to the others, and Withdraw takes that
	// back.
	Announce(ctx context.Context, instance GatewayInstance) error
	Withdraw(ctx context.Context, name string) error
	// Instances returns all instances that are announced.
	Instances(ctx context.Context) ([]GatewayInstance, error)
}

// CallHead is what the headers of a caller's request say, decoded once.
type CallHead struct {
	// ID is chosen by the caller, one for each attempt of the caller.
	ID         RequestID
	Credential string
	// Wait is how long the caller will wait; zero when it does not say.
	Wait  time.Duration
	Model ModelName
	Cost  RequestCost
	// Counted is set where the caller stated its cost.
	Counted bool
	// Hint is the caller's estimate of the answer's tokens; zero when missing.
	Hint Tokens
	// Prefix are the ids of the parts of the prompt, in order.
	Prefix []PromptPart
	// LastEvent is the last event that the caller has of a stream it resumes.
	LastEvent string
}

// PromptPart is one part of a prompt that other requests may share.
type PromptPart struct {
	ID     string
	Tokens Tokens
}

// Send is what the sender of a request tells the endpoint of it.
type Send struct {
	Endpoint  EndpointName
	Workspace WorkspaceName
	// Left is how long the endpoint may work on the request.
	Left time.Duration
	// LastEvent is the event after which a stream goes on.
	LastEvent string
}

// Reply is what the headers of an endpoint's answer say, decoded once.
type Reply struct {
	// ID is the request that the answer belongs to; empty when it is not told.
	ID RequestID
	// Sealed is set where the endpoint vouches for the answer.
	Sealed bool
	// NotRun is set where the endpoint states that it did not run the request.
	NotRun bool
	// OtherEndpoint is set where the address belongs to another endpoint now.
	OtherEndpoint bool
}

// Dialect translates between headers and what they say.
type Dialect interface {
	// Call decodes a caller's headers; errors are *Refusal.
	Call(header http.Header) (CallHead, error)
	// Forward returns the headers that an endpoint gets for a caller's headers.
	Forward(header http.Header, send Send) http.Header
	// Reply decodes the headers of an endpoint's answer.
	Reply(status int, header http.Header) Reply
	// Deliver returns the headers that the caller gets for an endpoint's.
	Deliver(header http.Header) http.Header
}
