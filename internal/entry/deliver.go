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

// refuse responds to a request that was refused before it got an ID. It is
// counted but has no line in the record.
func (e *Entry) refuse(w http.ResponseWriter, refusal *usher.Refusal) {
	e.metrics.refused(1)
	e.Recorder.CountRefusal(refusal.Kind)
	writeRefusal(w, refusal)
	e.Log.Info().Str("refusal", string(refusal.Kind)).Str("outcome", string(refusal.Outcome)).Msg("requestRefused")
}

// respond records the decision, then writes a complete response or a refusal.
// req is nil if the request was refused before its caller was known.
func (e *Entry) respond(w http.ResponseWriter, req *request, response *usher.Response, refusal *usher.Refusal) {
	if req == nil {
		e.refuse(w, refusal)
		return
	}
	w.Header().Set(headerRequestID, string(req.ID))
	decision := req.decision()
	if refusal != nil {
		refusal = req.correctOutcome(refusal).WithRequestID(req.ID)
		if refusal.Kind == usher.RefusalLeaving && e.stop.hasBegun() {
			refusal = refusal.WithRetryAfter(e.stop.retryAfter())
		}
		decision.Outcome, decision.Refusal = refusal.Outcome, refusal.Kind
		decision.Why = refusal.Message
		req.setCopyHeld(req.companionHolds(nil, refusal))
		e.recordDecision(req, decision)
		writeRefusal(w, refusal)
		return
	}
	decision.Outcome, decision.Status = usher.OutcomeRan, response.Status
	decision.AnswerSHA256 = string(response.Digest())
	decision.AnswerBytes = int64(len(response.Body))
	req.setCopyHeld(req.companionHolds(response, nil))
	e.recordDecision(req, decision)
	if e.options.Memory != nil {
		e.options.Memory.Take(int64(len(response.Body)))
		defer e.options.Memory.Give(int64(len(response.Body)))
	}
	writeResponse(w, response)
}

// correctOutcome replaces a refusal with outcome "not run" if an earlier attempt
// may have run: that attempt's refusal is returned instead. A refusal made
// without looking up the idempotency key is limited to this attempt.
func (r *request) correctOutcome(refusal *usher.Refusal) *usher.Refusal {
	if r.Key != "" && !r.Idempotent && !r.refusalsCoverKey {
		return refusal.ForAttempt()
	}
	if len(r.unknownRefusals) == 0 || refusal.Outcome != usher.OutcomeNotRun {
		return refusal
	}
	return r.unknownRefusals[len(r.unknownRefusals)-1]
}

// recordDecision counts, records and logs a decision. It does not use the
// request's context, so that requests of disconnected callers are recorded too.
func (e *Entry) recordDecision(req *request, decision usher.Decision) {
	switch {
	case decision.Outcome == usher.OutcomeUnknown:
		e.metrics.unknown(1)
	case decision.Refusal != "":
		e.metrics.refused(1)
	default:
		e.metrics.answered(1)
	}
	if decision.Refusal == usher.RefusalRecordFull {
		e.Recorder.CountRefusal(decision.Refusal)
	} else {
		e.Recorder.Record(context.Background(), decision, req.copies)
	}
	candidates := formatCandidates(decision.Candidates)
	e.recentDecisions.add(&decision, candidates)
	line := e.Log.Info().
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
		Dur("duration", time.Duration(decision.Duration))
	e.stop.note(line, req, &decision)
	line.Msg("requestEnded")
}

func (r *request) decision() usher.Decision {
	decision := usher.Decision{
		Time: r.recordedTime(), ID: r.ID, Workspace: r.Workspace, TokenName: r.tokenName,
		View: usher.ViewEntry, Service: r.Service, Tier: r.Tier, Key: string(r.Key),
		ConfigVersion: r.snapshot.Version, Candidates: r.recordedCandidates(), Endpoint: r.endpoint,
		Why:      r.reason,
		Attempts: r.Attempt, RequestSHA256: string(r.Digest),
		Duration: usher.Duration(time.Since(r.started).Round(recordPrecision)),
	}
	if r.snapshot.ActivePreset != nil {
		decision.Preset = r.snapshot.ActivePreset.Name
	}
	return decision
}

func writeResponse(w http.ResponseWriter, response *usher.Response) {
	if response.ContentType != "" {
		w.Header().Set("Content-Type", response.ContentType)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(response.Body)))
	w.WriteHeader(response.Status)
	controller := http.NewResponseController(w)
	for rest := response.Body; len(rest) > 0; {
		// The memory of the body is held until the caller has read it.
		_ = controller.SetWriteDeadline(time.Now().Add(callerReadGrace))
		n, err := w.Write(rest[:min(len(rest), responseChunkBytes)])
		if err != nil {
			return
		}
		rest = rest[n:]
	}
	_ = controller.SetWriteDeadline(time.Time{})
}

// responseChunkBytes is how much of a response a caller has to read within callerReadGrace.
const responseChunkBytes = 64 << 10

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

// deliverStream forwards the events of a stream as they arrive. If the end of
// the stream is lost, it sends an error event and aborts the connection, so that
// no caller mistakes a truncated response for a complete one. A stream that
// fails before its first event gets a refusal with an HTTP error status.
func (e *Entry) deliverStream(ctx context.Context, w http.ResponseWriter, req *request, stream *incomingStream) {
	defer stream.close()
	out := newStreamWriter(w, req)
	defer out.close()
	var events []wire.Event
	for {
		var refusal *usher.Refusal
		events, refusal = e.nextEvents(ctx, req, stream, events)
		end := out.writeEvents(events)
		if refusal == nil && end.End == wire.EndIncomplete {
			refusal = end.Refusal
		}
		if refusal == nil && end.End == wire.EndComplete && end.Digest != out.sum() {
			refusal = usher.NewUnknownOutcome(usher.RefusalInternal, "the answer was damaged on its way")
		}
		switch {
		case refusal != nil && !out.headerSent:
			e.respond(w, req, nil, refusal)
			return
		case refusal != nil:
			e.recordStreamEnd(req, out, end.Held && refusal == end.Refusal, refusal)
			out.abort(refusal.WithRequestID(req.ID))
		case end.End == wire.EndComplete:
			e.recordStreamEnd(req, out, end.Held, nil)
			out.write([]byte(doneEvent))
			out.flush()
			return
		default:
			out.flush()
		}
	}
}

// nextEvents waits for events, or returns the refusal that ends the stream.
func (e *Entry) nextEvents(ctx context.Context, req *request, stream *incomingStream, into []wire.Event) ([]wire.Event, *usher.Refusal) {
	events, refusal := stream.read(ctx, into)
	switch {
	case refusal != nil:
		// The companion may still be processing the request.
		stream.peer.queueWithdrawal(req.ID)
	case events == nil:
		refusal = e.withdraw(req, stream.peer, stream, contextRefusalKind(ctx))
	}
	return events, refusal
}

// recordStreamEnd records how a stream ended. copyHeld says that the companion
// holds a copy of this outcome for the record.
func (e *Entry) recordStreamEnd(req *request, out *streamWriter, copyHeld bool, refusal *usher.Refusal) {
	decision := req.decision()
	decision.AnswerBytes = out.written
	if refusal != nil {
		decision.Outcome, decision.Refusal = refusal.Outcome, refusal.Kind
	} else {
		decision.Outcome = usher.OutcomeRan
		decision.AnswerSHA256 = string(out.sum())
	}
	req.setCopyHeld(copyHeld)
	e.recordDecision(req, decision)
}
