package usher

import (
	"context"
	"time"
)

// The record is the durable log of decisions on requests. Two kinds of processes
// maintain it. The entry that decided on a request is the writer: it batches
// decisions and stores the batches. A companion is a replica: it holds a copy of
// what it answered, or of what an entry asked it to hold, until the writer
// confirms that the batch is stored. If no confirmation comes in time, it stores
// the copy itself.

// RecordView tells which process observed a decision.
type RecordView string

const (
	// ViewEntry is what the caller was sent; it supersedes ViewCompanion.
	ViewEntry RecordView = "entry"
	// ViewCompanion is what the endpoint's companion observed.
	ViewCompanion RecordView = "companion"
)

// Decision is one line of the record: what was decided on a request and on which
// grounds. It never contains a bearer token or a body. Key is the idempotency key
// or, from a gateway instance, the ID that the caller chose.
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
	// Status is the endpoint's HTTP status, if it responded.
	Status        int      `json:"status,omitempty"`
	RequestSHA256 string   `json:"requestSha256,omitempty"`
	AnswerSHA256  string   `json:"answerSha256,omitempty"`
	AnswerBytes   int64    `json:"answerBytes,omitempty"`
	Duration      Duration `json:"duration"`
	// Why is the reason for the choice or rejection. It is logged and shown in
	// the diagnostic dump, but not recorded.
	Why string `json:"-"`
}

// RecordContext is what a companion needs in addition to a request's header to
// build a complete Decision.
type RecordContext struct {
	Time          time.Time
	TokenName     string
	ConfigVersion Version
	Preset        PresetName
	Candidates    []Candidate
}

// DecisionCopies lists the companions that may hold a copy of a decision.
type DecisionCopies struct {
	Holders []EndpointName
	// LastConfirmed is set if the last companion in Holders confirmed that it holds
	// this exact outcome, so that no further copy is needed.
	LastConfirmed bool
	// ConfirmedBy is the incarnation that confirmed it. The copy is lost when it ends.
	ConfirmedBy Incarnation
}

// Recorder is the writer's side of the record: it batches and stores decisions.
type Recorder interface {
	// CheckCapacity returns a *Refusal if the backlog of unstored decisions is too full
	// to run a request of the rank.
	CheckCapacity(rank Rank) error
	// Record buffers a decision until it is stored. It returns when a second
	// process holds a copy, or when none could be found in time.
	Record(ctx context.Context, decision Decision, copies DecisionCopies)
	// CountRefusal counts a rejection that gets no line of its own: the caller is
	// unknown or the backlog is full.
	CountRefusal(kind RefusalKind)
}

// RecordReplica is the companion's side of the record: it holds copies of
// decisions until the writer has stored them.
type RecordReplica interface {
	// CheckCapacity returns a *Refusal if the copies take too much of their memory
	// limit to run a request of the rank.
	CheckCapacity(rank Rank) error
	// Hold keeps a copy of a decision for the entry incarnation that sent the
	// request, and reports whether there was room for it.
	Hold(decision Decision) bool
	// Holds reports whether a copy of the request's decision is held.
	Holds(id RequestID) bool
}
