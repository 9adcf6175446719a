package entry

import (
	"context"
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
		refusal = accepted.honest(refusal).WithRequestID(accepted.ID)
		decision.Outcome, decision.Refusal = refusal.Outcome, refusal.Kind
		decision.Why = refusal.Message
		accepted.setHeld(accepted.heldAs(nil, refusal))
		e.finish(decision, accepted.copies)
		writeRefusal(w, refusal)
		return
	}
	decision.Outcome, decision.Status = usher.OutcomeRan, answer.Status
	decision.AnswerSHA256 = string(answer.Digest())
	decision.AnswerBytes = int64(len(answer.Body))
	accepted.setHeld(accepted.heldAs(answer, nil))
	e.finish(decision, accepted.copies)
	writeAnswer(w, answer)
}

// honest keeps a refusal from promising "not run" when an earlier attempt of
// the request may have run: that attempt's refusal is the one to tell. One
// that was made without asking for the key speaks of this attempt only.
func (r *request) honest(refusal *usher.Refusal) *usher.Refusal {
	if r.Key != "" && !r.Idempotent && !r.keyed {
		return refusal.ForAttempt()
	}
	if len(r.unsure) == 0 || refusal.Outcome != usher.OutcomeNotRun {
		return refusal
	}
	return r.unsure[len(r.unsure)-1]
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
	candidates := formatCandidates(decision.Candidates)
	e.explained.add(&decision, candidates)
	e.Log.Info().
		Str("requestId", string(decision.ID)).
		Str("workspace", string(decision.Workspace)).
		Str("service", string(decision.Service)).
		Str("tier", string(decision.Tier)).
		Str("endpoint", string(decision.Endpoint)).
		Int("attempts", int(decision.Attempts)).
		Str("outcome", string(decision.Outcome)).
		Str("refusal", string(decision.Refusal)).
		Str("candidates", candidates).
		Str("why", decision.Why).
		Dur("duration", time.Duration(decision.Duration)).
		Msg("requestEnded")
}

func (r *request) decision() usher.Decision {
	decision := usher.Decision{
		Time: r.recordedTime(), ID: r.ID, Workspace: r.Workspace, TokenName: r.tokenName,
		View: usher.ViewEntry, Service: r.Service, Tier: r.Tier, Key: string(r.Key),
		ConfigVersion: r.snapshot.Version, Candidates: r.recordedCandidates(), Endpoint: r.endpoint,
		Why:      r.why,
		Attempts: r.Attempt, RequestSHA256: string(r.Digest),
		Duration: usher.Duration(time.Since(r.started).Round(recordPrecision)),
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
// caller can take a part for the whole. One that fails before its first event
// is refused like a whole answer.
func (e *Entry) deliverStream(ctx context.Context, w http.ResponseWriter, accepted *request, stream *incoming) {
	defer stream.close()
	out := newStreamWriter(w, accepted)
	defer out.close()
	var events []wire.Event
	for {
		var refusal *usher.Refusal
		events, refusal = e.nextEvents(ctx, accepted, stream, events)
		end := out.take(events)
		if refusal == nil && end.End == wire.EndBroken {
			refusal = end.Refusal
		}
		if refusal == nil && end.End == wire.EndWhole && end.Digest != out.sum() {
			refusal = usher.NewUnknown(usher.RefusalInternal, "the answer was damaged on its way")
		}
		switch {
		case refusal != nil && !out.begun:
			e.end(w, accepted, nil, refusal)
			return
		case refusal != nil:
			e.finishStream(accepted, out, end.Held && refusal == end.Refusal, refusal)
			out.abort(refusal.WithRequestID(accepted.ID))
		case end.End == wire.EndWhole:
			e.finishStream(accepted, out, end.Held, nil)
			out.write([]byte(doneEvent))
			out.flush()
			return
		default:
			out.flush()
		}
	}
}

// nextEvents waits for events, or returns why there will be none.
func (e *Entry) nextEvents(ctx context.Context, accepted *request, stream *incoming, into []wire.Event) ([]wire.Event, *usher.Refusal) {
	events, refusal := stream.read(ctx, into)
	switch {
	case refusal != nil:
		// The companion may still be at work on it.
		stream.peer.withdrawLater(accepted.ID)
	case events == nil:
		refusal = e.withdraw(accepted, stream.peer, stream, endOf(ctx))
	}
	return events, refusal
}

// finishStream records how a stream ended. held says that the companion holds
// a copy of this end.
func (e *Entry) finishStream(accepted *request, out *streamWriter, held bool, refusal *usher.Refusal) {
	decision := accepted.decision()
	decision.AnswerBytes = out.written
	if refusal != nil {
		decision.Outcome, decision.Refusal = refusal.Outcome, refusal.Kind
	} else {
		decision.Outcome = usher.OutcomeRan
		decision.AnswerSHA256 = string(out.sum())
	}
	accepted.setHeld(held)
	e.finish(decision, accepted.copies)
}
