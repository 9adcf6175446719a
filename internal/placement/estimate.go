package placement

import (
	"time"

	"filbertusher/pkg/usher"
)

const (
	// defaultDecode and defaultPrefill are assumed of an endpoint that was
	// never heard of. They are fast, so that a new endpoint is tried.
	defaultDecode  = 5 * time.Millisecond
	defaultPrefill = 20 * time.Microsecond
)

// work is how long a request is expected to be in the engine.
func (r *seenReport) work(header *usher.RequestHeader, reused usher.Tokens) time.Duration {
	prefill, decode := defaultPrefill, defaultDecode
	if r != nil && r.DecodePerToken > 0 {
		prefill, decode = r.PrefillPerToken, r.DecodePerToken
	}
	fresh := max(0, header.Cost.PromptTokens-reused)
	return time.Duration(fresh)*prefill + time.Duration(header.Cost.AnswerTokens+1)*decode
}

// finish is how long a request is expected to take at the endpoint.
//
// The wait is that of the report, less the time that has passed since, plus
// what this process has sent since. It is zero while the report leaves a slot
// free. Other entries send as well; what they sent is in the next report, and
// reports ride on every reply and batch of tokens.
func (v *view) finish(report *seenReport, header *usher.RequestHeader, reused usher.Tokens, now time.Time) time.Duration {
	own := report.work(header, reused)
	if report == nil || report.Limit == 0 {
		return own + time.Duration(v.inFlight.Load())*own
	}
	sent := v.sentCount.Load() - report.sentCount
	wait := report.PrefillBacklog - now.Sub(report.Taken)
	if int64(report.Running+report.Waiting)+sent >= int64(report.Limit) {
		wait = max(wait, report.WaitOf(header.Rank)-now.Sub(report.Taken))
		wait = max(0, wait) + time.Duration(v.sentWork.Load()-report.sentWork)/time.Duration(report.Limit)
	}
	return own + max(0, wait)
}
