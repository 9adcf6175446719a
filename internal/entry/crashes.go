package entry

import (
	"filbertusher/internal/suspect"
	"filbertusher/pkg/usher"
)

// checkCrashLimit sets the number of endpoint crashes during executions of the
// request, and refuses the request once that reaches MaxCrashes. It is called
// before each attempt, because the previous attempt may have ended in a crash.
func (e *Entry) checkCrashLimit(req *request) *usher.Refusal {
	header := &req.RequestHeader
	header.Crashes = e.Suspects.Crashes(func() suspect.Fingerprint { return suspect.FingerprintOf(header) })
	if header.Crashes < e.options.MaxCrashes {
		return nil
	}
	return usher.NewRefusal(usher.RefusalCrashSuspect, "the request was in endpoints that crashed and is not run any more")
}
