package usher

import (
	"context"
	"time"
)

// ObjectKey is the key of an object in the platform's object API, for example
// "workspace/regenfass".
type ObjectKey string

// Object is one value of the platform's object API.
type Object struct {
	Key     ObjectKey `json:"key"`
	Version Version   `json:"version"`
	Value   []byte    `json:"value"`
}

// Event is one change that a watch reports. Deleted objects have no value.
type Event struct {
	Object
	Deleted bool `json:"deleted,omitempty"`
}

// Store is the platform's object API. Every call counts against the
// platform's budget, a waiting watch as one call.
//
// Errors are *NotFoundError, *ConflictError, *AmbiguousError,
// *HistoryLostError and *UnavailableError.
type Store interface {
	// Get returns one object.
	Get(ctx context.Context, key ObjectKey) (Object, error)
	// List returns the objects whose key begins with prefix, ordered by key,
	// and the store's revision that the list reflects.
	List(ctx context.Context, prefix ObjectKey) ([]Object, Version, error)
	// Put writes a value on the condition that the object is still at version
	// expected; 0 means that it must not exist. It returns the new version.
	Put(ctx context.Context, key ObjectKey, expected Version, value []byte) (Version, error)
	// Delete removes an object on the condition that it is at version expected.
	Delete(ctx context.Context, key ObjectKey, expected Version) error
	// Watch waits for changes after since below prefix, for at most wait. It
	// returns them in order, with the revision to continue from.
	Watch(ctx context.Context, prefix ObjectKey, since Version, wait time.Duration) ([]Event, Version, error)
}

// Instance is one line of the platform's list of instances.
type Instance struct {
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// Instances is the platform's list of live and leaving instances. It lags, so
// it is a hint and never a reason to hold that an instance is there or gone.
type Instances interface {
	// Instances returns the list; errors are *UnavailableError.
	Instances(ctx context.Context) ([]Instance, error)
}

// Candidate is an endpoint that could run a request, with the estimate that
// ranked it. The estimates go to the log and to the record.
type Candidate struct {
	Endpoint EndpointName `json:"endpoint"`
	// Finish is how long the request is expected to take there, waiting
	// included.
	Finish time.Duration `json:"finish"`
	// Reused is how much of the prompt's prefix is expected to be cached.
	Reused Tokens `json:"reused,omitempty"`
}

// ReportedRanks is how many ranks a load report tells the wait of.
const ReportedRanks = 4

// WaitOf returns the expected wait of a request of a rank.
func (r *LoadReport) WaitOf(rank Rank) time.Duration {
	return r.WaitByRank[max(0, min(rank, ReportedRanks-1))]
}

// LoadReport is what a companion tells of its endpoint on every reply.
type LoadReport struct {
	Endpoint EndpointName
	// Running and Waiting count requests in the engine and in front of it.
	Running int
	Waiting int
	// Limit is how many requests the companion lets into the engine.
	Limit int
	// QueuedWork is the estimated time to work off what is waiting.
	QueuedWork time.Duration
	// PrefillBacklog is the expected time of the prompts that the engine has
	// still to compute before that of a new request.
	PrefillBacklog time.Duration
	// PrefillPerToken and DecodePerToken are the measured pace of the engine.
	PrefillPerToken time.Duration
	DecodePerToken  time.Duration
	// WaitByRank is the expected wait of a new request behind everything of
	// its own and more urgent ranks; the last one stands for all ranks above.
	WaitByRank [ReportedRanks]time.Duration
	// LowestKept is the least urgent rank that waits at the companion; -1 when
	// nothing waits.
	LowestKept Rank
	Leaving    bool
	// Entries is how many live entries the companion hears from.
	Entries int
	// Taken is when the report was made, by the reader's clock on arrival.
	Taken time.Time
}

// Placer chooses endpoints for requests.
type Placer interface {
	// Candidates returns the endpoints of the request's service in the order
	// in which they should be tried. It allocates only when into is too small.
	Candidates(header *RequestHeader, into []Candidate) []Candidate
	// Entries estimates how many live entries serve callers of the service.
	Entries(service ServiceName) float64
	// Observe takes in a report that came with a reply.
	Observe(report LoadReport)
	// Assigned tells that a request was offered to an endpoint, and Released
	// that the offer ended; prefix says what the endpoint has now cached.
	Assigned(endpoint EndpointName, header *RequestHeader)
	Released(endpoint EndpointName, header *RequestHeader, ran bool)
}

// Admission decides at an endpoint which requests enter the engine and when.
type Admission interface {
	// Admit waits until the request may enter the engine. The returned Slot
	// has to be released. Errors are *Refusal.
	Admit(ctx context.Context, header *RequestHeader) (Slot, error)
	// TryAdmit admits the request only if there is room at once.
	TryAdmit(header *RequestHeader) (Slot, bool)
	// Report returns the load of the endpoint now.
	Report() LoadReport
}

// Slot is the right of one request to be in the engine.
type Slot interface {
	// FirstToken and Token report the engine's pace as it is measured.
	FirstToken(after time.Duration, prompt Tokens)
	Token(gap time.Duration)
	// Answered tells how long a whole answer was. Callers name an upper bound;
	// estimates need what answers really take.
	Answered(tokens Tokens)
	// Preempted declares that the request can give its place back and run
	// again later. The channel is closed when the place is asked for.
	Preempted() <-chan struct{}
	// Release gives the slot back. It may be called more than once.
	Release()
}
