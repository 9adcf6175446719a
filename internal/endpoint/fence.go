package endpoint

import (
	"net/http"

	"filbertusher/pkg/usher"
)

// FencedError is the cause if an engine refused a request because it has seen a
// higher fencing token: a newer incarnation of the companion has taken over the
// engine. The engine did not run the request.
type FencedError struct{}

// Error implements error.
func (*FencedError) Error() string {
	return "the engine is held by a newer incarnation of the companion"
}

// rejectFenced converts the engine's refusal of an old fencing token into an
// error and returns every other response unchanged. The refusal is not returned to
// the caller, because another endpoint can still run the request. The chat
// completions protocol has no other use for 409.
func rejectFenced(answer *usher.Response, err error) (*usher.Response, error) {
	if err == nil && answer.Status == http.StatusConflict {
		return nil, &usher.BackendError{Operation: "call", Cause: &FencedError{}}
	}
	return answer, err
}
