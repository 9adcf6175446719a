package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertusher/pkg/usher"
)

// Demand is the number of slots that the requests arriving at one instance would
// occupy on average, by rank.
type Demand [ranks]float64

// Report holds the load and the demand that one instance reports to the others with
// which it shares endpoints.
type Report struct {
	Loads  map[usher.EndpointName]Load
	Demand map[usher.ServiceName]Demand
	Limits map[usher.EndpointName]NamedLimit
}

// peer is the state that the scheduler keeps of another instance.
type peer struct {
	report Report
	// silent is set while no reports arrive from the instance, and lastReport is when
	// the last one arrived.
	silent     bool
	lastReport time.Time
}

const (
	// shareUpdateInterval is how often the shares of the instances are recomputed.
	shareUpdateInterval = 100 * time.Millisecond
	// silentDemandDecay is the time constant with which the demand of a silent instance
	// decays.
	silentDemandDecay = 3 * time.Second
	// minDemand is the demand, in slots, that every instance counts for, so that an
	// instance without requests has a slot for its first ones.
	minDemand = 1.0
	// shareWeight is the weight of newly computed shares in their moving average.
	shareWeight = 0.25
	// initialDuration is the assumed mean duration of the requests of a rank until one
	// of them has been answered.
	initialDuration = 500 * time.Millisecond
)

// SetEndpoints sets the endpoints that may get the requests of a service. The
// measurements of an endpoint are kept until its incarnation or address changes.
func (s *Scheduler) SetEndpoints(name usher.ServiceName, spec ServiceSpec, registrations []usher.Registration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	svc := s.service(name)
	s.addEndpoints(svc, spec, registrations)
	svc.keepOnly(registrations)
	s.endpointsChanged(svc)
}

// addEndpoints adds endpoints to those of a service, or updates their registrations. The
// caller must hold s.mu.
func (s *Scheduler) addEndpoints(svc *service, spec ServiceSpec, registrations []usher.Registration) {
	svc.spec = spec
	for _, r := range registrations {
		e := svc.endpoints[r.Name]
		if !e.isSame(&r) {
			if e = s.takeFromOtherPool(svc.name, &r); e == nil {
				e = newEndpoint(r)
				e.roundingOrder = roundingOrder(s.members, r.Name)
			}
			svc.endpoints[r.Name] = e
		}
		e.Registration = r
	}
}

// keepOnly removes all endpoints that are not listed.
func (svc *service) keepOnly(registrations []usher.Registration) {
	listed := make(map[usher.EndpointName]bool, len(registrations))
	for _, r := range registrations {
		listed[r.Name] = true
	}
	for name := range svc.endpoints {
		if !listed[name] {
			delete(svc.endpoints, name)
		}
	}
}

// endpointsChanged assigns the slots of changed endpoints. The caller must hold s.mu.
func (s *Scheduler) endpointsChanged(svc *service) {
	now := s.options.Now()
	s.updateShares(now)
	s.assignSlots(svc, now)
	s.refuseBlocked(svc, now)
}

// SetMembers sets the names of the instances that share the endpoints, including
// this one.
func (s *Scheduler) SetMembers(members []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sorted := slices.Sorted(slices.Values(members))
	if !slices.Equal(sorted, s.members) {
		s.members = sorted
		for _, svc := range s.services {
			// The shares are in the order of the members, which has changed.
			svc.shares = nil
			for name, e := range svc.endpoints {
				e.roundingOrder = roundingOrder(s.members, name)
			}
		}
	}
	for name := range s.peers {
		if !slices.Contains(s.members, name) {
			delete(s.peers, name)
		}
	}
	s.updateShares(s.options.Now())
}

// ApplyReport applies the report of another instance, which replaces its previous one.
func (s *Scheduler) ApplyReport(name string, report Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	old := s.peers[name]
	s.peers[name] = &peer{report: report, lastReport: now}
	s.mergeLimits(report.Limits, now)
	if now.Sub(s.sharesUpdated) >= shareUpdateInterval {
		s.updateShares(now)
	} else {
		if old != nil {
			s.addPeerLoads(old.report.Loads, -1, now)
		}
		s.addPeerLoads(report.Loads, 1, now)
		s.updateBorrowLimits()
	}
	for _, svc := range s.services {
		if svc.queue.len() > 0 {
			s.assignSlots(svc, now)
		}
	}
}

// MarkPeerSilent marks an instance as silent: no reports arrive from it. Its load is no
// longer counted. Its demand decays slowly, because it may still be running behind a
// network partition.
func (s *Scheduler) MarkPeerSilent(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.peers[name]; p != nil {
		p.silent, p.report.Loads = true, nil
	}
	s.updateShares(s.options.Now())
}

// Report returns the report of this instance for the other ones.
func (s *Scheduler) Report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	report := Report{
		Loads: make(map[usher.EndpointName]Load), Demand: make(map[usher.ServiceName]Demand), Limits: make(map[usher.EndpointName]NamedLimit),
	}
	for _, svc := range s.services {
		for name, e := range svc.endpoints {
			if load := e.reportedLoad(now); load != (Load{}) {
				report.Loads[name] = load
			}
			if limit, ok := e.limit.report(e.Born, now); ok {
				report.Limits[name] = limit
			}
		}
		if demand := svc.demand(now); demand.sum() > 0 {
			report.Demand[svc.name] = demand
		}
	}
	return report
}

// demand returns the number of slots that the requests arriving at this instance
// would occupy: their arrival rate times their mean duration.
func (svc *service) demand(now time.Time) Demand {
	var d Demand
	for rank := range d {
		d[rank] = svc.arrivalRates[rank].perSecond(now) * svc.meanDuration(rank).Seconds()
	}
	return d
}

func (d Demand) sum() float64 {
	sum := 0.0
	for _, slots := range d {
		sum += slots
	}
	return sum
}

// recordDuration adds the duration of an answered request to the mean of its rank and
// to that of all ranks.
func (svc *service) recordDuration(rank int, took time.Duration) {
	if svc.slotTime == 0 {
		svc.slotTime = took
	}
	svc.slotTime += time.Duration(float64(took-svc.slotTime) * ewmaWeight / 4)
	svc.meanDurations[rank] = svc.meanDuration(rank) + time.Duration(float64(took-svc.meanDuration(rank))*ewmaWeight/4)
}

func (svc *service) meanDuration(rank int) time.Duration {
	if svc.meanDurations[rank] == 0 {
		return initialDuration
	}
	return svc.meanDurations[rank]
}

// updateShares recomputes the load of the other instances at each endpoint and the
// number of slots that is guaranteed to this instance. The caller must hold s.mu.
func (s *Scheduler) updateShares(now time.Time) {
	s.sharesUpdated = now
	s.recountPeerLoads()
	self := slices.Index(s.members, s.options.Self)
	for _, svc := range s.services {
		demands := s.memberDemands(svc, now)
		slots := 0
		for _, e := range svc.endpoints {
			slots += e.slotCount(svc.spec)
		}
		shares := svc.smoothShares(divideSlots(demands, float64(slots)))
		for _, e := range svc.endpoints {
			e.guaranteed = guaranteedSlots(shares, e.roundingOrder, self, e.slotCount(svc.spec))
		}
	}
}

// smoothShares returns the moving average of the shares. Instances compute the
// shares at different times from reports of different age, and a slot that two
// instances count as theirs is assigned twice, so the shares should change slowly.
func (svc *service) smoothShares(shares []float64) []float64 {
	if len(svc.shares) != len(shares) {
		svc.shares = shares
		return shares
	}
	for i := range shares {
		svc.shares[i] += (shares[i] - svc.shares[i]) * shareWeight
	}
	return svc.shares
}

// recountPeerLoads recomputes the load of the other instances at each endpoint from
// their last reports.
func (s *Scheduler) recountPeerLoads() {
	now := s.options.Now()
	for _, svc := range s.services {
		for _, e := range svc.endpoints {
			e.others, e.peerMeasurements = Load{}, peerMeasurements{}
		}
	}
	for _, p := range s.peers {
		s.addPeerLoads(p.report.Loads, 1, now)
	}
	s.updateBorrowLimits()
}

// addPeerLoads adds the loads that one instance reported, or subtracts them if sign
// is -1.
func (s *Scheduler) addPeerLoads(loads map[usher.EndpointName]Load, sign int, now time.Time) {
	for name, load := range loads {
		for _, svc := range s.services {
			if e := svc.endpoints[name]; e != nil {
				e.others.Running += sign * load.Running
				e.others.Prefill += usher.Tokens(sign) * load.Prefill
				e.peerMeasurements.add(&load, sign)
				e.applyPeerMeasurements(now)
			}
		}
	}
}

// updateBorrowLimits recomputes how many requests this instance may have at each
// endpoint until the next report of another instance.
func (s *Scheduler) updateBorrowLimits() {
	for _, svc := range s.services {
		for _, e := range svc.endpoints {
			free := max(0, e.slotCount(svc.spec)-e.own.Running-e.others.Running)
			e.borrowLimit = e.own.Running + free/len(s.members)
		}
	}
}

// memberDemands returns the demand of each member, in the order of the members.
func (s *Scheduler) memberDemands(svc *service, now time.Time) []Demand {
	demands := make([]Demand, len(s.members))
	for i, member := range s.members {
		if member == s.options.Self {
			demands[i] = svc.demand(now)
			continue
		}
		p := s.peers[member]
		if p == nil {
			continue
		}
		demands[i] = p.report.Demand[svc.name]
		if p.silent {
			remaining := math.Exp(-now.Sub(p.lastReport).Seconds() / silentDemandDecay.Seconds())
			for rank := range demands[i] {
				demands[i][rank] *= remaining
			}
		}
	}
	return demands
}

// divideSlots returns the fraction of all slots that belongs to each member. Slots
// are allocated to the most urgent demand first, regardless of the member. The rank
// at which they run out is served in proportion to demand. Slots without demand are
// divided evenly.
func divideSlots(demands []Demand, slots float64) []float64 {
	shares := make([]float64, len(demands))
	left := slots
	allocate := func(demandOf func(Demand) float64) {
		sum := 0.0
		for i := range demands {
			sum += demandOf(demands[i])
		}
		if sum <= 0 || left <= 0 {
			return
		}
		fraction := min(1, left/sum)
		for i := range demands {
			shares[i] += fraction * demandOf(demands[i])
		}
		left -= fraction * sum
	}
	allocate(func(Demand) float64 { return minDemand })
	for rank := range ranks {
		allocate(func(d Demand) float64 { return d[rank] })
	}
	for i := range shares {
		shares[i] += left / float64(len(shares))
		shares[i] /= max(slots, 1)
	}
	return shares
}

// roundingOrder returns the indexes of the members in a pseudorandom order that
// depends on the endpoint (rendezvous hashing). All instances compute the same
// order, so they round the shares of an endpoint's slots alike without coordination,
// and no instance is rounded down at every endpoint.
func roundingOrder(members []string, endpoint usher.EndpointName) []int {
	weights := make([]uint64, len(members))
	order := make([]int, len(members))
	for i, member := range members {
		order[i] = i
		weights[i] = xxhash.Sum64String(member + "\x00" + string(endpoint))
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(weights[a], weights[b]) })
	return order
}

// guaranteedSlots returns the number of an endpoint's slots that belong to the
// member with the index self. It rounds the cumulative shares in the given order, so
// that the results of all members add up to the number of slots. An instance that is
// not among the members has a negative index and is not limited.
func guaranteedSlots(shares []float64, order []int, self, slots int) int {
	if self < 0 {
		return slots
	}
	from := 0.0
	for _, member := range order {
		to := from + shares[member]*float64(slots)
		if member == self {
			return int(math.Round(to)) - int(math.Round(from))
		}
		from = to
	}
	return slots
}
