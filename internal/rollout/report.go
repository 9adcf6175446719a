package rollout

import (
	"slices"
	"time"

	"filbertusher/internal/boottime"
	"filbertusher/pkg/usher"
)

const (
	// reportLifetime is the age from which a peer's report tells nothing of what the peer
	// does now. Its evidence remains.
	reportLifetime = 3 * time.Second
	// maxIncarnations bounds the incarnations of one instance whose evidence is kept.
	maxIncarnations = 8
	// maxPeers bounds the instances whose reports are kept.
	maxPeers = 1024
)

// Report is what an instance tells its peers. Sequence grows with each report of one
// incarnation.
type Report struct {
	Sequence uint64
	Orders   []OrderReport
}

// OrderReport is what an instance tells about one order.
type OrderReport struct {
	Service usher.ServiceName
	Target  usher.SoftwareVersion
	// First and Last are the range of versions of the stored order that the instance knows.
	First, Last usher.Version
	// Age is the time since the order was known to any instance, as far as IsAgeKnown.
	Age        time.Duration
	IsAgeKnown bool
	Stage      string
	StageAge   time.Duration
	Why        string
	// Running is the number of attempts at endpoints of other versions than the target, and
	// HandedOver is set if no more of them begin.
	Running    int
	HandedOver bool `json:",omitempty"`
	Evidence   Evidence
}

// peer is what is known of another instance. The last incarnation is the one that runs.
type peer struct{ incarnations []incarnation }

type incarnation struct {
	id     usher.Incarnation
	report Report
	at     boottime.Time
}

// Report returns the report of this instance. It is empty while there is no order.
func (t *Table) Report() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var orders []OrderReport
	now := t.options.Now()
	for name, s := range t.services {
		o := s.order
		if o == nil || o.isRedundant || o.isTerminal() && now.Sub(o.stageAt) > terminalReportTime {
			continue
		}
		report := OrderReport{
			Service: name, Target: o.Target, First: o.first, Last: o.Written,
			Age: o.age(now), IsAgeKnown: o.isAgeKnown,
			Stage: string(o.stage), StageAge: now.Sub(o.stageAt), Why: o.why,
			Running: s.runningBeside(o.Target), HandedOver: o.isHandedOver,
		}
		if !o.isTerminal() {
			o.evidence.Speeds = o.reference.speeds()
			report.Evidence = o.evidence.clone()
		}
		orders = append(orders, report)
	}
	if len(orders) == 0 {
		return Report{}
	}
	t.sequence++
	return Report{Sequence: t.sequence, Orders: orders}
}

// terminalReportTime is how long peers are told of a verdict. Those that do not learn of it
// meanwhile learn it from the directory.
const terminalReportTime = time.Minute

// Merge applies the report of another instance.
func (t *Table) Merge(instance string, id usher.Incarnation, report Report) {
	if report.Sequence == 0 || instance == t.options.Self {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Now()
	if !t.keepReport(now, instance, id, report) {
		return
	}
	for i := range report.Orders {
		name := report.Orders[i].Service
		if s := t.services[name]; s != nil && s.order != nil {
			t.adoptReport(now, name, s, &report.Orders[i], 0)
		}
	}
}

// keepReport reports whether the report is newer than the known one of its incarnation.
func (t *Table) keepReport(now boottime.Time, instance string, id usher.Incarnation, report Report) bool {
	p := t.peers[instance]
	if p == nil {
		if len(t.peers) >= maxPeers {
			return false
		}
		p = &peer{}
		t.peers[instance] = p
	}
	for i := range p.incarnations {
		known := &p.incarnations[i]
		if known.id != id {
			continue
		}
		if report.Sequence <= known.report.Sequence {
			return false
		}
		known.report, known.at = report, now
		return true
	}
	if len(p.incarnations) >= maxIncarnations {
		p.incarnations = append(p.incarnations[:0], p.incarnations[1:]...)
	}
	p.incarnations = append(p.incarnations, incarnation{id, report, now})
	return true
}

// adoptReports applies what peers told about an order before this instance knew it.
func (t *Table) adoptReports(now boottime.Time, name usher.ServiceName, s *service) {
	for _, p := range t.peers {
		for i := range p.incarnations {
			if r := p.incarnations[i].of(name, s.order); r != nil {
				t.adoptReport(now, name, s, r, now.Sub(p.incarnations[i].at))
			}
		}
	}
}

// adoptReport applies a peer's report of the given age, as far as it moves the order on.
func (t *Table) adoptReport(now boottime.Time, name usher.ServiceName, s *service, r *OrderReport, age time.Duration) {
	o := s.order
	if !r.isOf(name, o) {
		return
	}
	if r.IsAgeKnown {
		if startedAt := now.Add(-r.Age - age); startedAt < o.startedAt || !o.isAgeKnown {
			o.startedAt, o.isAgeKnown = min(o.startedAt, startedAt), true
		}
	}
	if o.isTerminal() || o.isRedundant {
		return
	}
	switch stage(r.Stage) {
	case stageRolledBack:
		t.rollBack(s, now, r.Why)
	case stageCompleted:
		t.complete(s, now)
	case stageHandingOver:
		at := now.Add(-r.StageAge - age)
		switch {
		case o.stage == stageHandingOver:
			o.stageAt = min(o.stageAt, at)
		case o.stage == stageObserving:
			o.enter(stageHandingOver, at, r.Why)
			o.runningAtEnd = max(o.runningAtEnd, t.runningBeside(name, s, now))
			t.poolsOutdated = true
		}
	}
}

// isOf reports whether the report is about the order.
func (r *OrderReport) isOf(name usher.ServiceName, o *order) bool {
	return r.Service == name && r.Target == o.Target && r.First <= o.Written && o.first <= r.Last
}

func (i *incarnation) of(name usher.ServiceName, o *order) *OrderReport {
	for n := range i.report.Orders {
		if r := &i.report.Orders[n]; r.isOf(name, o) {
			return r
		}
	}
	return nil
}

// running returns the peer's incarnation that runs, or nil if it is silent.
func (p *peer) running(now boottime.Time) *incarnation {
	last := &p.incarnations[len(p.incarnations)-1]
	if now.Sub(last.at) > reportLifetime {
		return nil
	}
	return last
}

// fleet returns the evidence of all instances and their earlier incarnations.
func (t *Table) fleet(name usher.ServiceName, s *service) Evidence {
	s.order.evidence.Speeds = s.order.reference.speeds()
	sum := s.order.evidence.clone()
	for _, p := range t.peers {
		for i := range p.incarnations {
			if r := p.incarnations[i].of(name, s.order); r != nil {
				sum.add(&r.Evidence)
			}
		}
	}
	return sum
}

// freshReports returns the latest reports about the order of the other instances.
func (t *Table) freshReports(name usher.ServiceName, s *service, now boottime.Time) []*OrderReport {
	var fresh []*OrderReport
	for _, p := range t.peers {
		if i := p.running(now); i != nil {
			if r := i.of(name, s.order); r != nil {
				fresh = append(fresh, r)
			}
		}
	}
	return fresh
}

// hasQuorum reports whether this instance knows what most instances see now.
func (t *Table) hasQuorum(name usher.ServiceName, s *service, now boottime.Time) bool {
	return 2*(len(t.freshReports(name, s, now))+1) > t.instances
}

// isIsolated reports whether a verdict of the others may have been unknown here for half of the
// time in which candidates must stop.
func (t *Table) isIsolated(now boottime.Time, learnedAt boottime.Time) bool {
	if t.instances == 1 {
		return false
	}
	heardAt := learnedAt
	for _, p := range t.peers {
		heardAt = max(heardAt, p.incarnations[len(p.incarnations)-1].at)
	}
	return now.Sub(heardAt) > t.options.Bounds.RollbackDelay/2
}

// isContradicted reports whether an instance tells that it has not handed over.
func (t *Table) isContradicted(name usher.ServiceName, s *service, now boottime.Time) bool {
	return slices.ContainsFunc(t.freshReports(name, s, now), func(r *OrderReport) bool { return !r.HandedOver })
}

// allReport reports whether all instances tell about the order.
func (t *Table) allReport(name usher.ServiceName, s *service, now boottime.Time) bool {
	return len(t.freshReports(name, s, now))+1 >= t.instances
}

// runningBeside returns the known number of attempts at old endpoints.
func (t *Table) runningBeside(name usher.ServiceName, s *service, now boottime.Time) int {
	running := s.runningBeside(s.order.Target)
	for _, r := range t.freshReports(name, s, now) {
		running += r.Running
	}
	return running
}

// longest returns how long nearly all answers of the current endpoints take at most.
func (t *Table) longest(name usher.ServiceName, s *service) time.Duration {
	longest := s.order.evidence.Longest
	for _, p := range t.peers {
		if r := p.incarnations[len(p.incarnations)-1].of(name, s.order); r != nil {
			longest = max(longest, r.Evidence.Longest)
		}
	}
	return longest
}
