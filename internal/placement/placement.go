// Package placement chooses the endpoints that an entry, the process that accepts a
// request, offers it to.
//
// It ranks them by expected completion time and not by queue length, because
// engines differ in speed: the one with the shortest queue may still be the last
// to answer. The estimate is based on the load reports that come with the
// replies of the endpoint's companion, its sidecar process, and on what this
// entry has sent there since. A companion decides what it admits, so a wrong
// estimate costs a message and not a request.
package placement

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"filbertusher/internal/config"
	"filbertusher/pkg/usher"
)

// Placer implements usher.Placer.
//
// Readers take no lock: the table is replaced as a whole when the configuration
// changes, and the state that changes with each reply is kept in atomics of the
// endpoint. A request therefore allocates nothing here.
type Placer struct {
	config   *config.Holder
	zone     usher.AvailabilityZone
	now      func() time.Time
	prefixes *prefixTable

	table atomic.Pointer[endpointTable]
	// buildMu is held while a table is built for a new configuration.
	buildMu  sync.Mutex
	rotation atomic.Uint32
}

var _ usher.Placer = (*Placer)(nil)

// endpointTable is the endpoints of one version of the configuration.
type endpointTable struct {
	snapshot  *config.Snapshot
	byName    map[usher.EndpointName]*endpoint
	byService map[usher.ServiceName][]*endpoint
}

// endpoint is the state of one endpoint as known to this process. It is copied
// from the old table to a new one.
type endpoint struct {
	name    usher.EndpointName
	zone    usher.AvailabilityZone
	leaving bool
	// id identifies the endpoint in the prefix table, which holds nothing about endpoints
	// with ID 0.
	id     uint16
	report atomic.Pointer[receivedReport]
	// sentWork and sentCount are totals over all requests sent to the endpoint.
	// The increase since the last report is not included in the report.
	sentWork  atomic.Int64
	sentCount atomic.Int64
	inFlight  atomic.Int64
}

// receivedReport is a report and the endpoint's totals when it arrived.
type receivedReport struct {
	usher.LoadReport
	sentWork  int64
	sentCount int64
}

const (
	// crossZonePenalty is added to the expected completion time in another
	// availability zone.
	crossZonePenalty = 2 * time.Millisecond
	// maxCandidates is the most endpoints that Candidates returns.
	maxCandidates = 16
)

// New returns a placer for a process in zone.
func New(holder *config.Holder, zone usher.AvailabilityZone) *Placer {
	p := &Placer{config: holder, zone: zone, now: time.Now, prefixes: newPrefixTable(prefixSets)}
	p.table.Store(&endpointTable{snapshot: config.Empty()})
	return p
}

// current returns the table of the newest configuration.
func (p *Placer) current() *endpointTable {
	t := p.table.Load()
	if t.snapshot == p.config.Current() {
		return t
	}
	p.buildMu.Lock()
	defer p.buildMu.Unlock()
	old := p.table.Load()
	snapshot := p.config.Current()
	if old.snapshot == snapshot {
		return old
	}
	built := buildTable(snapshot, old)
	p.table.Store(built)
	return built
}

func buildTable(snapshot *config.Snapshot, old *endpointTable) *endpointTable {
	t := &endpointTable{
		snapshot:  snapshot,
		byName:    make(map[usher.EndpointName]*endpoint, len(snapshot.Endpoints)),
		byService: make(map[usher.ServiceName][]*endpoint, len(snapshot.SelectedByService)),
	}
	ids := idAllocator{used: make(map[uint16]bool, len(snapshot.Endpoints))}
	for name := range snapshot.Endpoints {
		if existing, ok := old.byName[name]; ok {
			ids.used[existing.id] = true
		}
	}
	for service, declared := range snapshot.SelectedByService {
		endpoints := make([]*endpoint, 0, len(declared))
		for _, declaration := range declared {
			e := &endpoint{name: declaration.Name, zone: declaration.AvailabilityZone, leaving: declaration.Leaving}
			if existing, ok := old.byName[declaration.Name]; ok {
				e.copyState(existing)
			}
			if e.id == 0 {
				e.id = ids.next()
			}
			t.byName[declaration.Name] = e
			endpoints = append(endpoints, e)
		}
		t.byService[service] = endpoints
	}
	return t
}

// idAllocator gives out the IDs of new endpoints in the prefix table. last is the one that
// was given out last.
type idAllocator struct {
	used map[uint16]bool
	last uint16
}

// next returns an ID that no endpoint has, or 0 if none is left.
func (a *idAllocator) next() uint16 {
	for a.last < math.MaxUint16 {
		a.last++
		if !a.used[a.last] {
			return a.last
		}
	}
	return 0
}

// copyState copies the state of the endpoint from the old table. Requests that
// are counted there during the copy are missing from estimates until the next
// report.
func (e *endpoint) copyState(existing *endpoint) {
	e.id = existing.id
	e.report.Store(existing.report.Load())
	e.sentWork.Store(existing.sentWork.Load())
	e.sentCount.Store(existing.sentCount.Load())
	e.inFlight.Store(existing.inFlight.Load())
}

// Candidates implements usher.Placer.
func (p *Placer) Candidates(header *usher.RequestHeader, into []usher.Candidate) []usher.Candidate {
	t := p.current()
	into = into[:0]
	endpoints := t.byService[header.Service]
	if len(endpoints) == 0 {
		return into
	}
	var matches prefixMatches
	p.prefixes.find(header.Prefix, &matches)
	now := p.now()
	// Endpoints with equal estimates are taken in rotation. Otherwise the first
	// one by name would get every request before any report has arrived.
	start := int(p.rotation.Add(1)) % len(endpoints)
	for i := range endpoints {
		e := endpoints[(start+i)%len(endpoints)]
		report := e.report.Load()
		if e.leaving || report != nil && report.Leaving {
			continue
		}
		candidate := usher.Candidate{Endpoint: e.name, Reused: matches.reusedTokens(e.id, header)}
		candidate.Finish = e.estimateFinish(report, header, candidate.Reused, now)
		if e.zone != p.zone {
			candidate.Finish += crossZonePenalty
		}
		into = insert(into, candidate)
	}
	return into
}

// insert keeps the candidates sorted by expected completion time and bounds
// their number.
func insert(into []usher.Candidate, candidate usher.Candidate) []usher.Candidate {
	if len(into) == maxCandidates {
		if into[maxCandidates-1].Finish <= candidate.Finish {
			return into
		}
		into = into[:maxCandidates-1]
	}
	index := len(into)
	into = append(into, candidate)
	for index > 0 && into[index-1].Finish > candidate.Finish {
		into[index] = into[index-1]
		index--
	}
	into[index] = candidate
	return into
}

// Observe implements usher.Placer.
func (p *Placer) Observe(report usher.LoadReport) {
	e, ok := p.current().byName[report.Endpoint]
	if !ok {
		return
	}
	report.Taken = p.now()
	e.report.Store(&receivedReport{
		LoadReport: report, sentWork: e.sentWork.Load(), sentCount: e.sentCount.Load(),
	})
}

// Assigned implements usher.Placer.
func (p *Placer) Assigned(name usher.EndpointName, header *usher.RequestHeader) {
	e, ok := p.current().byName[name]
	if !ok {
		return
	}
	e.sentWork.Add(int64(e.report.Load().work(header, 0)))
	e.sentCount.Add(1)
	e.inFlight.Add(1)
}

// Released implements usher.Placer.
func (p *Placer) Released(name usher.EndpointName, header *usher.RequestHeader, ran bool) {
	e, ok := p.current().byName[name]
	if !ok {
		return
	}
	e.inFlight.Add(-1)
	if ran {
		p.prefixes.add(header.Prefix, e.id)
	}
}
