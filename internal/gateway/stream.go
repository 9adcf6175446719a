package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"filbertusher/internal/dispatch"
	"filbertusher/internal/upstream"
	"filbertusher/pkg/usher"
)

const (
	// eventsPerReport is after how many events the scheduler is told of the pace.
	eventsPerReport = 8
	// writeMargin is how long after its deadline a caller may take to read.
	writeMargin = time.Second
)

// relay passes the events of one stream to the caller. The stream may come
// from several endpoints in turn; the caller sees the head of the first.
type relay struct {
	job     *job
	started bool
	lastID  string
	control *http.ResponseController
	// broken is set when the caller can't be written to any more.
	broken bool
}

// forward passes on what one endpoint sends.
func (s *relay) forward(ctx context.Context, grant *dispatch.Grant, answer *upstream.Answer, watch *mover) result {
	j := s.job
	if !answer.Reply.Sealed {
		answer.Close(false)
		grant.End(dispatch.Failed)
		return result{end: lost, cause: &upstream.GarbledError{Reason: "a stream that the endpoint does not vouch for"}}
	}
	events := upstream.NewEventReader(answer.Body)
	err := s.copy(grant, answer, events, watch)
	answer.Close(errors.Is(err, io.EOF))
	if s.broken {
		grant.End(dispatch.Cancelled)
		j.outcome, j.detail = usher.OutcomeUnknown, "the caller stopped to read"
		panic(http.ErrAbortHandler)
	}
	if !errors.Is(err, io.EOF) {
		grant.End(endAfter(ctx, dispatch.Failed))
		return result{end: lost, cause: err}
	}
	grant.End(dispatch.Answered)
	if !s.started {
		// A stream without events is an answer like any other.
		s.begin(answer)
	}
	j.outcome = usher.OutcomeRan
	return result{end: delivered}
}

// copy passes events on until the stream ends, and returns why it ended. io.EOF
// is the end of a whole stream.
func (s *relay) copy(grant *dispatch.Grant, answer *upstream.Answer, events *upstream.EventReader, watch *mover) error {
	j := s.job
	unreported := 0
	for n := 0; ; n++ {
		event, err := events.Next()
		if err != nil {
			grant.Events(unreported)
			return err
		}
		if n == 0 {
			grant.First()
		} else if unreported++; unreported == eventsPerReport {
			grant.Events(unreported)
			unreported = 0
		}
		watch.progress()
		s.begin(answer)
		j.events++
		j.noteAnswer(event.Raw)
		if _, err := j.writer.Write(event.Raw); err != nil {
			s.broken = true
			return err
		}
		s.lastID = event.ID
		if events.Pending() {
			continue
		}
		if err := s.control.Flush(); err != nil {
			s.broken = true
			return err
		}
	}
}

// begin writes the head of the first endpoint's answer.
func (s *relay) begin(answer *upstream.Answer) {
	if s.started {
		return
	}
	j := s.job
	s.started = true
	s.control = http.NewResponseController(j.writer)
	_ = s.control.SetWriteDeadline(j.deadline.Add(writeMargin))
	j.first = time.Since(j.arrived)
	j.status = answer.Status
	header := j.writer.Header()
	for name, values := range j.gateway.Dialect.Deliver(answer.Header) {
		header[name] = values
	}
	j.writer.WriteHeader(answer.Status)
}
