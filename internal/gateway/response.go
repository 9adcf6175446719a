package gateway

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"filbertusher/internal/dispatch"
	"filbertusher/internal/httpresponse"
	"filbertusher/internal/intake"
	"filbertusher/internal/upstream"
	"filbertusher/pkg/usher"
)

const (
	// minReadTime is how long a caller may at least take to read a whole response. It is
	// written late where this process was short of processor time.
	minReadTime = 5 * time.Second
)

// bufferedResponse is a response whose body was read completely.
type bufferedResponse struct {
	status int
	header http.Header
	body   *intake.ResponseBody
}

// bufferResponse reads a response completely and delivers it. A retryable failure
// is returned instead, because another endpoint may succeed.
func (h *requestHandler) bufferResponse(ctx context.Context, grant *dispatch.Grant, response *upstream.Response, monitor *attemptMonitor) attemptResult {
	buffered, result := h.readResponse(ctx, grant, response, h.attemptSent, monitor)
	h.attemptEnded = time.Now()
	if buffered != nil {
		h.buffered = append(h.buffered, buffered.body)
	}
	if result.outcome != delivered {
		return result
	}
	// The caller may take long to read the answer, for which nothing else has to run.
	monitor.discard()
	return h.deliverWhole(grant, buffered)
}

// deliverWhole delivers a response that was read completely.
func (h *requestHandler) deliverWhole(grant *dispatch.Grant, response *bufferedResponse) attemptResult {
	grant.End(dispatch.Answered)
	h.reportAnswer(response.status)
	h.deliver(response)
	return attemptResult{outcome: delivered}
}

// readResponse reads a response completely. Its result is delivered if the response may be
// passed on; otherwise the grant has ended. The caller releases the body of the response, if
// there is one. monitor is nil for a copy of an attempt, which was sent
// at another time than that.
func (h *requestHandler) readResponse(ctx context.Context, grant *dispatch.Grant, response *upstream.Response, sentAt time.Time, monitor *attemptMonitor) (*bufferedResponse, attemptResult) {
	grant.FirstEvent()
	body, err := h.gateway.responses.Read(response.Body)
	var buffered *bufferedResponse
	if body != nil {
		buffered = &bufferedResponse{status: response.Status, header: response.Header, body: body}
	}
	response.Close(err == nil)
	if err == nil && h.endedByCrash(ctx, grant, response, monitor) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		grant.End(cancelledOr(ctx, dispatch.Failed))
		if ctx.Err() == nil {
			h.reportLost(grant, progressHeader, sentAt)
		}
		return buffered, attemptResult{outcome: lost, cause: err}
	}
	if !mayForwardStatus(response) {
		grant.End(dispatch.Failed)
		return buffered, attemptResult{outcome: lost, cause: &httpresponse.InvalidError{Reason: "status " + strconv.Itoa(response.Status) + " that the endpoint does not vouch for"}}
	}
	if isRetryableStatus(response.Status) {
		grant.End(dispatch.Failed)
		return buffered, attemptResult{outcome: failed, response: buffered}
	}
	return buffered, attemptResult{outcome: delivered}
}

// cancelledOr returns dispatch.Cancelled if ctx ended, so that the endpoint is not
// blamed, and end otherwise. An attempt that was moved because its endpoint was
// silent is not a cancellation.
func cancelledOr(ctx context.Context, end dispatch.End) dispatch.End {
	moved := new(MovedError)
	if ctx.Err() != nil && !errors.As(context.Cause(ctx), &moved) {
		return dispatch.Cancelled
	}
	return end
}

// mayForwardStatus reports whether a response may be passed on with its status. A
// success status requires that the endpoint marked the response as valid
// (Metadata.Sealed).
// A status that implies that the request did not run is not passed on, because the
// endpoint did not state that (Metadata.NotRun).
func mayForwardStatus(response *upstream.Response) bool {
	switch {
	case response.Status >= 200 && response.Status < 300:
		return response.Metadata.Sealed
	case impliesNotRun(response.Status):
		return false
	default:
		return true
	}
}

// impliesNotRun reports whether callers conclude from the status that the request
// did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// readBy returns when the caller has to have read a response that is written now: when it no
// longer waits, and not before minReadTime. A caller that states no time, or a longer one
// than requests are run, gets the usual time.
func (h *requestHandler) readBy() time.Time {
	usual := h.arrived.Add(min(cmp.Or(h.headers.Wait, defaultTimeout), defaultTimeout))
	return slices.MaxFunc([]time.Time{usual, h.deadline, time.Now().Add(minReadTime)}, time.Time.Compare)
}

// deliver writes a buffered response to the caller.
func (h *requestHandler) deliver(response *bufferedResponse) {
	h.firstLatency = time.Since(h.arrived)
	h.status = response.status
	h.outcome = usher.OutcomeRan
	// The memory of the body is held until the caller has read it.
	_ = http.NewResponseController(h.writer).SetWriteDeadline(h.readBy())
	header := h.writer.Header()
	for name, values := range h.gateway.Codec.EncodeResponse(response.header) {
		header[name] = values
	}
	if response.status != http.StatusNoContent && response.status != http.StatusNotModified {
		header.Set("Content-Length", strconv.Itoa(response.body.Len()))
	}
	h.writer.WriteHeader(response.status)
	if h.request.Method == http.MethodHead {
		return
	}
	// The record has all of the body, however much of it the caller reads.
	_, _ = response.body.WriteTo(responseHasher{h})
	_, _ = response.body.WriteTo(h.writer)
}
