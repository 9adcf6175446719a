package entry

import (
	"filbertusher/internal/suspect"
	"filbertusher/pkg/usher"
)

// suspected notes in the request how often it was in an endpoint that crashed,
// and refuses it when that was too often. Before each attempt it is asked anew,
// because the attempt before may have been such a crash.
func (e *Entry) suspected(accepted *request) *usher.Refusal {
	header := &accepted.RequestHeader
	header.Crashes = e.Suspects.Crashes(func() suspect.Fingerprint { return suspect.FingerprintOf(header) })
	if header.Crashes < e.options.MaxCrashes {
		return nil
	}
	return usher.NewRefusal(usher.RefusalSuspect, "the request was in endpoints that crashed and is not run any more")
}
