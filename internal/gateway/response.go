package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"filbertusher/internal/dispatch"
	"filbertusher/internal/upstream"
	"filbertusher/pkg/usher"
)

// maxAnswer bounds an answer that is held until it is whole, in bytes.
const maxAnswer = 32 << 20

// whole is an answer that arrived whole.
type whole struct {
	status int
	header http.Header
	body   []byte
}

// readWhole reads an answer to its end and delivers it, or returns a failure
// that may be better elsewhere.
func (j *job) readWhole(ctx context.Context, grant *dispatch.Grant, answer *upstream.Answer) result {
	grant.First()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
		err = &upstream.GarbledError{Reason: "an answer that is too long"}
	}
	answer.Close(err == nil)
	if err != nil {
		grant.End(endAfter(ctx, dispatch.Failed))
		return result{end: lost, cause: err}
	}
	if !trustworthy(answer) {
		grant.End(dispatch.Failed)
		return result{end: lost, cause: &upstream.GarbledError{Reason: "status " + strconv.Itoa(answer.Status) + " that the endpoint does not vouch for"}}
	}
	read := &whole{status: answer.Status, header: answer.Header, body: body}
	if isRetryable(answer.Status) {
		grant.End(dispatch.Failed)
		return result{end: failed, answer: read}
	}
	grant.End(dispatch.Answered)
	j.deliver(read)
	return result{end: delivered}
}

// endAfter returns Cancelled where the request was ended from this side, unless
// that was for the endpoint's silence.
func endAfter(ctx context.Context, end dispatch.End) dispatch.End {
	moved := new(MovedError)
	if ctx.Err() != nil && !errors.As(context.Cause(ctx), &moved) {
		return dispatch.Cancelled
	}
	return end
}

// trustworthy says whether an answer may be passed on with its status. A
// success needs the endpoint's seal. Statuses that promise that nothing ran
// are passed on by no endpoint that did not state it.
func trustworthy(answer *upstream.Answer) bool {
	switch {
	case answer.Status >= 200 && answer.Status < 300:
		return answer.Reply.Sealed
	case promises(answer.Status):
		return false
	default:
		return true
	}
}

// promises says whether callers take the status for a promise that the request
// did not run.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// deliver writes a whole answer to the caller.
func (j *job) deliver(answer *whole) {
	j.first = time.Since(j.arrived)
	j.status = answer.status
	j.outcome = usher.OutcomeRan
	header := j.writer.Header()
	for name, values := range j.gateway.Dialect.Deliver(answer.header) {
		header[name] = values
	}
	if answer.status != http.StatusNoContent && answer.status != http.StatusNotModified {
		header.Set("Content-Length", strconv.Itoa(len(answer.body)))
	}
	j.writer.WriteHeader(answer.status)
	if j.request.Method == http.MethodHead {
		return
	}
	j.noteAnswer(answer.body)
	_, _ = j.writer.Write(answer.body)
}
