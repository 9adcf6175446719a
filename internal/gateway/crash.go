package gateway

import (
	"strings"
	"time"

	"filbertusher/internal/dispatch"
	"filbertusher/pkg/usher"
)

// responseProgress is how much of the response had arrived when an attempt was lost.
type responseProgress string

const (
	progressNone   responseProgress = "none"
	progressHeader responseProgress = "header"
	progressEvents responseProgress = "events"
)

const (
	// maxLoggedParts and maxLoggedPartBytes bound what a log line quotes of a prompt's
	// parts, which callers choose.
	maxLoggedParts     = 8
	maxLoggedPartBytes = 32
)

// detectCrash is called when the connection broke while a request ran. It counts a
// crash only if the endpoint no longer accepts connections, because connections
// also break for reasons unrelated to the request.
func (h *requestHandler) detectCrash(grant *dispatch.Grant, progress responseProgress) {
	g := h.gateway
	header := h.fingerprintHeader()
	sent := h.attemptSent
	go func() {
		reachable := g.Pool.Reachable(&grant.Endpoint)
		g.metrics.lost.Add(string(progress), 1)
		if !reachable {
			g.metrics.crashed.Add(string(progress), 1)
		}
		if g.logLimiter.allow() {
			g.Log.Warn().Str("request", string(h.headers.ID)).Str("endpoint", string(grant.Endpoint.Name)).
				Str("progress", string(progress)).Bool("reachable", reachable).Dur("after", time.Since(sent)).
				Str("parts", logParts(h.headers.Prefix)).Msg("attemptLost")
		}
		if reachable || progress != progressNone {
			return
		}
		crashes := g.Suspects.RecordCrash(header)
		g.Log.Warn().Str("request", string(h.headers.ID)).Str("endpoint", string(grant.Endpoint.Name)).
			Dur("after", time.Since(sent)).Int("crashes", crashes).Msg("endpointCrashed")
	}()
}

// logParts returns the IDs of a prompt's parts, without the last one, which no other
// request shares.
func logParts(parts []usher.PromptPart) string {
	shared := parts[:max(0, len(parts)-1)]
	ids := make([]string, 0, maxLoggedParts)
	for _, part := range shared[:min(len(shared), maxLoggedParts)] {
		ids = append(ids, part.ID[:min(len(part.ID), maxLoggedPartBytes)])
	}
	return strings.Join(ids, ",")
}
