package gateway

import (
	"time"

	"filbertusher/internal/dispatch"
)

// detectCrash is called when the connection broke while a request ran. It counts a
// crash only if the endpoint no longer accepts connections, because connections
// also break for reasons unrelated to the request.
func (h *requestHandler) detectCrash(grant *dispatch.Grant, sent time.Time) {
	g := h.gateway
	header := h.fingerprintHeader()
	go func() {
		if g.Pool.Reachable(&grant.Endpoint) {
			return
		}
		crashes := g.Suspects.RecordCrash(header)
		g.Log.Warn().Str("request", string(h.headers.ID)).Str("endpoint", string(grant.Endpoint.Name)).
			Dur("after", time.Since(sent)).Int("crashes", crashes).Msg("endpointCrashed")
	}()
}
