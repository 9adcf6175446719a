// Package placement chooses the endpoints that a request is offered to.
package placement

import (
	"sort"
	"sync"
	"time"

	"filbertusher/internal/config"
	"filbertusher/pkg/usher"
)

// Placer ranks endpoints by what the process saw of them itself: its own
// requests in flight there and the reports that came with replies.
type Placer struct {
	config *config.Holder
	zone   usher.AvailabilityZone

	mu    sync.Mutex
	views map[usher.EndpointName]*view
}

var _ usher.Placer = (*Placer)(nil)

// view is what is known of one endpoint.
type view struct {
	report   usher.LoadReport
	assigned int
}

// otherZonePenalty is added to the expected finish in another zone.
const otherZonePenalty = time.Millisecond

// New returns a placer for a process in zone.
func New(holder *config.Holder, zone usher.AvailabilityZone) *Placer {
	return &Placer{config: holder, zone: zone, views: make(map[usher.EndpointName]*view)}
}

// Candidates implements usher.Placer.
func (p *Placer) Candidates(header *usher.RequestHeader, into []usher.Candidate) []usher.Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	into = into[:0]
	for _, endpoint := range p.config.Current().Near[header.Service] {
		known := p.view(endpoint.Name)
		if endpoint.Leaving || known.report.Leaving {
			continue
		}
		finish := known.expected(header)
		if endpoint.AvailabilityZone != p.zone {
			finish += otherZonePenalty
		}
		into = append(into, usher.Candidate{Endpoint: endpoint.Name, Finish: finish})
	}
	sort.SliceStable(into, func(i, j int) bool { return into[i].Finish < into[j].Finish })
	return into
}

func (p *Placer) view(name usher.EndpointName) *view {
	known, ok := p.views[name]
	if !ok {
		known = &view{}
		p.views[name] = known
	}
	return known
}

// defaultPace is the pace that is assumed of an endpoint that was never seen.
const defaultPace = 10 * time.Millisecond

func (v *view) expected(header *usher.RequestHeader) time.Duration {
	decode := v.report.DecodePerToken
	if decode == 0 {
		decode = defaultPace
	}
	own := time.Duration(header.Cost.AnswerTokens) * decode
	return v.report.QueuedWork + time.Duration(v.assigned+1)*own
}

// Observe implements usher.Placer.
func (p *Placer) Observe(report usher.LoadReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	report.Taken = time.Now()
	p.view(report.Endpoint).report = report
}

// Assigned implements usher.Placer.
func (p *Placer) Assigned(endpoint usher.EndpointName, _ *usher.RequestHeader) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view(endpoint).assigned++
}

// Released implements usher.Placer.
func (p *Placer) Released(endpoint usher.EndpointName, _ *usher.RequestHeader, _ bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view(endpoint).assigned--
}

// State is the placer's part of the dump.
func (p *Placer) State() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := make(map[usher.EndpointName]any, len(p.views))
	for name, known := range p.views {
		state[name] = map[string]any{"report": known.report, "assigned": known.assigned}
	}
	return state
}
