package placement

import (
	"time"

	"filbertusher/pkg/usher"
)

// EndpointState is one endpoint in the dump.
type EndpointState struct {
	Report   *usher.LoadReport `json:"report,omitempty"`
	Age      string            `json:"age,omitempty"`
	InFlight int64             `json:"inFlight"`
	// SentSince counts the offers that the report does not know of.
	SentSince int64 `json:"sentSince"`
}

// State is the placer's part of the dump.
func (p *Placer) State() any {
	t := p.current()
	state := make(map[usher.EndpointName]EndpointState, len(t.byName))
	for name, v := range t.byName {
		one := EndpointState{InFlight: v.inFlight.Load(), SentSince: v.sentCount.Load()}
		if report := v.report.Load(); report != nil {
			one.Report = &report.LoadReport
			one.Age = p.now().Sub(report.Taken).Round(time.Millisecond).String()
			one.SentSince -= report.sentCount
		}
		state[name] = one
	}
	return state
}

// Entries estimates how many live entries serve callers, from what the
// companions of a service hear. Where each entry works with a subset of the
// endpoints, a companion hears from the same share of the entries.
func (p *Placer) Entries(service usher.ServiceName) float64 {
	t := p.current()
	views := t.byService[service]
	heard, count := 0, 0
	for _, v := range views {
		if report := v.report.Load(); report != nil && report.Entries > 0 {
			heard += report.Entries
			count++
		}
	}
	if count == 0 {
		return 1
	}
	share := float64(len(views)) / float64(len(t.snapshot.ByService[service]))
	return max(1, float64(heard)/float64(count)/share)
}
