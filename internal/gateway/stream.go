package gateway

import (
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"filbertusher/internal/dispatch"
	"filbertusher/internal/httpresponse"
	"filbertusher/internal/telemetry"
	"filbertusher/internal/upstream"
	"filbertusher/pkg/usher"
)

const (
	// eventsPerReport is the number of events after which they are reported to the
	// scheduler, which measures the time between events.
	eventsPerReport = 8
	// writeDeadlineMargin is how long after the request's deadline writes to the
	// caller time out.
	writeDeadlineMargin = time.Second
)

// streamRelay passes the events of one stream to the caller. The stream may be
// resumed at other endpoints; the caller gets the response header of the first.
type streamRelay struct {
	handler *requestHandler
	started bool
	lastID  string
	// notedAttempt is the last attempt that was checked by noteResumed.
	notedAttempt int
	controller   *http.ResponseController
	// mediaType is that of the first endpoint's response.
	mediaType string
	// writeFailed is set when a write to the caller failed.
	writeFailed bool
}

// forward relays the response of one endpoint and ends the grant. events is its reader if
// the first event was read already.
func (s *streamRelay) forward(ctx context.Context, grant *dispatch.Grant, response *upstream.Response, events *upstream.EventReader, monitor *attemptMonitor) attemptResult {
	h := s.handler
	if !response.Metadata.Sealed {
		response.Close(false)
		grant.End(dispatch.Failed)
		return attemptResult{outcome: lost, cause: &httpresponse.InvalidError{Reason: "a stream that the endpoint does not vouch for"}}
	}
	if events == nil {
		events = upstream.NewEventReader(response.Body)
	}
	eventsBefore := h.eventCount
	h.attemptResponded = time.Time{}
	err := s.copyEvents(grant, response, events, monitor)
	response.Close(errors.Is(err, io.EOF))
	if s.writeFailed {
		grant.End(dispatch.Cancelled)
		h.outcome, h.detail = usher.OutcomeUnknown, "the caller stopped to read"
		panic(http.ErrAbortHandler)
	}
	if errors.Is(err, io.EOF) && h.endedByCrash(ctx, grant, response, monitor) {
		err = io.ErrUnexpectedEOF
	}
	if !errors.Is(err, io.EOF) {
		grant.End(cancelledOr(ctx, dispatch.Failed))
		if ctx.Err() == nil {
			h.reportLost(grant, streamProgress(h.eventCount-eventsBefore), h.attemptSent)
		}
		return attemptResult{outcome: lost, cause: err}
	}
	grant.End(dispatch.Answered)
	h.reportAnswer(response.Status)
	if !s.started {
		// A stream without events is a valid response.
		s.writeHeader(response)
	}
	h.outcome = usher.OutcomeRan
	h.finishStream()
	return attemptResult{outcome: delivered}
}

// continues reports whether a response holds the rest of the stream that has begun.
func (s *streamRelay) continues(response *upstream.Response) bool {
	return response.Status == http.StatusOK && mediaType(response) == s.mediaType
}

// rejectContinuation ends an attempt whose response holds anything else than the rest of
// the stream. The caller has the header of a success and part of its body, so the response
// can't be passed on.
func (s *streamRelay) rejectContinuation(grant *dispatch.Grant, response *upstream.Response) attemptResult {
	response.Close(false)
	if response.Status >= http.StatusInternalServerError {
		grant.End(dispatch.Failed)
	} else {
		grant.End(dispatch.Answered)
	}
	return attemptResult{outcome: failed, cause: &NotResumedError{Status: response.Status, MediaType: mediaType(response)}}
}

// NotResumedError is the cause of an attempt whose endpoint answered a request for the
// rest of a stream with something else.
type NotResumedError struct {
	Status    int
	MediaType string
}

// Error implements error.
func (e *NotResumedError) Error() string {
	return "status " + strconv.Itoa(e.Status) + " and media type " + strconv.Quote(e.MediaType) + " in place of the rest of the stream"
}

// mediaType returns the media type of a response, or "" if there is none that is valid.
func mediaType(response *upstream.Response) string {
	parsed, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if err != nil {
		return ""
	}
	return parsed
}

func streamProgress(events int) responseProgress {
	if events > 0 {
		return progressEvents
	}
	return progressHeader
}

// copyEvents relays events until the stream ends, and returns why it ended: io.EOF
// for a complete stream.
func (s *streamRelay) copyEvents(grant *dispatch.Grant, response *upstream.Response, events *upstream.EventReader, monitor *attemptMonitor) error {
	h := s.handler
	unreportedEvents := 0
	var last time.Time
	for n := 0; ; n++ {
		event, err := events.Next()
		if err != nil {
			grant.Events(unreportedEvents)
			return err
		}
		received := time.Now()
		if n > 0 {
			h.longestPause = max(h.longestPause, received.Sub(last))
		}
		last = received
		if n == 0 {
			h.attemptResponded = time.Now()
			grant.FirstEvent()
		} else if unreportedEvents++; unreportedEvents == eventsPerReport {
			grant.Events(unreportedEvents)
			unreportedEvents = 0
		}
		if !monitor.beginDelivery() {
			return &MovedError{}
		}
		s.writeHeader(response)
		h.beginStream()
		err = s.writeEvent(event, events.Pending())
		monitor.endDelivery(s.lastID)
		if err != nil {
			s.writeFailed = true
			return err
		}
	}
}

// writeEvent writes an event to the caller. It is not flushed if more events are
// already buffered.
func (s *streamRelay) writeEvent(event upstream.Event, more bool) error {
	h := s.handler
	h.eventCount++
	h.hashResponse(event.Raw)
	if _, err := h.writer.Write(event.Raw); err != nil {
		return err
	}
	s.noteResumed()
	s.lastID = event.ID
	if more {
		return nil
	}
	return s.controller.Flush()
}

// noteResumed counts and logs a stream that goes on at another endpoint.
func (s *streamRelay) noteResumed() {
	h := s.handler
	isFirst := s.lastID == "" && h.headers.LastEvent == ""
	if s.notedAttempt == h.attempts || isFirst {
		s.notedAttempt = h.attempts
		return
	}
	s.notedAttempt = h.attempts
	kind := resumedSame
	if h.origin.Software != h.software {
		kind = resumedOther
	}
	h.gateway.metrics.resumed.Add(kind, 1)
	h.gateway.Log.Debug().Str("request", telemetry.Cut(string(h.headers.ID))).Str("resumes", telemetry.Cut(string(h.headers.Resumes))).Str("after", telemetry.Cut(h.headers.LastEvent)).
		Str("began", string(h.origin.Software)).Str("software", string(h.software)).Str("endpoint", string(h.endpoint)).Msg("streamResumed")
}

// The names of the counters of streams that went on at another endpoint: at one with the
// software version that began the stream, at one with another, and those that did not go
// on because it is unknown which one began them.
const (
	resumedSame    = "sameSoftware"
	resumedOther   = "otherSoftware"
	resumedUnknown = "unknownSoftware"
)

// writeHeader writes the response header of the first endpoint. Later calls do
// nothing.
func (s *streamRelay) writeHeader(response *upstream.Response) {
	if s.started {
		return
	}
	h := s.handler
	s.started = true
	s.controller = http.NewResponseController(h.writer)
	_ = s.controller.SetWriteDeadline(h.deadline.Add(writeDeadlineMargin))
	s.mediaType = mediaType(response)
	h.firstLatency = time.Since(h.arrived)
	h.status = response.Status
	header := h.writer.Header()
	for name, values := range h.gateway.Codec.EncodeResponse(response.Header) {
		header[name] = values
	}
	h.writer.WriteHeader(response.Status)
}
