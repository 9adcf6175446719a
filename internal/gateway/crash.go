package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"filbertusher/internal/blame"
	"filbertusher/internal/dispatch"
	"filbertusher/internal/telemetry"
	"filbertusher/internal/upstream"
	"filbertusher/pkg/usher"
)

// responseProgress is how much of the response had arrived when an attempt was lost.
type responseProgress string

const (
	progressNone   responseProgress = "none"
	progressHeader responseProgress = "header"
	progressEvents responseProgress = "events"
)

// maxLoggedParts bounds the parts of a prompt that a log line names.
const maxLoggedParts = 8

// maxCrashWait bounds how long the retry of a request without parts waits for the report of
// a crash. Most of them crash nothing, and the endpoint may be cut off.
const maxCrashWait = 200 * time.Millisecond

// reportLost is called when the connection broke while a request ran. It counts a
// crash only if the endpoint no longer accepts connections, because connections
// also break for reasons unrelated to the request.
//
// A request may be the cause if it has a part that was never answered, or no parts that
// tell. Then reportLost returns only after the crash is recorded and other instances were
// asked for theirs, so that the request is not retried before.
func (h *requestHandler) reportLost(grant *dispatch.Grant, progress responseProgress, sentAt time.Time) {
	ctx, cancel := h.request.Context(), func() {}
	parts := blame.SharedParts(h.service, h.headers.Prefix)
	if len(parts) == 0 {
		ctx, cancel = context.WithTimeout(ctx, maxCrashWait)
	}
	defer cancel()
	traits, reported := h.traits(), make(chan struct{})
	go func() {
		defer close(reported)
		if h.recordLost(grant, traits, progress, sentAt) {
			h.gateway.exchangeCrashes(ctx)
		}
	}()
	if !h.route.Idempotent() || len(parts) > 0 && h.gateway.Blame.Answered(parts) {
		return
	}
	select {
	case <-reported:
	case <-ctx.Done():
	}
}

// recordLost records a lost attempt and reports whether the endpoint has crashed.
func (h *requestHandler) recordLost(grant *dispatch.Grant, traits []blame.Trait, progress responseProgress, sentAt time.Time) (crashed bool) {
	g := h.gateway
	crash := blame.CrashOf(grant.Endpoint.Name, strconv.FormatInt(grant.Endpoint.Born, 10)+"@"+grant.Endpoint.Address)
	crashed = g.Blame.HasCrash(crash) || !g.Pool.Reachable(&grant.Endpoint)
	g.metrics.lost.Add(string(progress), 1)
	event := "attemptLost"
	if crashed {
		g.metrics.crashed.Add(string(progress), 1)
		g.Blame.RecordCrash(traits, crash)
		event = "endpointCrashed"
	}
	if g.logLimiter.allow() {
		g.Log.Warn().Str("request", telemetry.Cut(string(h.headers.ID))).Str("endpoint", string(grant.Endpoint.Name)).
			Str("progress", string(progress)).Dur("after", time.Since(sentAt)).Str("parts", partLabels(traits)).Msg(event)
	}
	return crashed
}

// exchangeCrashes waits for an exchange about crashes that begins after the call.
func (g *Gateway) exchangeCrashes(ctx context.Context) {
	g.crashInquiry.Await(ctx, func() { g.ExchangeCrashes(context.Background()) })
}

// traits returns what the request may have in common with others that crash endpoints.
func (h *requestHandler) traits() []blame.Trait {
	h.traitsOnce.Do(func() {
		h.knownTraits = append([]blame.Trait{h.wholeTrait()}, blame.SharedParts(h.service, h.headers.Prefix)...)
	})
	return h.knownTraits
}

// wholeTrait stands for workspace, service, method, path and body.
func (h *requestHandler) wholeTrait() blame.Trait {
	hash := sha256.New()
	_, _ = io.WriteString(hash, h.request.Method+" "+h.request.RequestURI+"\n")
	_, _ = hash.Write(h.body)
	workspace := usher.WorkspaceName("")
	if h.workspace != nil {
		workspace = h.workspace.Name
	}
	return blame.WholeRequest(workspace, h.service, usher.Digest(hex.EncodeToString(hash.Sum(nil))))
}

// suspectRetryAfter is the Retry-After value for requests that have crashed
// endpoints.
const suspectRetryAfter = 5 * time.Second

// checkSuspect refuses the request if it has crashed endpoints, or has a part in common
// with requests that have.
func (h *requestHandler) checkSuspect() *usher.Refusal {
	if h.probesCrash {
		return nil
	}
	switch h.gateway.Blame.Check(h.traits) {
	case blame.Allowed:
		return nil
	case blame.Probe:
		h.probesCrash = true
		return nil
	case blame.Refused:
	}
	h.gateway.metrics.suspected.Add(1)
	// The refusal states only that the request was not run. That it would crash
	// an endpoint again is likely but not certain, so the caller may retry.
	refusal := usher.NewRefusal(usher.RefusalCrashSuspect, "requests like this one have crashed endpoints")
	return refusal.WithRetryAfter(suspectRetryAfter)
}

// reportAnswer clears what the request has in common with requests that were lost in
// crashes.
func (h *requestHandler) reportAnswer(status int) {
	if status >= http.StatusOK && status < http.StatusMultipleChoices {
		h.gateway.Blame.RecordAnswer(h.traits())
	}
}

// endedByCrash reports whether an answer without a length or chunks may be incomplete:
// its end looks like that of any connection, also of one whose endpoint has crashed. An
// endpoint that accepts connections may have restarted since. The attempt is not monitored
// any more; monitor is nil for its copy.
func (h *requestHandler) endedByCrash(ctx context.Context, grant *dispatch.Grant, response *upstream.Response, monitor *attemptMonitor) bool {
	if response.Framed() {
		return false
	}
	if monitor != nil {
		monitor.discard()
	}
	g := h.gateway
	if !g.Pool.Reachable(&grant.Endpoint) {
		return true
	}
	if !response.Stalled() {
		return false
	}
	restarted := !g.HasNotRestarted(ctx, &grant.Endpoint)
	if restarted && g.logLimiter.allow() {
		g.Log.Warn().Str("request", telemetry.Cut(string(h.headers.ID))).Str("endpoint", string(grant.Endpoint.Name)).Msg("endOfAnswerUnknown")
	}
	return restarted
}

// partLabels returns the labels of the shared parts, for the log.
func partLabels(traits []blame.Trait) string {
	var labels []string
	for _, trait := range traits {
		if !trait.Whole && len(labels) < maxLoggedParts {
			labels = append(labels, trait.Label)
		}
	}
	return strings.Join(labels, ",")
}
