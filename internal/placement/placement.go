// Package placement chooses the endpoints that a request is offered to.
//
// It ranks by expected finish, because engines are unlike: the one with the
// shortest queue may still be the last to answer. The estimate is made of what
// rode on replies of the endpoint's companion and of what this process sent
// there since. Companions decide what they take, so a wrong estimate costs a
// message and not a request.
package placement

import (
	"sync"
	"sync/atomic"
	"time"

	"filbertusher/internal/config"
	"filbertusher/pkg/usher"
)

// Placer implements usher.Placer.
//
// Readers take no lock: the table is replaced as a whole when the
// configuration changes, and what changes with each reply is in atomics of the
// endpoint's view. A request therefore allocates nothing here.
type Placer struct {
	config *config.Holder
	zone   usher.AvailabilityZone
	now    func() time.Time
	prefix *prefixTable

	table atomic.Pointer[table]
	// building is held while a table is made for a new configuration.
	building sync.Mutex
	turn     atomic.Uint32
}

var _ usher.Placer = (*Placer)(nil)

// table is the endpoints of one version of the configuration.
type table struct {
	snapshot  *config.Snapshot
	byName    map[usher.EndpointName]*view
	byService map[usher.ServiceName][]*view
}

// view is what is known of one endpoint. It is kept when a table is replaced.
type view struct {
	name    usher.EndpointName
	zone    usher.AvailabilityZone
	leaving bool
	// id stands for the endpoint in the table of prefixes.
	id     uint16
	report atomic.Pointer[seenReport]
	// sentWork and sentCount sum up all offers to the endpoint; what is above
	// the sums at the time of the last report is not in the report.
	sentWork  atomic.Int64
	sentCount atomic.Int64
	inFlight  atomic.Int64
}

// seenReport is a report with the sums at the time of its arrival.
type seenReport struct {
	usher.LoadReport
	sentWork  int64
	sentCount int64
}

const (
	// otherZonePenalty is added to the expected finish in another zone.
	otherZonePenalty = 2 * time.Millisecond
	// maxCandidates is how many endpoints a request is told of at most.
	maxCandidates = 16
)

// New returns a placer for a process in zone.
func New(holder *config.Holder, zone usher.AvailabilityZone) *Placer {
	p := &Placer{config: holder, zone: zone, now: time.Now, prefix: newPrefixTable(prefixSets)}
	p.table.Store(&table{snapshot: config.Empty()})
	return p
}

// current returns the table of the newest configuration.
func (p *Placer) current() *table {
	t := p.table.Load()
	if t.snapshot == p.config.Current() {
		return t
	}
	p.building.Lock()
	defer p.building.Unlock()
	old := p.table.Load()
	snapshot := p.config.Current()
	if old.snapshot == snapshot {
		return old
	}
	built := build(snapshot, old)
	p.table.Store(built)
	return built
}

func build(snapshot *config.Snapshot, old *table) *table {
	t := &table{
		snapshot:  snapshot,
		byName:    make(map[usher.EndpointName]*view, len(snapshot.Endpoints)),
		byService: make(map[usher.ServiceName][]*view, len(snapshot.Near)),
	}
	taken := make(map[uint16]bool, len(snapshot.Endpoints))
	for name := range snapshot.Endpoints {
		if existing, ok := old.byName[name]; ok {
			taken[existing.id] = true
		}
	}
	next := uint16(0)
	for service, endpoints := range snapshot.Near {
		views := make([]*view, 0, len(endpoints))
		for _, endpoint := range endpoints {
			v := &view{name: endpoint.Name, zone: endpoint.AvailabilityZone, leaving: endpoint.Leaving}
			if existing, ok := old.byName[endpoint.Name]; ok {
				v.inherit(existing)
			} else {
				next = freeID(next, taken)
				v.id = next
			}
			t.byName[endpoint.Name] = v
			views = append(views, v)
		}
		t.byService[service] = views
	}
	return t
}

// freeID returns the first id after last that no endpoint has.
func freeID(last uint16, taken map[uint16]bool) uint16 {
	for {
		last++
		if !taken[last] {
			return last
		}
	}
}

// inherit takes over what was known of the endpoint. Offers that are counted
// in the old view at the same time are lost to the estimate until the next
// report.
func (v *view) inherit(existing *view) {
	v.id = existing.id
	v.report.Store(existing.report.Load())
	v.sentWork.Store(existing.sentWork.Load())
	v.sentCount.Store(existing.sentCount.Load())
	v.inFlight.Store(existing.inFlight.Load())
}

// Candidates implements usher.Placer.
func (p *Placer) Candidates(header *usher.RequestHeader, into []usher.Candidate) []usher.Candidate {
	t := p.current()
	into = into[:0]
	views := t.byService[header.Service]
	if len(views) == 0 {
		return into
	}
	var reused matches
	p.prefix.find(header.Prefix, &reused)
	now := p.now()
	// Equal estimates are taken in turn, or the first endpoint by name would
	// get every request while nothing is known.
	start := int(p.turn.Add(1)) % len(views)
	for i := range views {
		v := views[(start+i)%len(views)]
		report := v.report.Load()
		if v.leaving || report != nil && report.Leaving {
			continue
		}
		candidate := usher.Candidate{Endpoint: v.name, Reused: reused.of(v.id, header)}
		candidate.Finish = v.finish(report, header, candidate.Reused, now)
		if v.zone != p.zone {
			candidate.Finish += otherZonePenalty
		}
		into = insert(into, candidate)
	}
	return into
}

// insert keeps the candidates in order of finish and bounds their number.
func insert(into []usher.Candidate, candidate usher.Candidate) []usher.Candidate {
	if len(into) == maxCandidates {
		if into[maxCandidates-1].Finish <= candidate.Finish {
			return into
		}
		into = into[:maxCandidates-1]
	}
	at := len(into)
	into = append(into, candidate)
	for at > 0 && into[at-1].Finish > candidate.Finish {
		into[at] = into[at-1]
		at--
	}
	into[at] = candidate
	return into
}

// Observe implements usher.Placer.
func (p *Placer) Observe(report usher.LoadReport) {
	v, ok := p.current().byName[report.Endpoint]
	if !ok {
		return
	}
	report.Taken = p.now()
	v.report.Store(&seenReport{
		LoadReport: report, sentWork: v.sentWork.Load(), sentCount: v.sentCount.Load(),
	})
}

// Assigned implements usher.Placer.
func (p *Placer) Assigned(endpoint usher.EndpointName, header *usher.RequestHeader) {
	v, ok := p.current().byName[endpoint]
	if !ok {
		return
	}
	v.sentWork.Add(int64(v.report.Load().work(header, 0)))
	v.sentCount.Add(1)
	v.inFlight.Add(1)
}

// Released implements usher.Placer.
func (p *Placer) Released(endpoint usher.EndpointName, header *usher.RequestHeader, ran bool) {
	v, ok := p.current().byName[endpoint]
	if !ok {
		return
	}
	v.inFlight.Add(-1)
	if ran {
		p.prefix.add(header.Prefix, v.id)
	}
}
