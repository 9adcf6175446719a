package entry

import (
	"sync"
	"sync/atomic"

	"filbertusher/pkg/usher"
)

// inFlightRequests holds the requests in progress, so that a shutdown can log
// those that it is about to abort.
type inFlightRequests struct {
	requests sync.Map
	count    atomic.Int64
}

// add adds a request and returns a function that removes it.
func (f *inFlightRequests) add(req *request) (remove func()) {
	f.requests.Store(req.ID, req)
	f.count.Add(1)
	return func() {
		f.requests.Delete(req.ID)
		f.count.Add(-1)
	}
}

// maxReportedRequests is the maximum number of requests that are logged when the
// drain timeout expires, and listed in the diagnostic dump.
const maxReportedRequests = 100

// logUnfinished logs the requests still in flight when the drain timeout
// expires, before they are aborted.
func (e *Entry) logUnfinished() {
	schedule := e.stop.schedule.Load()
	reported := 0
	e.inFlight.requests.Range(func(_, value any) bool {
		req := value.(*request)
		line := e.Log.Warn().Str("requestId", string(req.ID)).Str("workspace", string(req.Workspace)).
			Str("tier", string(req.Tier)).Bool("stream", req.Stream)
		addStopTimes(line, schedule, req)
		line.Msg("drainCuts")
		reported++
		return reported < maxReportedRequests
	})
	e.Log.Warn().Int64("requests", e.inFlight.count.Load()).Msg("drainTimeout")
}

// ids returns the IDs of up to limit requests in flight, for the diagnostic dump.
func (f *inFlightRequests) ids(limit int) []usher.RequestID {
	var ids []usher.RequestID
	f.requests.Range(func(_, value any) bool {
		ids = append(ids, value.(*request).ID)
		return len(ids) < limit
	})
	return ids
}
