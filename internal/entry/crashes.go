package entry

import (
	"context"
	"sync"
	"time"

	"filbertusher/internal/blame"
	"filbertusher/internal/suspect"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

// inquiryTimeout bounds an inquiry for crashes. A companion that does not reply in time
// is not waited for.
const inquiryTimeout = time.Second

// checkCrashLimit sets the number of endpoint crashes during executions of the
// request, and refuses the request once that reaches MaxCrashes or its prompt begins like
// those of requests that crashed endpoints. It is called before each attempt, because the
// previous attempt may have ended in a crash.
func (e *Entry) checkCrashLimit(ctx context.Context, req *request) *usher.Refusal {
	header := &req.RequestHeader
	crashes := func() int {
		return e.Suspects.Crashes(func() suspect.Fingerprint { return suspect.FingerprintOf(header) })
	}
	header.Crashes = crashes()
	if header.Crashes > 0 && header.Crashes < e.options.MaxCrashes {
		// Another entry may have sent it since, with a crash that is not known here yet.
		e.crashInquiry.Await(ctx, e.inquireCrashes)
		header.Crashes = crashes()
	}
	verdict := e.Blame.Check(func() []blame.Trait { return blame.Beginnings(header.Service, header.Prefix) })
	header.ProbesCrash = header.ProbesCrash || verdict == blame.Probe
	if header.Crashes < e.options.MaxCrashes && (verdict != blame.Refused || header.ProbesCrash) {
		return nil
	}
	return usher.NewRefusal(usher.RefusalCrashSuspect, "the request, or requests that begin like it, crashed endpoints and are not run any more")
}

// inquireCrashes asks the companions that can be reached what they know of crashes.
func (e *Entry) inquireCrashes() {
	ctx, cancel := context.WithTimeout(context.Background(), inquiryTimeout)
	defer cancel()
	var asked sync.WaitGroup
	for _, peer := range e.peers.list() {
		if peer.connState.Load().reachability == reachLost {
			continue
		}
		asked.Go(func() {
			reply := &wire.PingReply{}
			if err := peer.call(ctx, wire.MethodPing, &wire.PingArgs{Caller: e.caller()}, reply); err != nil {
				e.Log.Debug().Err(err).Str("endpoint", string(peer.endpoint)).Msg("crashInquiryFailed")
				return
			}
			e.Suspects.Merge(reply.Suspects)
			e.Blame.Merge(reply.Blame)
		})
	}
	asked.Wait()
}
