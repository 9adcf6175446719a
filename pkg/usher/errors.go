package usher

import (
	"net/http"
	"strconv"
	"time"
)

// Outcome says what is known of the execution of a request. Callers decide by
// it whether they may send the request again.
type Outcome string

const (
	// OutcomeNotRun promises that the request was not and will not be run.
	OutcomeNotRun Outcome = "not run"
	// OutcomeRan says that the request was run to its end.
	OutcomeRan Outcome = "ran"
	// OutcomeUnknown says that the request may have run, wholly or in part.
	OutcomeUnknown Outcome = "unknown"
)

// RefusalKind is the reason for which a request was not answered.
type RefusalKind string

// The kinds of refusal. docs/api.md says for each what a caller should do.
const (
	RefusalBadRequest       RefusalKind = "badRequest"
	RefusalTooLarge         RefusalKind = "tooLarge"
	RefusalHeaderTooLarge   RefusalKind = "headerTooLarge"
	RefusalTooSlow          RefusalKind = "requestTimeout"
	RefusalUnauthorized     RefusalKind = "unauthorized"
	RefusalForbiddenTier    RefusalKind = "tierForbidden"
	RefusalUnknownService   RefusalKind = "unknownService"
	RefusalUnknownModel     RefusalKind = "unknownModel"
	RefusalMethodNotAllowed RefusalKind = "methodNotAllowed"
	RefusalKeyRequired      RefusalKind = "idempotencyKeyRequired"
	RefusalKeyConflict      RefusalKind = "idempotencyKeyConflict"
	RefusalKeyInProgress    RefusalKind = "idempotencyKeyInProgress"
	RefusalTicketInvalid    RefusalKind = "ticketInvalid"
	RefusalTicketExpired    RefusalKind = "ticketExpired"
	RefusalAnswerGone       RefusalKind = "answerNoLongerKept"
	RefusalOverloaded       RefusalKind = "overloaded"
	RefusalLimited          RefusalKind = "limitExceeded"
	RefusalDeadline         RefusalKind = "deadlineExceeded"
	RefusalNoEndpoint       RefusalKind = "noEndpoint"
	RefusalLeaving          RefusalKind = "leaving"
	RefusalNotReady         RefusalKind = "notReady"
	RefusalStoreUnavailable RefusalKind = "storeUnavailable"
	RefusalSuspect          RefusalKind = "crashedEndpoints"
	RefusalEndpointFailed   RefusalKind = "endpointFailed"
	RefusalCancelled        RefusalKind = "cancelled"
	RefusalRecordFull       RefusalKind = "recordFull"
	RefusalStale            RefusalKind = "staleConfiguration"
	RefusalInternal         RefusalKind = "internal"
)

// statusByKind maps each kind to the HTTP status that callers of HTTP APIs
// expect for it. Kinds that are missing are the server's own failures.
var statusByKind = map[RefusalKind]int{
	RefusalBadRequest:       http.StatusBadRequest,
	RefusalTooLarge:         http.StatusRequestEntityTooLarge,
	RefusalHeaderTooLarge:   http.StatusRequestHeaderFieldsTooLarge,
	RefusalTooSlow:          http.StatusRequestTimeout,
	RefusalUnauthorized:     http.StatusUnauthorized,
	RefusalForbiddenTier:    http.StatusForbidden,
	RefusalUnknownService:   http.StatusNotFound,
	RefusalUnknownModel:     http.StatusNotFound,
	RefusalMethodNotAllowed: http.StatusMethodNotAllowed,
	RefusalKeyRequired:      http.StatusBadRequest,
	RefusalKeyConflict:      http.StatusUnprocessableEntity,
	RefusalKeyInProgress:    http.StatusConflict,
	RefusalTicketInvalid:    http.StatusBadRequest,
	RefusalTicketExpired:    http.StatusGone,
	RefusalAnswerGone:       http.StatusGone,
	RefusalOverloaded:       http.StatusServiceUnavailable,
	RefusalLimited:          http.StatusTooManyRequests,
	RefusalDeadline:         http.StatusGatewayTimeout,
	RefusalNoEndpoint:       http.StatusServiceUnavailable,
	RefusalLeaving:          http.StatusServiceUnavailable,
	RefusalNotReady:         http.StatusServiceUnavailable,
	RefusalStoreUnavailable: http.StatusServiceUnavailable,
	RefusalSuspect:          http.StatusUnprocessableEntity,
	RefusalEndpointFailed:   http.StatusBadGateway,
	RefusalRecordFull:       http.StatusServiceUnavailable,
	RefusalStale:            http.StatusServiceUnavailable,
}

// Refusal is the typed answer to a request that was not answered whole. It
// travels between processes and, as JSON, to the caller.
type Refusal struct {
	Kind    RefusalKind `json:"type"`
	Message string      `json:"message"`
	// Outcome tells whether the request ran. For a request with a key it
	// speaks of the key, whichever way and however often it was sent.
	Outcome Outcome `json:"outcome"`
	// Attempt is set where only this one attempt is known not to have run:
	//
	//	{"outcome": "unknown", "attempt": "not run"}
	//
	// A caller that never sent the key before may conclude that it did not run.
	Attempt Outcome `json:"attempt,omitempty"`
	// RequestID is empty for requests that were refused before they got one.
	RequestID RequestID `json:"requestId,omitempty"`
	// RetryAfter is how long the caller should wait before it tries again;
	// zero when waiting does not help.
	RetryAfter time.Duration `json:"-"`
}

// NewRefusal returns a refusal of a request that certainly did not run.
func NewRefusal(kind RefusalKind, message string) *Refusal {
	return &Refusal{Kind: kind, Message: message, Outcome: OutcomeNotRun}
}

// NewUnknown returns a refusal of a request that may have run.
func NewUnknown(kind RefusalKind, message string) *Refusal {
	return &Refusal{Kind: kind, Message: message, Outcome: OutcomeUnknown}
}

// NewAttemptRefusal returns a refusal of an attempt that certainly did not run,
// where earlier attempts with the same key are not known.
func NewAttemptRefusal(kind RefusalKind, message string) *Refusal {
	return &Refusal{Kind: kind, Message: message, Outcome: OutcomeUnknown, Attempt: OutcomeNotRun}
}

// NotDispatched says whether this attempt certainly did not run.
func (r *Refusal) NotDispatched() bool {
	return r.Outcome == OutcomeNotRun || r.Attempt == OutcomeNotRun
}

// ForAttempt returns a copy that speaks of this attempt only.
func (r *Refusal) ForAttempt() *Refusal {
	if r.Outcome != OutcomeNotRun {
		return r
	}
	changed := *r
	changed.Outcome, changed.Attempt = OutcomeUnknown, OutcomeNotRun
	return &changed
}

// Error implements error.
func (r *Refusal) Error() string {
	return string(r.Kind) + ": " + r.Message + " (" + string(r.Outcome) + ")"
}

// Status returns the HTTP status code of the refusal.
func (r *Refusal) Status() int {
	if status, ok := statusByKind[r.Kind]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// RetryAfterSeconds returns the value of a Retry-After header, rounded up to
// whole seconds, or "" when there is none.
func (r *Refusal) RetryAfterSeconds() string {
	if r.RetryAfter <= 0 {
		return ""
	}
	return strconv.Itoa(int((r.RetryAfter + time.Second - 1) / time.Second))
}

// WithRetryAfter returns a copy that tells the caller how long to wait.
func (r *Refusal) WithRetryAfter(wait time.Duration) *Refusal {
	changed := *r
	changed.RetryAfter = wait
	return &changed
}

// WithRequestID returns a copy that names the request.
func (r *Refusal) WithRequestID(id RequestID) *Refusal {
	changed := *r
	changed.RequestID = id
	return &changed
}

// ConflictError is returned by a conditional update that lost a race.
type ConflictError struct {
	Key      ObjectKey
	Expected Version
	Current  Version
}

// Error implements error.
func (e *ConflictError) Error() string {
	return "object " + string(e.Key) + " is at version " + strconv.FormatUint(uint64(e.Current), 10) +
		", not at " + strconv.FormatUint(uint64(e.Expected), 10)
}

// NotFoundError is returned for an object that does not exist.
type NotFoundError struct{ Key ObjectKey }

// Error implements error.
func (e *NotFoundError) Error() string { return "object " + string(e.Key) + " does not exist" }

// AmbiguousError is returned for a write that may or may not have taken
// effect. It has to be settled by reading the object back.
type AmbiguousError struct {
	Key   ObjectKey
	Cause error
}

// Error implements error.
func (e *AmbiguousError) Error() string {
	return "write of object " + string(e.Key) + " may have taken effect: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *AmbiguousError) Unwrap() error { return e.Cause }

// UnavailableError is returned when the store did not serve a call that had
// no effect.
type UnavailableError struct {
	Operation string
	Cause     error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return "store unavailable: " + e.Operation + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// HistoryLostError is returned by a watch that asked for changes which the
// store no longer knows. The reader has to list the objects anew.
type HistoryLostError struct{ Prefix ObjectKey }

// Error implements error.
func (e *HistoryLostError) Error() string {
	return "the store no longer knows the changes below " + string(e.Prefix)
}
