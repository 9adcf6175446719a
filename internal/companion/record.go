package companion

import (
	"time"

	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

// holdDecision keeps a copy of an outcome for the record before the entry receives
// the reply, so that from then on two processes hold it. It returns whether the
// copy is held.
func (c *Companion) holdDecision(args *wire.SubmitArgs, reply *wire.SubmitReply) bool {
	decision := c.newDecision(args)
	switch reply.State {
	case wire.StateAnswered:
		decision.Outcome, decision.Status = usher.OutcomeRan, reply.Answer.Status
		decision.AnswerSHA256 = string(reply.Answer.Digest())
		decision.AnswerBytes = int64(len(reply.Answer.Body))
	case wire.StateRefused:
		decision.Outcome, decision.Refusal = reply.Refusal.Outcome, reply.Refusal.Kind
	default:
		return false
	}
	return c.RecordReplica.Hold(decision)
}

// holdStreamEnd keeps a copy of the outcome of a streamed response.
func (c *Companion) holdStreamEnd(args *wire.SubmitArgs, event *wire.Event, size int64) {
	decision := c.newDecision(args)
	decision.Outcome = usher.OutcomeRan
	if event.Refusal != nil {
		decision.Outcome, decision.Refusal = event.Refusal.Outcome, event.Refusal.Kind
	}
	decision.AnswerSHA256, decision.AnswerBytes = string(event.Digest), size
	event.Held = c.RecordReplica.Hold(decision)
}

// newDecision returns the fields of a decision that are known before the request
// has ended.
func (c *Companion) newDecision(args *wire.SubmitArgs) usher.Decision {
	return usher.Decision{
		Time: args.Record.Time, ID: args.Header.ID, View: usher.ViewCompanion,
		Workspace: args.Header.Workspace, TokenName: args.Record.TokenName,
		Service: args.Header.Service, Tier: args.Header.Tier, Key: string(args.Header.Key),
		ConfigVersion: args.Record.ConfigVersion, Preset: args.Record.Preset,
		Candidates: args.Record.Candidates, Endpoint: c.options.Endpoint,
		Attempts: args.Header.Attempt, RequestSHA256: string(args.Header.Digest),
		Duration: usher.Duration(time.Since(args.Record.Time).Round(time.Millisecond)),
	}
}
