package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"

	"filbertusher/internal/telemetry"
	"filbertusher/pkg/usher"
)

// abandon ends a request that may not be sent to another endpoint. If an earlier attempt has
// returned a failure, that is delivered; if one may have run the request, the outcome is
// reported as unknown.
func (h *requestHandler) abandon(ctx context.Context, relay *streamRelay, refusal *usher.Refusal, earlier attemptHistory) {
	switch {
	case earlier.failure != nil && !relay.started:
		h.deliver(earlier.failure)
		return
	case earlier.mayHaveRun:
		refusal = unknownRefusal(ctx, refusal.Message)
	}
	h.terminate(relay, refusal)
}

// finishFailed ends a request after its last attempt failed.
func (h *requestHandler) finishFailed(ctx context.Context, relay *streamRelay, last attemptResult, earlier attemptHistory) {
	switch {
	case earlier.failure != nil && !relay.started:
		h.deliver(earlier.failure)
	case earlier.mayHaveRun:
		h.terminate(relay, unknownRefusal(ctx, last.detail()))
	case ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded):
		h.terminate(relay, h.gateway.cancelledRefusal(ctx))
	default:
		wait := max(defaultRetryAfter, h.gateway.Scheduler.RetryAfterPause(h.dispatchRequest(nil, false)))
		h.terminate(relay, usher.NewRefusal(usher.RefusalOverloaded, last.detail()).WithRetryAfter(wait))
	}
}

// unknownRefusal returns the refusal of a request that may have run.
func unknownRefusal(ctx context.Context, message string) *usher.Refusal {
	kind := usher.RefusalEndpointFailed
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		kind = usher.RefusalDeadlineExceeded
	}
	return usher.NewUnknownOutcome(kind, message)
}

// terminate refuses the request. If a stream has begun, it aborts the connection
// instead, so that the caller can't mistake the partial response for a complete one.
func (h *requestHandler) terminate(relay *streamRelay, refusal *usher.Refusal) {
	if relay.started {
		h.outcome, h.refusalKind, h.detail = usher.OutcomeUnknown, refusal.Kind, "cut: "+refusal.Message
		panic(http.ErrAbortHandler)
	}
	h.refuse(refusal)
}

// refuse responds with a refusal.
func (h *requestHandler) refuse(refusal *usher.Refusal) {
	status := refusal.Status()
	if refusal.Kind == usher.RefusalCrashSuspect {
		// Callers conclude from this status that the request did not run.
		status = http.StatusServiceUnavailable
	}
	h.status, h.outcome, h.refusalKind = status, refusal.Outcome, refusal.Kind
	if h.detail == "" {
		h.detail = string(refusal.Kind) + ": " + refusal.Message
	} else {
		h.detail = string(refusal.Kind) + ": " + refusal.Message + "; " + h.detail
	}
	h.gateway.metrics.refused.Add(string(refusal.Kind), 1)
	if refusal.Kind == usher.RefusalLeaving {
		h.gateway.metrics.refusedByStop.Add(1)
	}
	if refusal.Kind == usher.RefusalCancelled {
		// The caller has disconnected, so there is nobody to respond to.
		panic(http.ErrAbortHandler)
	}
	body, err := json.Marshal(refusal.WithRequestID(h.headers.ID))
	if err != nil {
		h.gateway.Log.Error().Err(err).Str("request", telemetry.Cut(string(h.headers.ID))).Msg("refusalNotEncoded")
	}
	header := h.writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	setRetryAfter(header, refusal)
	h.writer.WriteHeader(status)
	_, _ = h.writer.Write(body)
}

func setRetryAfter(header http.Header, refusal *usher.Refusal) {
	if seconds := refusal.RetryAfter.Seconds(); seconds > 0 {
		header.Set("Retry-After", strconv.FormatFloat(math.Ceil(seconds*100)/100, 'f', -1, 64))
	}
}

// The names of the counters of callers that found no memory: for their connections, for
// headers and bodies, and those whose stalled header or body gave way to others.
const (
	shortOfConnection    = "connection"
	shortOfHeader        = "header"
	shortOfBody          = "body"
	shortOfStalledHeader = "stalledHeader"
	shortOfStalledBody   = "stalledBody"
)
