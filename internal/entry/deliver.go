package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

// errorBody is the JSON body of a refusal.
type errorBody struct {
	Error *usher.Refusal `json:"error"`
}

// refuse answers a request that was refused before it had an id.
func (e *Entry) refuse(w http.ResponseWriter, refusal *usher.Refusal) {
	e.metrics.refused(1)
	e.Recorder.Count(refusal.Kind)
	writeRefusal(w, refusal)
	e.Log.Info().Str("refusal", string(refusal.Kind)).Str("outcome", string(refusal.Outcome)).Msg("requestRefused")
}

// end records the decision, then delivers a whole answer or a refusal. A
// request that is nil was refused before its caller was known.
func (e *Entry) end(w http.ResponseWriter, accepted *request, answer *usher.Answer, refusal *usher.Refusal) {
	if accepted == nil {
		e.refuse(w, refusal)
		return
	}
	w.Header().Set(headerRequestID, string(accepted.ID))
	decision := accepted.decision()
	if refusal != nil {
		refusal = refusal.WithRequestID(accepted.ID)
		decision.Outcome, decision.Refusal = refusal.Outcome, refusal.Kind
		accepted.copies.Same = accepted.heldAs(nil, refusal)
		e.finish(decision, accepted.copies)
		writeRefusal(w, refusal)
		return
	}
	decision.Outcome, decision.Status = usher.OutcomeRan, answer.Status
	decision.AnswerSHA256 = string(answer.Digest())
	decision.AnswerBytes = int64(len(answer.Body))
	accepted.copies.Same = accepted.heldAs(answer, nil)
	e.finish(decision, accepted.copies)
	writeAnswer(w, answer)
}

// finish counts, records and logs a decision. It does not use the request's
// context, because a caller that left must not keep its request unrecorded.
func (e *Entry) finish(decision usher.Decision, copies usher.Copies) {
	switch {
	case decision.Outcome == usher.OutcomeUnknown:
		e.metrics.unknown(1)
	case decision.Refusal != "":
		e.metrics.refused(1)
	default:
		e.metrics.answered(1)
	}
	if decision.Refusal == usher.RefusalRecordFull {
		e.Recorder.Count(decision.Refusal)
	} else {
		e.Recorder.Record(context.Background(), decision, copies)
	}
	e.Log.Info().
		Str("requestId", string(decision.ID)).
		Str("workspace", string(decision.Workspace)).
		Str("service", string(decision.Service)).
		Str("tier", string(decision.Tier)).
		Str("endpoint", string(decision.Endpoint)).
		Int("attempts", int(decision.Attempts)).
		Str("outcome", string(decision.Outcome)).
		Str("refusal", string(decision.Refusal)).
		Dur("duration", time.Duration(decision.Duration)).
		Msg("requestEnded")
}

func (r *request) decision() usher.Decision {
	decision := usher.Decision{
		Time: r.started, ID: r.ID, Workspace: r.Workspace, TokenName: r.tokenName,
		View: usher.ViewEntry, Service: r.Service, Tier: r.Tier, Key: string(r.Key),
		ConfigVersion: r.snapshot.Version, Candidates: r.recordedCandidates(), Endpoint: r.endpoint,
		Attempts: r.Attempt, RequestSHA256: string(r.Digest),
		Duration: usher.Duration(time.Since(r.started)),
	}
	if r.snapshot.InForce != nil {
		decision.Preset = r.snapshot.InForce.Name
	}
	return decision
}

func writeAnswer(w http.ResponseWriter, answer *usher.Answer) {
	if answer.ContentType != "" {
		w.Header().Set("Content-Type", answer.ContentType)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(answer.Body)))
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

func writeRefusal(w http.ResponseWriter, refusal *usher.Refusal) {
	if wait := refusal.RetryAfterSeconds(); wait != "" {
		w.Header().Set("Retry-After", wait)
	}
	if refusal.Kind == usher.RefusalUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	writeJSON(w, refusal.Status(), errorBody{Error: refusal})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		status, encoded = http.StatusInternalServerError, []byte(`{}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}

// deliverStream passes the events of a stream on as they come. A stream whose
// end is lost closes with an error event and an aborted connection, so that no
// caller can take a part for the whole.
func (e *Entry) deliverStream(ctx context.Context, w http.ResponseWriter, accepted *request, stream *incoming) {
	defer stream.close()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set(headerRequestID, string(accepted.ID))
	w.WriteHeader(http.StatusOK)
	out := &streamWriter{w: w, controller: http.NewResponseController(w)}
	digest := sha256.New()
	decision := accepted.decision()
	for {
		event, refusal := e.nextEvent(ctx, accepted, stream)
		if refusal == nil && event.End == wire.EndWhole && string(event.Digest) != hex.EncodeToString(digest.Sum(nil)) {
			refusal = usher.NewUnknown(usher.RefusalInternal, "the answer was damaged on its way")
		}
		if refusal != nil {
			decision.Outcome, decision.Refusal = refusal.Outcome, refusal.Kind
			decision.Duration = usher.Duration(time.Since(accepted.started))
			accepted.copies.Same = event.Held
			e.finish(decision, accepted.copies)
			out.abort(refusal.WithRequestID(accepted.ID))
		}
		if event.End == wire.EndWhole {
			decision.Outcome = usher.OutcomeRan
			decision.AnswerSHA256 = string(event.Digest)
			decision.AnswerBytes = out.written
			decision.Duration = usher.Duration(time.Since(accepted.started))
			accepted.copies.Same = event.Held
			e.finish(decision, accepted.copies)
			out.write("data: [DONE]\n\n")
			return
		}
		digest.Write(event.Data)
		out.event(event.Data)
	}
}

// nextEvent waits for the next event, or returns why there will be none.
func (e *Entry) nextEvent(ctx context.Context, accepted *request, stream *incoming) (wire.Event, *usher.Refusal) {
	select {
	case event := <-stream.events:
		if event.End == wire.EndBroken {
			return event, event.Refusal
		}
		return event, nil
	case <-ctx.Done():
		return wire.Event{}, e.withdraw(accepted, stream.peer, endOf(ctx))
	}
}

// streamWriter writes events to the caller, flushing each.
type streamWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	written    int64
}

func (s *streamWriter) event(data []byte) {
	line := make([]byte, 0, len(data)+len("data: \n\n"))
	line = append(line, "data: "...)
	line = append(line, data...)
	line = append(line, "\n\n"...)
	s.written += int64(len(data))
	_, _ = s.w.Write(line)
	_ = s.controller.Flush()
}

func (s *streamWriter) write(text string) {
	_, _ = s.w.Write([]byte(text))
	_ = s.controller.Flush()
}

// abort ends the connection without the mark of a whole answer.
func (s *streamWriter) abort(refusal *usher.Refusal) {
	encoded, err := json.Marshal(errorBody{Error: refusal})
	if err == nil {
		s.write("event: error\ndata: " + string(encoded) + "\n\n")
	}
	panic(http.ErrAbortHandler)
}
