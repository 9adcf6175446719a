package companion

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"filbertusher/internal/blame"
	"filbertusher/internal/endpoint"
	"filbertusher/internal/suspect"
	"filbertusher/pkg/usher"
)

// crashProbeTimeout bounds the check whether an endpoint has crashed.
const crashProbeTimeout = time.Second

// listenChecker is implemented by backends whose protocol has no lookup of a
// request by ID. They can only be checked for whether they still accept
// connections.
type listenChecker interface {
	Listens(ctx context.Context) bool
}

// acquireRunLock acquires the run lock, which lets the request run: concurrently
// with others, or exclusively if it is suspected of having crashed an endpoint. It
// returns a refusal if the request must not run.
func (e *execution) acquireRunLock(ctx context.Context) *usher.Refusal {
	c := e.companion
	header := &e.request.Header
	crashes := max(header.Crashes, c.Suspects.Crashes(func() suspect.Fingerprint { return suspect.FingerprintOf(header) }))
	if crashes >= c.options.MaxCrashes {
		return usher.NewRefusal(usher.RefusalCrashSuspect, "the request was in endpoints that crashed and is not run any more")
	}
	verdict := c.Blame.Check(e.beginnings)
	if verdict == blame.Refused && !header.ProbesCrash {
		return usher.NewRefusal(usher.RefusalCrashSuspect, "requests that begin like this one crashed endpoints and are not run any more")
	}
	e.exclusive = crashes > 0 || header.ProbesCrash || verdict == blame.Probe
	if !c.runLock.Acquire(ctx, e.exclusive) {
		return usher.NewRefusal(usher.RefusalDeadlineExceeded, "the deadline passed while a suspected request ran alone")
	}
	e.holdsRunLock = true
	return nil
}

// releaseRunLock releases the run lock if acquireRunLock acquired it.
func (e *execution) releaseRunLock() {
	if e.holdsRunLock {
		e.holdsRunLock = false
		e.companion.runLock.Release()
	}
}

func (e *execution) beginnings() []blame.Trait {
	return blame.Beginnings(e.request.Header.Service, e.request.Header.Prefix)
}

// clearSuspicion clears the beginnings of a request that completed, and the request
// itself if it was suspected and ran exclusively.
func (e *execution) clearSuspicion() {
	e.companion.Blame.RecordAnswer(e.beginnings())
	if e.exclusive {
		e.companion.Suspects.MarkCleared(&e.request.Header)
		e.companion.queues.interruptCollects()
	}
}

// recordIfCrashed records the request as a suspect if its endpoint has crashed. It
// is called separately for each request that was running at the endpoint.
func (e *execution) recordIfCrashed(ctx context.Context, err error) {
	var refusal *usher.Refusal
	if ctx.Err() != nil || errors.As(err, &refusal) || !e.endpointCrashed(err) {
		return
	}
	c := e.companion
	header := &e.request.Header
	crashes := c.Suspects.RecordCrash(header)
	c.Blame.RecordCrash(e.beginnings(), c.crashes.keyFor(e.dispatchedAt))
	c.queues.interruptCollects()
	c.Log.Warn().Str("requestId", string(header.ID)).Str("workspace", string(header.Workspace)).
		Str("fingerprint", string(suspect.FingerprintOf(header))).Int("crashes", crashes).Bool("alone", e.exclusive).Msg("endpointCrashed")
}

// crashCounter numbers the crashes of the endpoint. Requests that were dispatched before a
// crash was noticed were lost in that crash.
type crashCounter struct {
	endpoint    usher.EndpointName
	incarnation usher.Incarnation

	mu      sync.Mutex
	count   int
	noticed time.Time
}

// keyFor returns the key of the crash in which a request was lost that was dispatched at
// the given time.
func (c *crashCounter) keyFor(dispatched time.Time) blame.CrashKey {
	c.mu.Lock()
	defer c.mu.Unlock()
	if dispatched.After(c.noticed) {
		c.count++
		c.noticed = time.Now()
	}
	return blame.CrashOf(c.endpoint, string(c.incarnation)+"-"+strconv.Itoa(c.count))
}

// endpointCrashed distinguishes a crash from a broken connection. After a crash
// the endpoint does not listen, or it listens again and no longer knows the
// request.
func (e *execution) endpointCrashed(err error) bool {
	var broken *usher.BackendError
	if errors.As(err, &broken) && !broken.Reached {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	if checker, ok := e.companion.Backend.(listenChecker); ok {
		return !checker.Listens(ctx)
	}
	stream, err := e.companion.Backend.Resume(ctx, e.backendRequestID(), 0)
	if err == nil {
		_ = stream.Close()
		return false
	}
	var status *endpoint.StatusError
	if errors.As(err, &status) {
		return status.Status == http.StatusNotFound
	}
	return errors.As(err, &broken) && !broken.Reached
}
