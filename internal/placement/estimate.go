package placement

import (
	"time"

	"filbertusher/pkg/usher"
)

const (
	// defaultDecodePerToken and defaultPrefillPerToken are assumed for an
	// endpoint without a report. They are fast, so that a new endpoint is tried.
	defaultDecodePerToken  = 5 * time.Millisecond
	defaultPrefillPerToken = 20 * time.Microsecond
)

// work returns how long a request is expected to run in the engine.
func (r *receivedReport) work(header *usher.RequestHeader, reused usher.Tokens) time.Duration {
	prefill, decode := defaultPrefillPerToken, defaultDecodePerToken
	if r != nil && r.DecodePerToken > 0 {
		prefill, decode = r.PrefillPerToken, r.DecodePerToken
	}
	uncached := max(0, header.Cost.PromptTokens-reused)
	return time.Duration(uncached)*prefill + time.Duration(header.Cost.AnswerTokens+1)*decode
}

// estimateFinish returns how long a request is expected to take at the endpoint,
// including the wait.
//
// The wait is that of the report, less the time that has passed since, plus the
// work that this process has sent since. There is no wait for a slot while the
// report leaves one free. Other entries, the processes that accept requests from
// callers, send requests as well; these appear in the next report. Every reply
// and every batch of stream events carries a report.
func (e *endpoint) estimateFinish(report *receivedReport, header *usher.RequestHeader, reused usher.Tokens, now time.Time) time.Duration {
	work := report.work(header, reused)
	if report == nil || report.Limit == 0 {
		return work + time.Duration(e.inFlight.Load())*work
	}
	sent := e.sentCount.Load() - report.sentCount
	wait := report.PrefillBacklog - now.Sub(report.Taken)
	if int64(report.Running+report.Waiting)+sent >= int64(report.Limit) {
		wait = max(wait, report.ExpectedWait(header.Rank)-now.Sub(report.Taken))
		wait = max(0, wait) + time.Duration(e.sentWork.Load()-report.sentWork)/time.Duration(report.Limit)
	}
	return work + max(0, wait)
}
