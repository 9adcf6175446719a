package discovery

import (
	"context"
	"time"

	"filbertusher/internal/boottime"
	"filbertusher/internal/pause"
	"filbertusher/pkg/usher"
)

// registrationDelayFactor times the heartbeat interval is how long after it accepts
// connections an endpoint registers, at most.
const registrationDelayFactor = 1.25

// endpointList is a list of all endpoints, and when its call began.
type endpointList struct {
	began   boottime.Time
	entries []usher.EndpointChange
}

// HasNotRestarted reports whether an endpoint that accepts connections is still the same
// process. It waits until a process that took its place would have registered, and then
// asks the store. It returns false if that does not answer or ctx ends.
func (w *Watcher) HasNotRestarted(ctx context.Context, endpoint *usher.Registration) bool {
	pause.For(ctx, time.Duration(float64(w.options.Heartbeat)*registrationDelayFactor))
	since := boottime.Now()
	w.endpointInquiry.Await(ctx, w.listOnce)
	if ctx.Err() != nil {
		return false
	}
	list := w.listed.Load()
	return list != nil && list.began >= since && !list.hasSuccessor(endpoint)
}

// listOnce lists the endpoints for all calls of HasNotRestarted that wait for it.
func (w *Watcher) listOnce() {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	began := boottime.Now()
	entries, err := w.ListEndpoints(ctx)
	if err != nil {
		w.options.Log.Debug().Err(err).Msg("endpointsNotListed")
		return
	}
	w.listed.Store(&endpointList{began: began, entries: entries})
}

// hasSuccessor reports whether another process has registered under the name or the
// address of the endpoint, or may have. A missing registration is no sign of one:
// endpoints that leave serve on after they have withdrawn theirs.
func (l *endpointList) hasSuccessor(endpoint *usher.Registration) bool {
	for i := range l.entries {
		entry := &l.entries[i]
		isSame := !entry.Unreadable && entry.Name == endpoint.Name && entry.Born == endpoint.Born
		if !isSame && (entry.Name == endpoint.Name || entry.Address == endpoint.Address) {
			return true
		}
	}
	return false
}
