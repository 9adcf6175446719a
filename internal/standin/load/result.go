// Package load replays mixes of requests against entries and writes what came
// of each as one JSON line.
package load

import (
	"time"

	"filbertusher/pkg/usher"
)

// LineKind tells the lines of a results file apart.
type LineKind string

// The kinds of lines.
const (
	LineResult LineKind = "result"
	LineMark   LineKind = "mark"
	LineTotals LineKind = "totals"
)

// Line is one line of a results file. Exactly one of the pointers is set.
type Line struct {
	Kind   LineKind `json:"kind"`
	Result *Result  `json:"result,omitempty"`
	Mark   *Mark    `json:"mark,omitempty"`
	Totals *Totals  `json:"totals,omitempty"`
}

// Run names one run of an experiment. Durations in lines are nanoseconds.
type Run struct {
	Mix string `json:"mix"`
	// Policy is ours or a baseline.
	Policy string  `json:"policy"`
	Load   float64 `json:"load"`
	Seed   uint64  `json:"seed"`
}

// Result is what came of one request.
type Result struct {
	Run
	// Sent is the time since the run began.
	Sent         time.Duration       `json:"sent"`
	Workspace    usher.WorkspaceName `json:"workspace"`
	Tier         usher.TierName      `json:"tier"`
	Rank         usher.Rank          `json:"rank"`
	Class        string              `json:"class"`
	PromptTokens usher.Tokens        `json:"promptTokens"`
	AnswerTokens usher.Tokens        `json:"answerTokens"`
	Status       int                 `json:"status"`
	Outcome      usher.Outcome       `json:"outcome"`
	Refusal      usher.RefusalKind   `json:"refusal,omitempty"`
	FirstToken   time.Duration       `json:"firstToken"`
	Total        time.Duration       `json:"total"`
	Deadline     time.Duration       `json:"deadline"`
	// OnTime answers were whole, the caller's own, and within the deadline.
	OnTime bool `json:"onTime"`
	// Damaged answers looked whole but were not the caller's own whole answer.
	Damaged bool `json:"damaged,omitempty"`
}

// Mark is a fault or change that was made at a moment of the run.
type Mark struct {
	Run
	At   time.Duration `json:"at"`
	What string        `json:"what"`
}

// Totals is the work that the engines did in a run up to a moment.
type Totals struct {
	Run
	At            time.Duration `json:"at"`
	PrefillTokens int64         `json:"prefillTokens"`
	ReusedTokens  int64         `json:"reusedTokens"`
	WastedPrefill int64         `json:"wastedPrefill"`
	DecodeTokens  int64         `json:"decodeTokens"`
	// WastedBy splits the wasted prefill by cause.
	WastedBy map[string]int64 `json:"wastedBy,omitempty"`
}
