package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"time"

	"filbertusher/pkg/usher"
)

// hashResponse adds a chunk of the response body to its digest.
func (h *requestHandler) hashResponse(chunk []byte) {
	if h.responseHash == nil {
		h.responseHash = sha256.New()
	}
	_, _ = h.responseHash.Write(chunk)
	h.responseBytes += int64(len(chunk))
}

// responseHasher writes to the digest of the response body.
type responseHasher struct{ *requestHandler }

// Write implements io.Writer.
func (h responseHasher) Write(chunk []byte) (int, error) {
	h.hashResponse(chunk)
	return len(chunk), nil
}

// record writes the decision on the request to the decision record. Refusals of
// unidentified callers are only counted, because anybody can cause them. The key is
// the ID that the caller chose. The record's own IDs are consecutive, so that a
// missing entry is noticed.
//
// No other process holds a copy: decisions since the last stored batch are lost if
// this process crashes. docs/OPERATIONS.md says how many that may be.
func (h *requestHandler) record(total time.Duration) {
	recorder := h.gateway.Recorder
	id := h.gateway.IDs.Next()
	if h.workspace == nil && h.refusalKind != "" {
		recorder.CountRefusal(h.refusalKind)
		return
	}
	decision := usher.Decision{
		Time: h.arrived, ID: id, View: usher.ViewEntry, Key: string(h.headers.ID), Service: h.service,
		ConfigVersion: h.version, Endpoint: h.endpoint,
		Attempts: usher.Attempt(h.attempts), Outcome: h.outcome, Refusal: h.refusalKind, Status: h.status,
		Duration: usher.Duration(total), Why: h.detail,
	}
	if h.route != nil {
		// A gateway has no tiers; its records hold the rank instead.
		decision.Tier = usher.TierName(strconv.Itoa(int(h.rank())))
	}
	if h.workspace != nil {
		decision.Workspace = h.workspace.Name
	}
	sum := sha256.Sum256(h.body)
	decision.RequestSHA256 = hex.EncodeToString(sum[:])
	if h.responseHash != nil {
		decision.AnswerSHA256, decision.AnswerBytes = hex.EncodeToString(h.responseHash.Sum(nil)), h.responseBytes
	}
	recorder.Record(context.Background(), decision, usher.DecisionCopies{LastConfirmed: true})
}
