package usher

import (
	"context"
	"time"
)

// ObjectKey is the key of an object in the platform's object API, for example
// "workspace/regenfass".
type ObjectKey string

// Object is a versioned object of the platform's object API.
type Object struct {
	Key     ObjectKey `json:"key"`
	Version Version   `json:"version"`
	Value   []byte    `json:"value"`
}

// WatchEvent is one change that a watch returns. Deleted objects have no value.
type WatchEvent struct {
	Object
	Deleted bool `json:"deleted,omitempty"`
}

// Store is the platform's object API. Every call counts against the
// platform's call limit; a watch counts as one call however long it waits.
//
// Errors are *NotFoundError, *ConflictError, *AmbiguousError,
// *HistoryCompactedError and *UnavailableError.
type Store interface {
	EraSource
	// Get returns one object, or an *UnreadableError.
	Get(ctx context.Context, key ObjectKey) (Object, error)
	// List returns the objects whose key begins with prefix, ordered by key,
	// and the store's revision that the list reflects. Objects that can't be read have
	// a nil value.
	List(ctx context.Context, prefix ObjectKey) ([]Object, Version, error)
	// Put writes a value if the object is still at version expected; 0 means
	// that it must not exist. It returns the new version.
	Put(ctx context.Context, key ObjectKey, expected Version, value []byte) (Version, error)
	// Delete removes an object if it is at version expected.
	Delete(ctx context.Context, key ObjectKey, expected Version) error
	// Watch returns the changes after revision since to objects whose key begins
	// with prefix, in order, and the revision to continue from. If there is none
	// yet, it waits for one, up to the duration wait. Objects that can't be read have a
	// nil value.
	Watch(ctx context.Context, prefix ObjectKey, since Version, wait time.Duration) ([]WatchEvent, Version, error)
}

// Instance is one item of the platform's list of instances.
type Instance struct {
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// Instances reads the platform's list of live and leaving instances. The list
// lags, so it must not be taken as proof that an instance runs or has stopped.
type Instances interface {
	// Instances returns the list; errors are *UnavailableError.
	Instances(ctx context.Context) ([]Instance, error)
}

// Candidate is an endpoint that could run a request, with the estimates it was
// ranked by. They are written to the log and to the record.
type Candidate struct {
	Endpoint EndpointName `json:"endpoint"`
	// Finish is the expected time to complete the request there, including
	// queueing.
	Finish time.Duration `json:"finish"`
	// Reused is how many tokens of the prompt's prefix are expected to be cached.
	Reused Tokens `json:"reused,omitempty"`
}

// ReportedRanks is the number of ranks for which a load report has the expected
// wait.
const ReportedRanks = 4

// ExpectedWait returns the expected queueing time of a new request of the rank.
func (r *LoadReport) ExpectedWait(rank Rank) time.Duration {
	return r.WaitByRank[max(0, min(rank, ReportedRanks-1))]
}

// LoadReport is the load of an endpoint, which its companion sends with every
// reply.
type LoadReport struct {
	Endpoint EndpointName
	// Running and Waiting count the requests in the engine and those queued at the
	// companion.
	Running int
	Waiting int
	// Limit is how many requests the companion admits to the engine concurrently.
	Limit int
	// QueuedWork is the estimated time to run the queued requests.
	QueuedWork time.Duration
	// PrefillBacklog is the expected time until the engine has processed the
	// prompts that precede a new request's.
	PrefillBacklog time.Duration
	// PrefillPerToken and DecodePerToken are the engine's measured times per token.
	PrefillPerToken time.Duration
	DecodePerToken  time.Duration
	// WaitByRank is, by rank, the expected queueing time of a new request behind
	// all requests of its own and more urgent ranks. The last element also
	// applies to all higher rank numbers.
	WaitByRank [ReportedRanks]time.Duration
	// LowestKept is the least urgent rank in the companion's queue; -1 if the
	// queue is empty.
	LowestKept Rank
	Leaving    bool
	// Entries is how many live entries send requests to the companion.
	Entries int
	// Taken is the time of arrival by the receiver's clock.
	Taken time.Time
}

// Placer ranks the endpoints that could run a request, by load and cached
// prompt prefixes.
type Placer interface {
	// Candidates returns the endpoints of the request's service in the order
	// in which they should be tried. It allocates only if into is too small.
	Candidates(header *RequestHeader, into []Candidate) []Candidate
	// Entries estimates how many live entries accept requests for the service.
	Entries(service ServiceName) float64
	// Observe applies a load report that was received with a reply.
	Observe(report LoadReport)
	// Assigned notes that a request was offered to an endpoint, and Released
	// that the offer ended. If it ran, the endpoint now has its prefix cached.
	Assigned(endpoint EndpointName, header *RequestHeader)
	Released(endpoint EndpointName, header *RequestHeader, ran bool)
}

// Admission is the admission control of one endpoint: it decides which requests
// enter the engine and when.
type Admission interface {
	// Admit waits until the request may enter the engine. The caller must
	// release the returned Slot. Errors are *Refusal.
	Admit(ctx context.Context, header *RequestHeader) (Slot, error)
	// TryAdmit admits the request only if it can enter the engine immediately.
	TryAdmit(header *RequestHeader) (Slot, bool)
	// EndWork states that the requests of an entry, or all if it is empty, are cut after
	// that time. Those that can't end before are refused, unless they run already.
	EndWork(entry Incarnation, left time.Duration)
	// StopLimit returns how much time a request has before it is cut. It returns false if
	// no process stops before the deadline of the request.
	StopLimit(header *RequestHeader) (limit StopLimit, stops bool)
	// Report returns the current load of the endpoint.
	Report() LoadReport
}

// StopLimit is how much time is left before a request is cut by the stop of a process, and
// how long it is expected to run, or 0 if that is not known.
type StopLimit struct{ Left, Expected time.Duration }

// Slot is a concurrency slot of the engine, held by one admitted request.
type Slot interface {
	// ObserveFirstToken reports the measured time to the first token, and
	// ObserveToken the time between two tokens.
	ObserveFirstToken(latency time.Duration, prompt Tokens)
	ObserveToken(interval time.Duration)
	// ObserveResponse reports the length of a complete response. Callers state only an
	// upper bound, while cost estimates need actual lengths.
	ObserveResponse(tokens Tokens)
	// ObserveDuration reports how long a complete response took that was not streamed.
	ObserveDuration(elapsed time.Duration)
	// EnablePreemption declares that the request can release its slot and run again
	// later. The channel is closed when the slot is requested.
	EnablePreemption() <-chan struct{}
	// Release frees the slot. It may be called more than once.
	Release()
}
