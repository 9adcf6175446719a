package gateway

import (
	"time"

	"filbertusher/internal/dispatch"
)

// watchCrash notes that a request was in an endpoint whose connection broke. It
// counts as a crash only if the endpoint itself is gone then: connections also
// break for reasons that have nothing to do with the request.
func (j *job) watchCrash(grant *dispatch.Grant, sent time.Time) {
	g := j.gateway
	header := j.suspectHeader()
	go func() {
		if g.Pool.Alive(&grant.Endpoint) {
			return
		}
		crashes := g.Suspects.Crashed(header)
		g.Log.Warn().Str("request", string(j.head.ID)).Str("endpoint", string(grant.Endpoint.Name)).
			Dur("after", time.Since(sent)).Int("crashes", crashes).Msg("endpointCrashed")
	}()
}
