// Package load replays mixes of requests against entries, or against baseline
// policies, and writes the result of each request as one JSON line.
package load

import (
	"time"

	"filbertusher/pkg/usher"
)

// LineKind is the kind of a line in a results file.
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

// Run identifies one run of an experiment. Load is a multiple of the engines'
// capacity. Durations in the lines are in nanoseconds.
type Run struct {
	Mix string `json:"mix"`
	// Policy is PolicyOurs, PolicyPrevious or a baseline.
	Policy string  `json:"policy"`
	Load   float64 `json:"load"`
	Seed   uint64  `json:"seed"`
}

// Result is the result of one request, as its client saw it. FirstToken and Total
// are measured from Sent. Status is the HTTP status, or 0 if there was no response.
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
	// OnTime is set if the answer was complete, correct and within the deadline.
	OnTime bool `json:"onTime"`
	// Damaged is set if the answer looked complete but was not the correct one.
	Damaged bool `json:"damaged,omitempty"`
}

// Mark records a fault or a change that was injected during the run. At is the
// time since the run began.
type Mark struct {
	Run
	At    time.Duration `json:"at"`
	Label string        `json:"what"`
}

// Totals is the cumulative work of all engines in a run up to the time At, in
// tokens.
type Totals struct {
	Run
	At            time.Duration `json:"at"`
	PrefillTokens int64         `json:"prefillTokens"`
	ReusedTokens  int64         `json:"reusedTokens"`
	WastedPrefill int64         `json:"wastedPrefill"`
	DecodeTokens  int64         `json:"decodeTokens"`
	// WastedBy breaks the wasted prefill down by cause.
	WastedBy map[string]int64 `json:"wastedBy,omitempty"`
}
