package entry

import (
	"sync"
	"sync/atomic"

	"filbertusher/pkg/usher"
)

// inflight holds the requests that the entry works on, so that a planned stop
// can name those that it would have to cut.
type inflight struct {
	requests sync.Map
	count    atomic.Int64
}

// enter adds a request and returns what removes it.
func (f *inflight) enter(accepted *request) (leave func()) {
	f.requests.Store(accepted.ID, accepted)
	f.count.Add(1)
	return func() {
		f.requests.Delete(accepted.ID)
		f.count.Add(-1)
	}
}

// maxReported bounds how many requests are named when a drain runs out.
const maxReported = 100

// reportCut names the requests that are still in flight at the end of a drain,
// before anything happens to them.
func (e *Entry) reportCut() {
	left := 0
	e.inflight.requests.Range(func(_, value any) bool {
		accepted := value.(*request)
		e.Log.Warn().Str("requestId", string(accepted.ID)).Str("workspace", string(accepted.Workspace)).
			Str("tier", string(accepted.Tier)).Bool("stream", accepted.Stream).Msg("drainCuts")
		left++
		return left < maxReported
	})
	e.Log.Warn().Int64("requests", e.inflight.count.Load()).Msg("drainTimeout")
}

// ids returns the ids of at most most requests in flight, for the dump.
func (f *inflight) ids(most int) []usher.RequestID {
	var ids []usher.RequestID
	f.requests.Range(func(_, value any) bool {
		ids = append(ids, value.(*request).ID)
		return len(ids) < most
	})
	return ids
}
