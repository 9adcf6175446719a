package usher

import (
	"net/http"
	"strconv"
	"time"
)

// Outcome is what is known about the execution of a request. It tells callers
// whether they may safely retry.
type Outcome string

const (
	// OutcomeNotRun guarantees that the request was not and will not be run.
	OutcomeNotRun Outcome = "not run"
	// OutcomeRan means that the request was run to completion.
	OutcomeRan Outcome = "ran"
	// OutcomeUnknown means that the request may have run, completely or in part.
	OutcomeUnknown Outcome = "unknown"
)

// RefusalKind is the error code of a request that got no complete response.
type RefusalKind string

// The error codes. docs/api.md describes for each what a caller should do.
const (
	RefusalBadRequest       RefusalKind = "badRequest"
	RefusalTooLarge         RefusalKind = "tooLarge"
	RefusalHeaderTooLarge   RefusalKind = "headerTooLarge"
	RefusalRequestTimeout   RefusalKind = "requestTimeout"
	RefusalUnauthorized     RefusalKind = "unauthorized"
	RefusalTierForbidden    RefusalKind = "tierForbidden"
	RefusalUnknownService   RefusalKind = "unknownService"
	RefusalUnknownModel     RefusalKind = "unknownModel"
	RefusalMethodNotAllowed RefusalKind = "methodNotAllowed"
	RefusalKeyRequired      RefusalKind = "idempotencyKeyRequired"
	RefusalKeyConflict      RefusalKind = "idempotencyKeyConflict"
	RefusalKeyInProgress    RefusalKind = "idempotencyKeyInProgress"
	RefusalTicketInvalid    RefusalKind = "ticketInvalid"
	RefusalTicketExpired    RefusalKind = "ticketExpired"
	RefusalResponseExpired  RefusalKind = "answerNoLongerKept"
	RefusalOverloaded       RefusalKind = "overloaded"
	RefusalLimitExceeded    RefusalKind = "limitExceeded"
	RefusalDeadlineExceeded RefusalKind = "deadlineExceeded"
	RefusalNoEndpoint       RefusalKind = "noEndpoint"
	RefusalLeaving          RefusalKind = "leaving"
	RefusalNotReady         RefusalKind = "notReady"
	RefusalStoreUnavailable RefusalKind = "storeUnavailable"
	RefusalCrashSuspect     RefusalKind = "crashedEndpoints"
	RefusalEndpointFailed   RefusalKind = "endpointFailed"
	RefusalCancelled        RefusalKind = "cancelled"
	RefusalRecordFull       RefusalKind = "recordFull"
	RefusalStaleConfig      RefusalKind = "staleConfiguration"
	RefusalStreamOrigin     RefusalKind = "streamOriginUnknown"
	RefusalInternal         RefusalKind = "internal"
)

// statusByKind maps error codes to HTTP statuses. Codes that are missing map to
// 500: RefusalInternal and RefusalCancelled.
var statusByKind = map[RefusalKind]int{
	RefusalBadRequest:       http.StatusBadRequest,
	RefusalTooLarge:         http.StatusRequestEntityTooLarge,
	RefusalHeaderTooLarge:   http.StatusRequestHeaderFieldsTooLarge,
	RefusalRequestTimeout:   http.StatusRequestTimeout,
	RefusalUnauthorized:     http.StatusUnauthorized,
	RefusalTierForbidden:    http.StatusForbidden,
	RefusalUnknownService:   http.StatusNotFound,
	RefusalUnknownModel:     http.StatusNotFound,
	RefusalMethodNotAllowed: http.StatusMethodNotAllowed,
	RefusalKeyRequired:      http.StatusBadRequest,
	RefusalKeyConflict:      http.StatusUnprocessableEntity,
	RefusalKeyInProgress:    http.StatusConflict,
	RefusalTicketInvalid:    http.StatusBadRequest,
	RefusalTicketExpired:    http.StatusGone,
	RefusalResponseExpired:  http.StatusGone,
	RefusalOverloaded:       http.StatusServiceUnavailable,
	RefusalLimitExceeded:    http.StatusTooManyRequests,
	RefusalDeadlineExceeded: http.StatusGatewayTimeout,
	RefusalNoEndpoint:       http.StatusServiceUnavailable,
	RefusalLeaving:          http.StatusServiceUnavailable,
	RefusalNotReady:         http.StatusServiceUnavailable,
	RefusalStoreUnavailable: http.StatusServiceUnavailable,
	RefusalCrashSuspect:     http.StatusUnprocessableEntity,
	RefusalEndpointFailed:   http.StatusBadGateway,
	RefusalRecordFull:       http.StatusServiceUnavailable,
	RefusalStaleConfig:      http.StatusServiceUnavailable,
	RefusalStreamOrigin:     http.StatusServiceUnavailable,
}

// Refusal is the error response to a request that was rejected, failed or got
// only part of its response. It is sent between processes and, as JSON, to the
// caller.
type Refusal struct {
	Kind    RefusalKind `json:"type"`
	Message string      `json:"message"`
	// Outcome tells whether the request ran. For a request with an idempotency
	// key it covers all attempts with that key.
	Outcome Outcome `json:"outcome"`
	// Attempt is set if only this one attempt is known not to have run:
	//
	//	{"outcome": "unknown", "attempt": "not run"}
	//
	// A caller that sent the key for the first time can conclude that the
	// request did not run.
	Attempt Outcome `json:"attempt,omitempty"`
	// RequestID is empty for requests that were rejected before they got one.
	RequestID RequestID `json:"requestId,omitempty"`
	// RetryAfter is how long the caller should wait before it retries; zero if
	// waiting does not help.
	RetryAfter time.Duration `json:"-"`
}

// NewRefusal returns an error for a request that certainly did not run.
func NewRefusal(kind RefusalKind, message string) *Refusal {
	return &Refusal{Kind: kind, Message: message, Outcome: OutcomeNotRun}
}

// NewUnknownOutcome returns an error for a request that may have run.
func NewUnknownOutcome(kind RefusalKind, message string) *Refusal {
	return &Refusal{Kind: kind, Message: message, Outcome: OutcomeUnknown}
}

// NewAttemptRefusal returns an error for an attempt that certainly did not run,
// where the outcome of earlier attempts with the same key is unknown.
func NewAttemptRefusal(kind RefusalKind, message string) *Refusal {
	return &Refusal{Kind: kind, Message: message, Outcome: OutcomeUnknown, Attempt: OutcomeNotRun}
}

// NotDispatched reports whether this attempt certainly did not run.
func (r *Refusal) NotDispatched() bool {
	return r.Outcome == OutcomeNotRun || r.Attempt == OutcomeNotRun
}

// ForAttempt returns r with an OutcomeNotRun restricted to this attempt.
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

// WithRetryAfter returns a copy with RetryAfter set.
func (r *Refusal) WithRetryAfter(wait time.Duration) *Refusal {
	changed := *r
	changed.RetryAfter = wait
	return &changed
}

// WithRequestID returns a copy with RequestID set.
func (r *Refusal) WithRequestID(id RequestID) *Refusal {
	changed := *r
	changed.RequestID = id
	return &changed
}

// ConflictError is returned by a conditional write if the object is not at the
// expected version.
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
// effect. The writer has to read the object back to find out.
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

// UnreadableError is returned for an object whose value was written by another program and
// can't be read. Version is that of the object, so that it can be replaced.
type UnreadableError struct {
	Key     ObjectKey
	Version Version
	Cause   error
}

// Error implements error.
func (e *UnreadableError) Error() string {
	return "object " + string(e.Key) + " can't be read: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnreadableError) Unwrap() error { return e.Cause }

// UnavailableError is returned if the store did not serve a call and the call
// certainly had no effect.
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

// HistoryCompactedError is returned by a watch whose start revision is older than
// the change history that the store keeps. The reader has to list the objects
// again.
type HistoryCompactedError struct{ Prefix ObjectKey }

// Error implements error.
func (e *HistoryCompactedError) Error() string {
	return "the store no longer knows the changes below " + string(e.Prefix)
}
