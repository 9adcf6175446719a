package rollout

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"

	"filbertusher/internal/boottime"
	"filbertusher/pkg/usher"
)

const (
	// rotationInterval is how often other candidates are observed.
	rotationInterval = time.Second
	// minObservedLoad is the load of the observed endpoints, by that after a hand-over, below
	// which it is concentrated in time.
	minObservedLoad = 0.7
	// spareEndpoints is how many more endpoints are observed than the share needs, because
	// some are slow.
	spareEndpoints = 0.6
)

// Pools splits the endpoints of a service into those that serve its requests and the
// candidates, which get requests for which Choose returns true. Endpoints of a version
// that may get no requests are in neither. The caller puts them in force before the next call
// of Decide.
func (t *Table) Pools(name usher.ServiceName, all []usher.Registration) (current, candidates []usher.Registration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(all) == 0 && t.services[name] == nil {
		return nil, nil
	}
	s, now := t.service(name), t.options.Now()
	version, ok := s.versionToServe(all, now)
	if ok {
		current = ofVersion(all, version)
	}
	o := s.order
	if o == nil {
		return current, nil
	}
	targets := ofVersion(all, o.Target)
	if ok && version == o.Target && o.stage == stageHandingOver {
		if sound := o.sound(targets); len(sound) > 0 {
			current = sound
		}
	}
	o.isSwitched = o.stage == stageHandingOver && !o.isRamping(now) && (!ok || version == o.Target)
	o.targets, o.candidateSlots, o.currentSlots = countBuckets(targets), slots(targets), slots(current)
	for i := range targets {
		if _, ok := o.warmAt[targets[i].Name]; !ok && len(o.warmAt) < maxEndpoints {
			o.warmAt[targets[i].Name] = now.Add(targets[i].ColdFor)
		}
	}
	switch {
	case o.isRedundant, o.isTerminal(), ok && version == o.Target:
	case o.stage == stageHandingOver:
		candidates = o.few(targets, rampShare, 0)
	default:
		candidates = o.observed(targets, now)
	}
	o.candidates = len(candidates)
	return current, candidates
}

// inForce returns the version in force beside an order, if it is known.
func (s *service) inForce() (usher.SoftwareVersion, bool) {
	if s.hasCompleted {
		return s.completed, true
	}
	return s.incumbent, s.hasIncumbent
}

// versionToServe returns the version of the current endpoints.
func (s *service) versionToServe(all []usher.Registration, now boottime.Time) (usher.SoftwareVersion, bool) {
	versions := versionsByAge(all)
	o := s.order
	isOrdered := o != nil && !o.isTerminal() && !o.isRedundant
	isHandingOver := isOrdered && o.stage == stageHandingOver
	if isHandingOver && !o.isRamping(now) && slices.Contains(versions, o.Target) {
		return o.Target, true
	}
	if s.hasCompleted && slices.Contains(versions, s.completed) {
		return s.completed, true
	}
	if isOrdered && !isHandingOver && s.hasIncumbent && s.incumbent == o.Target && o.recorded() == usher.RolloutInProgress {
		// An order for the version in force is hardly ever recorded as in progress: earlier
		// endpoints were not known yet.
		earliest := slices.IndexFunc(versions, func(v usher.SoftwareVersion) bool { return !s.isRejected(v) })
		s.hasIncumbent = earliest < 0 || versions[earliest] == o.Target
	}
	if s.hasIncumbent && slices.Contains(versions, s.incumbent) && !s.isRejected(s.incumbent) {
		return s.incumbent, true
	}
	for _, version := range versions {
		if s.isRejected(version) || isOrdered && !isHandingOver && version == o.Target {
			continue
		}
		if !s.hasIncumbent {
			s.incumbent, s.hasIncumbent = version, true
		}
		return version, true
	}
	// A new order for the only version that the service ever had moves no traffic.
	if isOrdered && o.recorded() == usher.RolloutNew && !s.hasIncumbent && !s.hasCompleted && slices.Contains(versions, o.Target) {
		s.incumbent, s.hasIncumbent = o.Target, true
		return o.Target, true
	}
	return "", false
}

func (s *service) isRejected(version usher.SoftwareVersion) bool {
	_, ok := s.rejected[version]
	return ok
}

// versionsByAge returns the versions of the endpoints, that of the earliest one first. If
// endpoints are equally old, the version with most of them comes first.
func versionsByAge(all []usher.Registration) []usher.SoftwareVersion {
	type group struct {
		version usher.SoftwareVersion
		born    int64
		count   int
	}
	var groups []group
	for i := range all {
		at := slices.IndexFunc(groups, func(g group) bool { return g.version == all[i].Software })
		if at < 0 {
			at = len(groups)
			groups = append(groups, group{version: all[i].Software, born: all[i].Born})
		}
		groups[at].born = min(groups[at].born, all[i].Born)
		groups[at].count++
	}
	slices.SortFunc(groups, func(a, b group) int {
		return cmp.Or(cmp.Compare(a.born, b.born), cmp.Compare(b.count, a.count), cmp.Compare(a.version, b.version))
	})
	versions := make([]usher.SoftwareVersion, len(groups))
	for i, g := range groups {
		versions[i] = g.version
	}
	return versions
}

func ofVersion(all []usher.Registration, version usher.SoftwareVersion) []usher.Registration {
	var of []usher.Registration
	for i := range all {
		if all[i].Software == version {
			of = append(of, all[i])
		}
	}
	return of
}

// countBuckets returns how many groups of endpoints the evidence tells apart.
func countBuckets(endpoints []usher.Registration) int {
	var seen uint64
	for i := range endpoints {
		seen |= 1 << bucketOf(endpoints[i].Name)
	}
	return bits.OnesCount64(seen)
}

func slots(endpoints []usher.Registration) int {
	var sum int
	for i := range endpoints {
		sum += endpoints[i].Slots
	}
	return sum
}

func (o *order) rotationAt(now boottime.Time) int {
	return int(o.age(now) / rotationInterval)
}

// observed returns the candidates that get requests now. They are few, so that each gets
// about as many as it would alone with all other endpoints of the target. Some stay, so
// that what shows only after a time is seen, and the others change. All instances choose
// alike, as far as they know the same.
func (o *order) observed(targets []usher.Registration, now boottime.Time) []usher.Registration {
	return o.few(targets, o.exposure.bounds.ExposureShare*observingFraction, o.rotationAt(now))
}

// few returns about as many endpoints as bear the share of all requests.
func (o *order) few(targets []usher.Registration, share float64, rotation int) []usher.Registration {
	sound := slices.DeleteFunc(o.sound(targets), func(r usher.Registration) bool { return r.Leaving })
	if len(sound) == 0 {
		return nil
	}
	count := min(len(sound), max(1, int(math.Round(share*float64(len(targets))+spareEndpoints))))
	slices.SortFunc(sound, func(a, b usher.Registration) int {
		return cmp.Or(
			cmp.Compare(hash(string(o.Target), string(a.Name)), hash(string(o.Target), string(b.Name))),
			cmp.Compare(a.Name, b.Name))
	})
	lasting := max(1, count/2)
	chosen := slices.Clone(sound[:lasting])
	rest := sound[lasting:]
	if count == 1 && rotation%2 == 1 && len(rest) > 0 {
		i := rotation / 2 % len(rest)
		return rest[i : i+1]
	}
	for i := range count - lasting {
		chosen = append(chosen, rest[(rotation*(count-lasting)+i)%len(rest)])
	}
	return chosen
}

// sound returns the endpoints that are not bad by themselves.
func (o *order) sound(targets []usher.Registration) []usher.Registration {
	return slices.DeleteFunc(slices.Clone(targets), func(r usher.Registration) bool {
		return o.verdict.suspects&(1<<bucketOf(r.Name)) != 0
	})
}

// boost returns the factor of the share now. Where the share is too small to load even the few
// observed endpoints as much as a hand-over would, they get it in a part of each interval, at
// all instances at about the same time.
func (o *order) boost(now boottime.Time) float64 {
	load := o.exposure.bounds.ExposureShare * observingFraction * float64(o.targets) / float64(o.candidates)
	switch {
	case load >= minObservedLoad:
		return 1
	case float64(o.age(now)%rotationInterval) < load*float64(rotationInterval):
		return 1 / load
	default:
		return 0
	}
}
