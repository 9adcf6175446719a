package entry

import (
	"filbertusher/internal/blame"
	"filbertusher/internal/suspect"
	"filbertusher/pkg/usher"
)

// checkCrashLimit sets the number of endpoint crashes during executions of the
// request, and refuses the request once that reaches MaxCrashes or its prompt begins like
// those of requests that crashed endpoints. It is called before each attempt, because the
// previous attempt may have ended in a crash.
func (e *Entry) checkCrashLimit(req *request) *usher.Refusal {
	header := &req.RequestHeader
	header.Crashes = e.Suspects.Crashes(func() suspect.Fingerprint { return suspect.FingerprintOf(header) })
	verdict := e.Blame.Check(func() []blame.Trait { return blame.Beginnings(header.Service, header.Prefix) })
	header.ProbesCrash = header.ProbesCrash || verdict == blame.Probe
	if header.Crashes < e.options.MaxCrashes && (verdict != blame.Refused || header.ProbesCrash) {
		return nil
	}
	return usher.NewRefusal(usher.RefusalCrashSuspect, "the request, or requests that begin like it, crashed endpoints and are not run any more")
}
