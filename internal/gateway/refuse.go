package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"

	"filbertusher/pkg/usher"
)

// giveUp ends a request that no endpoint may get any more.
func (j *job) giveUp(ctx context.Context, stream *relay, refusal *usher.Refusal, mayHaveRun bool) {
	if mayHaveRun {
		refusal = unknown(ctx, refusal.Message)
	}
	j.end(stream, refusal)
}

// fail ends a request after its last attempt.
func (j *job) fail(ctx context.Context, stream *relay, last result, mayHaveRun bool) {
	switch {
	case last.end == failed && !stream.started:
		j.deliver(last.answer)
		return
	case mayHaveRun || last.end == failed:
		j.end(stream, unknown(ctx, last.detail()))
	case ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded):
		j.end(stream, usher.NewRefusal(usher.RefusalCancelled, "the caller left"))
	default:
		refusal := usher.NewRefusal(usher.RefusalOverloaded, last.detail())
		j.end(stream, refusal.WithRetryAfter(notReadyReturn))
	}
}

// unknown returns the refusal of a request that may have run.
func unknown(ctx context.Context, message string) *usher.Refusal {
	kind := usher.RefusalEndpointFailed
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		kind = usher.RefusalDeadline
	}
	return usher.NewUnknown(kind, message)
}

// end refuses, or cuts a stream that has begun, so that its caller can't take
// the part for the whole.
func (j *job) end(stream *relay, refusal *usher.Refusal) {
	if stream.started {
		j.outcome, j.refusal, j.detail = usher.OutcomeUnknown, refusal.Kind, "cut: "+refusal.Message
		panic(http.ErrAbortHandler)
	}
	j.refuse(refusal)
}

// refuse answers with a refusal.
func (j *job) refuse(refusal *usher.Refusal) {
	status := refusal.Status()
	if refusal.Kind == usher.RefusalSuspect {
		// To the caller it is a refusal like any other that did not run.
		status = http.StatusServiceUnavailable
	}
	j.status, j.outcome, j.refusal = status, refusal.Outcome, refusal.Kind
	if j.detail == "" {
		j.detail = string(refusal.Kind) + ": " + refusal.Message
	} else {
		j.detail = string(refusal.Kind) + ": " + refusal.Message + "; " + j.detail
	}
	j.gateway.metrics.refused.Add(string(refusal.Kind), 1)
	if refusal.Kind == usher.RefusalCancelled {
		// Nobody is left to read an answer.
		panic(http.ErrAbortHandler)
	}
	body, err := json.Marshal(refusal.WithRequestID(j.head.ID))
	if err != nil {
		j.gateway.Log.Error().Err(err).Str("request", string(j.head.ID)).Msg("refusalNotEncoded")
	}
	header := j.writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if seconds := refusal.RetryAfter.Seconds(); seconds > 0 {
		header.Set("Retry-After", strconv.FormatFloat(math.Ceil(seconds*100)/100, 'f', -1, 64))
	}
	j.writer.WriteHeader(status)
	_, _ = j.writer.Write(body)
}
