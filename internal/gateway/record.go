package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"time"

	"filbertusher/pkg/usher"
)

// noteAnswer adds a piece of the answer to its digest.
func (j *job) noteAnswer(piece []byte) {
	if j.digest == nil {
		j.digest = sha256.New()
	}
	_, _ = j.digest.Write(piece)
	j.length += int64(len(piece))
}

// record puts the decision on the request into the record. Refusals of callers
// who are not known are only counted, because anybody can cause them. The id that
// the caller chose is the key; the record's own id counts, so that a line that is
// missing shows.
//
// No other process holds a copy: what was decided since the last batch is lost
// with this process. docs/OPERATIONS.md says how much that is.
func (j *job) record(total time.Duration) {
	recorder := j.gateway.Recorder
	id := j.gateway.IDs.Next()
	if j.workspace == nil && j.refusal != "" {
		recorder.Count(j.refusal)
		return
	}
	decision := usher.Decision{
		Time: j.arrived, ID: id, View: usher.ViewEntry, Key: string(j.head.ID), Service: j.service,
		ConfigVersion: j.version, Endpoint: j.endpoint,
		Attempts: usher.Attempt(j.attempts), Outcome: j.outcome, Refusal: j.refusal, Status: j.status,
		Duration: usher.Duration(total), Why: j.detail,
	}
	if j.route != nil {
		decision.Tier = usher.TierName(strconv.Itoa(int(j.rank())))
	}
	if j.workspace != nil {
		decision.Workspace = j.workspace.Name
	}
	sum := sha256.Sum256(j.body)
	decision.RequestSHA256 = hex.EncodeToString(sum[:])
	if j.digest != nil {
		decision.AnswerSHA256, decision.AnswerBytes = hex.EncodeToString(j.digest.Sum(nil)), j.length
	}
	recorder.Record(context.Background(), decision, usher.Copies{Same: true})
}
