package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"filbertusher/internal/boottime"
	"filbertusher/pkg/usher"
)

// The chances of false verdicts are for one order.
const (
	// badChance bounds the chance that the comparisons of shares condemn a good version; it
	// is divided among them. An endpoint is a suspect at suspectChance, and the version is
	// condemned only if the evidence without its worst endpoint has at most restChance.
	badChance     = 1e-3
	suspectChance = 1e-3
	restChance    = 0.005
	// suspectShare is the additional share of bad answers below which an endpoint is no
	// suspect: to leave out the worst of endpoints that are all a little bad would make the
	// version look good.
	suspectShare = 0.15
	// smallShareChance is the chance that a version of which 2% more answers are bad is
	// judged good, mediumShareChance that with 5%, and slowShareChance that with 10% more
	// slow ones.
	smallShareChance  = 0.01
	mediumShareChance = 1e-3
	slowShareChance   = 1e-3
	// oneRouteImpact is the share of all answers that must not be bad on one route, and
	// oneRouteChance the chance that a greater one is not noticed. On a route with so much
	// traffic that this is less than a tenth of its answers, it is busyRouteChance.
	oneRouteImpact  = 0.016
	oneRouteChance  = 0.03
	busyRouteChance = 0.1
	// doubtChance is that of the evidence from which a version is not judged good.
	doubtChance = 0.05
	// recentDeviations is the same for the most recent answers.
	recentDeviations = 4
	// minExcess is the number of additional bad answers below which nothing is condemned.
	minExcess = 4
	// A version is condemned regardless of chances well before its 50th bad answer: at
	// backstopExcess additional ones, if they are backstopDeviations above the expected, and
	// restDeviations without the worst endpoint.
	backstopExcess     = 30
	backstopDeviations = 3
	restDeviations     = 2
	// judgedRouteShare is the share of the answers from which a route must be judged.
	judgedRouteShare = 0.02
	// minBuckets is the number of candidates that must have answered minBucketAnswers
	// times for a good verdict, if there are as many.
	minBuckets       = 2
	minBucketAnswers = 10
	// minMeanAnswers is the number of answers from which a candidate's speed is compared.
	minMeanAnswers = 6
	// minSlowShare is the least expected share of slow answers: the candidates' load changes.
	minSlowShare = 0.01
	// maxEndpointOctaves is how much slower than the usual time an endpoint may be for
	// which a single answer isn't counted as slow; more is left to the comparison of
	// endpoints.
	maxEndpointOctaves = 1.25
	// minSpeedDeviation is the least assumed standard deviation of the speeds of endpoints
	// of one version, in octaves, and usualSpeedDeviation that assumed as long as fewer than
	// minSpeeds are known.
	minSpeedDeviation   = 0.25
	usualSpeedDeviation = 0.7
	minSpeeds           = 8
	// The target is condemned as slow at slowDeviations above the current endpoints'
	// speeds, and judged good if it is goodDeviations below halfSpeed, in octaves.
	slowDeviations = 5
	goodDeviations = 2
	// suspectDeviations is the same for one endpoint, which is then a suspect.
	suspectDeviations = 3
	halfSpeed         = 1
	// From backstopTimed answers of backstopEndpoints on, which may all be bad, it is
	// condemned at backstopOctaves if they are backstopSlowDeviations above.
	backstopTimed          = 40
	backstopEndpoints      = 3
	backstopOctaves        = 0.8
	backstopSlowDeviations = 1.7
	// It is also condemned if a route with minRouteAnswers is slowRouteOctaves slower than
	// the others, by slowRouteDeviations. answerDeviation is the assumed standard deviation
	// of an answer's time, in octaves.
	minRouteAnswers     = 20
	slowRouteOctaves    = 1
	slowRouteDeviations = 5
	answerDeviation     = 1
	// From minUnanswered on, attempts that run condemn it if they are unansweredRatio times
	// and unansweredAllowance more than usual, and those that were given up if they are
	// abandonedShare more. doubtAbandonedChance is that from which it is not judged good.
	minUnanswered        = 20
	unansweredRatio      = 4
	unansweredAllowance  = 10
	abandonedShare       = 0.6
	doubtAbandonedChance = 0.01
	// judgeInterval bounds how often answers lead to a new verdict.
	judgeInterval = 100 * time.Millisecond
)

// verdict is what the evidence says about the target of an order.
type verdict struct {
	isBad, isGood bool
	// why says what condemned the target, blockedBy why it is not judged good, and summary
	// what a good verdict rests on.
	why, blockedBy, summary string
	// suspects has a bit set for each bucket of endpoints that are bad by themselves.
	suspects uint64
	// offsets are by how many octaves the endpoints of each bucket are slower than usual.
	offsets [buckets]float64
}

// judge compares the candidates with the current endpoints and rolls back if the target
// is bad.
func (t *Table) judge(name usher.ServiceName, s *service, now boottime.Time) {
	o := s.order
	fleet := t.fleet(name, s)
	o.judgedAt = now
	o.isIsolated = t.isIsolated(now, o.learnedAt)
	sums := sumUp(&fleet)
	running := t.runningBeside(name, s, now)
	if o.stage == stageObserving {
		o.baseline.update(now, &fleet, sums.all(), running)
	} else {
		o.baseline.total = fleet.Routes
	}
	suspects := o.verdict.suspects
	o.verdict = o.compare(&fleet, &sums, now)
	// An endpoint under suspicion gets no more requests, so it can't prove itself.
	o.verdict.suspects |= suspects
	o.exposure.isSpared = o.verdict.isGood && o.age(now) >= o.duration()/2
	if o.verdict.suspects != suspects {
		t.poolsOutdated = true
	}
	if o.verdict.isBad {
		t.rollBack(s, now, o.verdict.why)
	}
}

// sums are the candidates' tallies of failures and slow answers.
type sums struct {
	failed, slow byOrigin
	bucketTimes  [buckets]Times
}

// byOrigin holds sums by route, and that of all.
type byOrigin struct {
	routes map[usher.RouteName]*evidenceSum
	total  evidenceSum
}

// weighed is a tally with its support. The supports of cells add up, also if other shares
// are expected in them.
type weighed struct {
	tally
	support
}

// evidenceSum is a sum over cells, with that of each bucket.
type evidenceSum struct {
	weighed
	buckets map[int]weighed
}

func (w weighed) plus(o weighed) weighed {
	return weighed{w.tally.plus(o.tally), w.support.plus(o.support)}
}

func (w weighed) minus(o weighed) weighed {
	return weighed{w.tally.minus(o.tally), w.support.minus(o.support)}
}

func (e *evidenceSum) add(bucket int, w weighed) {
	e.weighed = e.weighed.plus(w)
	e.buckets[bucket] = e.buckets[bucket].plus(w)
}

// withoutWorst returns the sum without the bucket that has the strongest evidence.
func (e *evidenceSum) withoutWorst() weighed {
	var worst weighed
	for _, w := range e.buckets {
		if worst.answers == 0 || w.against() > worst.against() {
			worst = w
		}
	}
	return e.weighed.minus(worst)
}

// sound returns the sum without the suspects.
func (e *evidenceSum) sound(suspects uint64) weighed {
	var sum weighed
	for b, w := range e.buckets {
		if suspects&(1<<b) == 0 {
			sum = sum.plus(w)
		}
	}
	return sum
}

func sumUp(fleet *Evidence) sums {
	s := sums{failed: newByOrigin(), slow: newByOrigin()}
	for key, cell := range fleet.Cells {
		s.failed.add(key, tally{cell.Answers, cell.Failed, float64(cell.ExpectedFailed) / milli})
		slow := max(float64(cell.ExpectedSlow)/milli, minSlowShare*float64(cell.Timed))
		s.slow.add(key, tally{cell.Timed, min(cell.Slow, cell.Timed), slow})
		s.bucketTimes[key.Bucket].Timed += cell.Timed
		s.bucketTimes[key.Bucket].Octaves += cell.Octaves
	}
	return s
}

func newByOrigin() byOrigin {
	return byOrigin{routes: make(map[usher.RouteName]*evidenceSum), total: evidenceSum{buckets: make(map[int]weighed)}}
}

func (b *byOrigin) add(key CellKey, t tally) {
	w := weighed{t, t.support()}
	if b.routes[key.Route] == nil {
		b.routes[key.Route] = &evidenceSum{buckets: make(map[int]weighed)}
	}
	b.routes[key.Route].add(key.Bucket, w)
	b.total.add(key.Bucket, w)
}

// all returns the tally of failed and slow answers together.
func (s *sums) all() tally {
	return tally{s.failed.total.answers, s.failed.total.bad + s.slow.total.bad, s.failed.total.expected + s.slow.total.expected}
}

func (o *order) compare(fleet *Evidence, s *sums, now boottime.Time) verdict {
	var v verdict
	v.suspects = s.suspects(fleet)
	for b, times := range s.bucketTimes {
		v.offsets[b] = times.offset()
	}
	tests := 2 * (len(s.failed.routes) + 1)
	for _, kind := range []struct {
		name string
		by   *byOrigin
	}{{"failed", &s.failed}, {"slow", &s.slow}} {
		if why := o.condemns(kind.by, tests); why != "" {
			v.isBad, v.why = true, kind.name+" "+why
			return v
		}
	}
	if why := o.condemnsTimes(fleet, s); why != "" {
		v.isBad, v.why = true, why
		return v
	}
	if why := o.condemnsSilence(fleet, now); why != "" {
		v.isBad, v.why = true, why
		return v
	}
	v.blockedBy = o.doubts(fleet, s, v.suspects)
	v.isGood = v.blockedBy == ""
	v.summary = fmt.Sprintf("%d answers, %d failed (%.1f expected), %d slow (%.1f expected)", s.failed.total.answers,
		s.failed.total.bad, s.failed.total.expected, s.slow.total.bad, s.slow.total.expected)
	return v
}

// suspects returns the buckets of endpoints that are bad by themselves.
func (s *sums) suspects(fleet *Evidence) uint64 {
	var suspects uint64
	for b := range buckets {
		isBad := false
		for _, w := range []weighed{s.failed.total.buckets[b], s.slow.total.buckets[b]} {
			isBad = isBad || w.excess() >= max(minExcess, suspectShare*float64(w.answers)) && w.against() >= -math.Log(suspectChance)
		}
		times := s.bucketTimes[b]
		if times.Timed >= minBucketAnswers {
			octaves := float64(times.Octaves)/float64(times.Timed) - float64(fleet.Speeds.Mean)
			isBad = isBad || octaves/milli > suspectDeviations*speedDeviation(fleet)
		}
		if isBad {
			suspects |= 1 << b
		}
	}
	return suspects
}

// condemns returns why the answers condemn the target, or nothing.
func (o *order) condemns(by *byOrigin, tests int) string {
	if o.isCondemned(&by.total, tests) {
		return fmt.Sprintf("%d of %d answers (%.1f expected)", by.total.bad, by.total.answers, by.total.expected)
	}
	for _, route := range slices.Sorted(maps.Keys(by.routes)) {
		if at := by.routes[route]; o.isCondemned(at, tests) {
			return fmt.Sprintf("%d of %d answers (%.1f expected) on route %s", at.bad, at.answers, at.expected, route)
		}
	}
	return ""
}

// isCondemned reports whether there are too many bad answers, also without the endpoint that
// has most of them.
func (o *order) isCondemned(sum *evidenceSum, tests int) bool {
	if sum.excess() < minExcess {
		return false
	}
	rest := sum.weighed
	if o.targets != 1 {
		rest = sum.withoutWorst()
	}
	if sum.against() >= math.Log(float64(tests)/badChance) && rest.against() >= -math.Log(restChance) {
		return true
	}
	return sum.excess() >= backstopExcess && sum.deviations() >= backstopDeviations && rest.deviations() >= restDeviations
}

// speedDeviation returns the standard deviation of the speeds of endpoints of one version.
func speedDeviation(fleet *Evidence) float64 {
	if fleet.Speeds.Endpoints < minSpeeds {
		return usualSpeedDeviation
	}
	return max(minSpeedDeviation, math.Sqrt(float64(fleet.Speeds.Variance)/milli))
}

// condemnsTimes returns why the times condemn the target, or nothing. Endpoints of one
// version differ, so each candidate counts as one observation of its speed.
func (o *order) condemnsTimes(fleet *Evidence, s *sums) string {
	for slice := -1; slice <= timeSlices; slice++ {
		means := o.meansOf(fleet, s, slice, 0)
		if len(means) == 0 || len(means) == 1 && o.targets != 1 {
			continue
		}
		if o.targets != 1 {
			means = withoutMax(means)
		}
		slower := mean(means)
		deviations := slower / speedError(fleet, len(means))
		isBackstop := len(means) >= min(backstopEndpoints, max(1, o.targets-1)) && s.slow.total.answers >= backstopTimed
		if deviations >= slowDeviations || isBackstop && slower >= backstopOctaves && deviations >= backstopSlowDeviations {
			return fmt.Sprintf("answers take %.1f times as long at %d endpoints", math.Exp2(slower), len(means))
		}
	}
	slow := slowRoutes(fleet)
	for _, route := range slices.Sorted(maps.Keys(slow)) {
		slower := slow[route]
		return fmt.Sprintf("answers take %.1f times as long on route %s", math.Exp2(slower), route)
	}
	return ""
}

// meansOf returns the mean octaves of each bucket with enough answers, relative to the
// current endpoints, in a slice of the order's duration, or in all if it is negative.
func (o *order) meansOf(fleet *Evidence, s *sums, slice int, suspects uint64) []float64 {
	var means []float64
	for b := range buckets {
		times := s.bucketTimes[b]
		if slice >= 0 {
			times = fleet.Times[TimeKey{slice, b}]
		}
		if times.Timed >= minMeanAnswers && suspects&(1<<b) == 0 {
			means = append(means, (float64(times.Octaves)/float64(times.Timed)-float64(fleet.Speeds.Mean))/milli)
		}
	}
	return means
}

// withoutMax removes the greatest value, so that one endpoint can't condemn the others.
func withoutMax(values []float64) []float64 {
	slices.Sort(values)
	return values[:len(values)-1]
}

func mean(values []float64) float64 {
	var sum float64
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// speedError returns the standard error of the difference of the mean speeds of n candidates
// and the current endpoints.
func speedError(fleet *Evidence, n int) float64 {
	return speedDeviation(fleet) * math.Sqrt(1/float64(n)+1/float64(max(1, fleet.Speeds.Endpoints)))
}

// slowRoutes returns the routes on which the candidates are slower than on the others.
func slowRoutes(fleet *Evidence) map[usher.RouteName]float64 {
	routes := make(map[usher.RouteName]Times)
	var all Times
	for key, cell := range fleet.Cells {
		of := routes[key.Route]
		routes[key.Route] = Times{of.Timed + cell.Timed, of.Octaves + cell.Octaves}
		all.Timed += cell.Timed
		all.Octaves += cell.Octaves
	}
	slow := make(map[usher.RouteName]float64)
	for route, at := range routes {
		current := fleet.Routes[route]
		rest := Times{all.Timed - at.Timed, all.Octaves - at.Octaves}
		if at.Timed < minRouteAnswers || rest.Timed < minRouteAnswers || current.Timed < minRouteAnswers {
			continue
		}
		// Candidates with less load are faster where it matters, which makes no other route
		// slower.
		octaves := float64(at.Octaves)/float64(at.Timed) - max(0, float64(rest.Octaves)/float64(rest.Timed)) -
			float64(current.Octaves)/float64(current.Timed)
		octaves /= milli
		if octaves >= slowRouteOctaves && octaves*math.Sqrt(float64(at.Timed))/answerDeviation >= slowRouteDeviations {
			slow[route] = octaves
		}
	}
	return slow
}

// condemnsSilence returns why attempts that have no answer condemn the target, or nothing. An
// answer that is several times slower is seen only when it ends, or never if its caller
// gives up.
func (o *order) condemnsSilence(fleet *Evidence, now boottime.Time) string {
	if o.stage == stageObserving && len(o.baseline.history) > 0 {
		oldest := &o.baseline.history[0]
		running := fleet.Candidates.Sent - fleet.Candidates.Ended
		sent := fleet.Candidates.Sent - oldest.candidates.Sent
		seconds := now.Sub(oldest.at).Seconds()
		if running >= minUnanswered && seconds > 0 && o.baseline.residence > 0 {
			usual := float64(sent) / seconds * o.baseline.residence.Seconds()
			if float64(running) > float64(unansweredRatio*usual)+unansweredAllowance {
				return fmt.Sprintf("%d attempts run, %.0f expected", running, usual)
			}
		}
	}
	abandoned := abandonment(fleet)
	if abandoned.excess() >= minUnanswered && float64(abandoned.excess()) >= abandonedShare*float64(abandoned.answers) &&
		abandoned.support().against() >= -math.Log(badChance) {
		return fmt.Sprintf("%d of %d attempts without an answer (%.1f expected)", abandoned.bad, abandoned.answers, abandoned.expected)
	}
	return ""
}

// abandonment tallies the attempts at candidates that callers gave up.
func abandonment(fleet *Evidence) tally {
	current, candidates := fleet.Current, fleet.Candidates
	share := (float64(max(0, current.Ended-current.Answered)) + 1) / float64(max(0, current.Ended)+priorAnswers)
	return tally{candidates.Ended, max(0, candidates.Ended-candidates.Answered), min(1, share) * float64(candidates.Ended)}
}

// doubts returns why the target is not judged good, or nothing.
func (o *order) doubts(fleet *Evidence, s *sums, suspects uint64) string {
	var sound, doubtful int
	for b := range buckets {
		switch {
		case suspects&(1<<b) != 0:
			doubtful++
		case s.failed.total.buckets[b].answers >= minBucketAnswers:
			sound++
		}
	}
	if sound < min(minBuckets, o.targets) || doubtful > sound {
		return fmt.Sprintf("%d endpoints answer well and %d do not", sound, doubtful)
	}
	failed, slow := s.failed.total.sound(suspects), s.slow.total.sound(suspects)
	if failed.excluding(0.02) < -math.Log(smallShareChance) || failed.excluding(0.05) < -math.Log(mediumShareChance) ||
		slow.excluding(0.1) < -math.Log(slowShareChance) {
		return fmt.Sprintf("too few good answers: %d, %d failed (%.1f expected), %d slow (%.1f expected)",
			failed.answers, failed.bad, failed.expected, slow.bad, slow.expected)
	}
	if max(failed.against(), slow.against()) > -math.Log(doubtChance) {
		return fmt.Sprintf("%d answers failed (%.1f expected), %d were slow (%.1f expected)", failed.bad, failed.expected, slow.bad, slow.expected)
	}
	if recent := o.recent(s); recent.deviations() > recentDeviations {
		return fmt.Sprintf("%d answers failed or were slow lately (%.1f expected)", recent.bad, recent.expected)
	}
	if means := o.meansOf(fleet, s, -1, suspects); len(means) > 0 && mean(means) > halfSpeed-goodDeviations*speedError(fleet, len(means)) {
		return fmt.Sprintf("answers take %.1f times as long at %d endpoints", math.Exp2(mean(means)), len(means))
	}
	if abandoned := abandonment(fleet); abandoned.support().against() > -math.Log(doubtAbandonedChance) {
		return fmt.Sprintf("%d of %d attempts without an answer", abandoned.bad, abandoned.answers)
	}
	var all int
	for _, counts := range fleet.Routes {
		all += counts.Answers
	}
	for route, counts := range fleet.Routes {
		if float64(counts.Answers) < judgedRouteShare*float64(all) {
			continue
		}
		var failed, slow weighed
		if s.failed.routes[route] != nil {
			failed, slow = s.failed.routes[route].sound(suspects), s.slow.routes[route].sound(suspects)
		}
		share, chance := 0.25, oneRouteChance
		switch impact := oneRouteImpact * float64(all) / float64(counts.Answers); {
		case impact > 0.25:
			share = 0.5
		case impact < 0.1:
			share, chance = 0.1, busyRouteChance
		}
		if failed.excluding(share) < -math.Log(chance) || slow.excluding(max(0.25, share)) < -math.Log(chance) {
			return fmt.Sprintf("too few good answers on route %s: %d, %d failed, %d slow", route, failed.answers, failed.bad, slow.bad)
		}
	}
	return ""
}

// recent returns the tally of failed and slow answers in the window of the baseline.
func (o *order) recent(s *sums) tally {
	if len(o.baseline.history) == 0 {
		return s.all()
	}
	return s.all().minus(o.baseline.history[0].answers)
}
