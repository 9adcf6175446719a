package placement

import (
	"time"

	"filbertusher/pkg/usher"
)

// EndpointState describes one endpoint in the diagnostic dump.
type EndpointState struct {
	Report   *usher.LoadReport `json:"report,omitempty"`
	Age      string            `json:"age,omitempty"`
	InFlight int64             `json:"inFlight"`
	// SentSince counts the requests sent to the endpoint since the report.
	SentSince int64 `json:"sentSince"`
}

// State returns the state of all endpoints for the diagnostic dump.
func (p *Placer) State() any {
	t := p.current()
	states := make(map[usher.EndpointName]EndpointState, len(t.byName))
	for name, e := range t.byName {
		state := EndpointState{InFlight: e.inFlight.Load(), SentSince: e.sentCount.Load()}
		if report := e.report.Load(); report != nil {
			state.Report = &report.LoadReport
			state.Age = p.now().Sub(report.Taken).Round(time.Millisecond).String()
			state.SentSince -= report.sentCount
		}
		states[name] = state
	}
	return states
}

// Entries estimates how many live entries serve callers of the service, from
// the number of entries that its companions report. If each entry uses only a
// subset of the endpoints, a companion is reached by the same share of the
// entries.
func (p *Placer) Entries(service usher.ServiceName) float64 {
	t := p.current()
	endpoints := t.byService[service]
	sum, count := 0, 0
	for _, e := range endpoints {
		if report := e.report.Load(); report != nil && report.Entries > 0 {
			sum += report.Entries
			count++
		}
	}
	if count == 0 {
		return 1
	}
	share := float64(len(endpoints)) / float64(len(t.snapshot.EndpointsByService[service]))
	return max(1, float64(sum)/float64(count)/share)
}
