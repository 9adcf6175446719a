package endpoint

import (
	"net/http"

	"filbertusher/pkg/usher"
)

// FencedError is the cause when an engine refused a request because it has seen
// a higher fencing number: a newer incarnation of the companion has taken the
// engine over. The engine did not run the request.
type FencedError struct{}

// Error implements error.
func (*FencedError) Error() string {
	return "the engine is held by a newer incarnation of the companion"
}

// unlessFenced passes an answer on, unless it is the refusal of an old fencing
// number. That one says nothing to a caller, for whom another endpoint can still
// run the request. The chat completions protocol has no other use for 409.
func unlessFenced(answer *usher.Answer, err error) (*usher.Answer, error) {
	if err == nil && answer.Status == http.StatusConflict {
		return nil, &usher.BackendError{Operation: "call", Cause: &FencedError{}}
	}
	return answer, err
}
