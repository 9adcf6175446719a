package usher

import (
	"context"
	"time"
)

// The record is kept by two kinds of processes. The entry that decided on a
// request is its writer: it alone turns decisions into stored batches. A
// companion is a keeper: it holds a copy of what it answered, or of what an
// entry asked it to hold, until the writer says that the batch is stored, and
// stores the copy itself when the writer does not say so in time.

// RecordView says whose knowledge a decision is.
type RecordView string

const (
	// ViewEntry is what the caller was told; it supersedes ViewCompanion.
	ViewEntry RecordView = "entry"
	// ViewCompanion is what the endpoint's companion saw.
	ViewCompanion RecordView = "companion"
)

// Decision is one line of the record: what was decided on a request and why.
// It never holds a bearer token or a body.
type Decision struct {
	Time          time.Time     `json:"time"`
	ID            RequestID     `json:"id"`
	View          RecordView    `json:"view,omitempty"`
	Workspace     WorkspaceName `json:"workspace"`
	TokenName     string        `json:"tokenName,omitempty"`
	Service       ServiceName   `json:"service"`
	Tier          TierName      `json:"tier"`
	Key           string        `json:"key,omitempty"`
	ConfigVersion Version       `json:"configVersion"`
	Preset        PresetName    `json:"preset"`
	Candidates    []Candidate   `json:"candidates,omitempty"`
	Endpoint      EndpointName  `json:"endpoint,omitempty"`
	Attempts      Attempt       `json:"attempts"`
	Outcome       Outcome       `json:"outcome"`
	Refusal       RefusalKind   `json:"refusal,omitempty"`
	// Status is the endpoint's HTTP status, when it answered.
	Status        int      `json:"status,omitempty"`
	RequestSHA256 string   `json:"requestSha256,omitempty"`
	AnswerSHA256  string   `json:"answerSha256,omitempty"`
	AnswerBytes   int64    `json:"answerBytes,omitempty"`
	Duration      Duration `json:"duration"`
	// Why is the reason for the choice or refusal. It is logged and shown in
	// the dump, and not recorded.
	Why string `json:"-"`
}

// RecordContext is what a companion needs besides the header of a request to
// hold a whole decision.
type RecordContext struct {
	Time          time.Time
	TokenName     string
	ConfigVersion Version
	Preset        PresetName
	Candidates    []Candidate
}

// Copies says which companions may hold a copy of a decision.
type Copies struct {
	At []EndpointName
	// Same is true when the last of them told that it holds this very
	// outcome, so that no further copy is needed.
	Same bool
	// By is the incarnation that told so. The copy dies with it.
	By Incarnation
}

// Recorder is the writer's side of the record.
type Recorder interface {
	// Accept says whether a request of the rank may still be run; when the
	// backlog is full it returns a *Refusal.
	Accept(rank Rank) error
	// Record keeps a decision until it is stored. It returns when a second
	// process holds the decision too, or when none could be found in time.
	Record(ctx context.Context, decision Decision, copies Copies)
	// Count counts a refusal that has no line of its own: one of a caller who
	// is not known, or one that was given because the backlog is full.
	Count(kind RefusalKind)
}

// RecordKeeper is the companion's side of the record.
type RecordKeeper interface {
	// Accept says whether a request of the rank may still be run; when the
	// copies fill their bound it returns a *Refusal.
	Accept(rank Rank) error
	// Hold keeps a copy of a decision for the entry incarnation that the
	// request came from, and says whether it did.
	Hold(decision Decision) bool
	// Holds says whether a copy of the request's decision is held.
	Holds(id RequestID) bool
}
