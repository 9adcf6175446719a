package rollout

import (
	"maps"
	"math"
	"slices"
	"time"

	"filbertusher/internal/boottime"
	"filbertusher/pkg/usher"
)

const (
	// buckets is the number of groups in which candidates are told apart.
	buckets = 64
	// maxCells bounds the cells of one report, beside one for each bucket.
	maxCells = 256
	// maxEndpoints bounds the endpoints whose times an instance compares.
	maxEndpoints = 512
	// timeSlices is the number of parts of an order's duration, before the hand-over, in
	// which the candidates' times are told apart.
	timeSlices = 4
	// slowOctaves is the logarithm of the ratio to the usual time of its route above which
	// an answer is slow, and slowFirstOctaves that for the time to the first event, which
	// depends on what the endpoint had cached.
	slowOctaves      = 1.5
	slowFirstOctaves = 2.5
	// minPacedEvents is the number of events from which the time between them is compared
	// instead of the duration.
	minPacedEvents = 3
	// minReference is the number of answers of the current endpoints on a route from which
	// times are compared with theirs.
	minReference = 8
	// minEndpointAnswers is the number of answers from which an endpoint's speed is known.
	minEndpointAnswers = 3
	// offsetShare is the part of an endpoint's mean slowness that counts as its own, because
	// slow answers are in the mean.
	offsetShare = 0.5
	// minOffsetAnswers is the same for telling its slow answers from its usual ones.
	minOffsetAnswers = 6
	// milli scales the sums that reports hold as integers.
	milli = 1000
)

// Evidence is what one instance saw of an order. Counts only grow.
type Evidence struct {
	Current, Candidates Side
	// Routes holds the answers of the current endpoints, and Cells those of the candidates.
	Routes map[usher.RouteName]Counts
	Cells  map[CellKey]Cell
	// Times holds the candidates' times by the part of the order's duration.
	Times map[TimeKey]Times
	// Speeds are those of the current endpoints as this instance knows them now.
	Speeds Speeds
	// Longest is how long nearly all answers of the current endpoints take at most.
	Longest time.Duration
}

// Side counts the attempts at the current endpoints or the candidates since the order.
type Side struct{ Sent, Ended, Answered int }

// Counts counts answers. Octaves is the sum of the binary logarithms of the ratios of the
// Timed answers' times to the usual ones of their route, in thousandths.
type Counts struct{ Answers, Failed, Slow, Timed, Octaves int }

// CellKey distinguishes the answers of candidates.
type CellKey struct {
	Route  usher.RouteName
	Bucket int
}

// Cell counts answers of candidates. ExpectedFailed and ExpectedSlow are how many of them
// would have failed or been slow at the current endpoints at the same time, in thousandths.
type Cell struct {
	Counts
	ExpectedFailed, ExpectedSlow int
}

// TimeKey distinguishes the candidates' times.
type TimeKey struct{ Slice, Bucket int }

// Times is a sum of Octaves over some answers.
type Times struct{ Timed, Octaves int }

// Speeds describe how unlike the current endpoints are: the mean and the variance of their
// mean Octaves, in thousandths.
type Speeds struct{ Endpoints, Mean, Variance int }

func newEvidence() Evidence {
	return Evidence{
		Routes: make(map[usher.RouteName]Counts),
		Cells:  make(map[CellKey]Cell),
		Times:  make(map[TimeKey]Times),
	}
}

func (e *Evidence) clone() Evidence {
	c := *e
	c.Routes, c.Cells, c.Times = maps.Clone(e.Routes), maps.Clone(e.Cells), maps.Clone(e.Times)
	return c
}

func (e *Evidence) side(isCandidate bool) *Side {
	if isCandidate {
		return &e.Candidates
	}
	return &e.Current
}

// add adds what another instance saw, as far as it tells endpoints apart in the same way. The
// means of Speeds are weighted by endpoints.
func (e *Evidence) add(o *Evidence) {
	e.Current.add(o.Current)
	e.Candidates.add(o.Candidates)
	for route, counts := range o.Routes {
		e.Routes[route] = e.Routes[route].plus(counts)
	}
	for key, cell := range o.Cells {
		if key.Bucket < 0 || key.Bucket >= buckets {
			continue
		}
		e.Cells[key] = e.Cells[key].plus(cell)
	}
	for key, times := range o.Times {
		sum := e.Times[key]
		e.Times[key] = Times{sum.Timed + times.Timed, sum.Octaves + times.Octaves}
	}
	if n := e.Speeds.Endpoints + o.Speeds.Endpoints; n > 0 {
		e.Speeds.Mean = (e.Speeds.Mean*e.Speeds.Endpoints + o.Speeds.Mean*o.Speeds.Endpoints) / n
		e.Speeds.Variance = (e.Speeds.Variance*e.Speeds.Endpoints + o.Speeds.Variance*o.Speeds.Endpoints) / n
		e.Speeds.Endpoints = n
	}
	e.Longest = max(e.Longest, o.Longest)
}

func (s *Side) add(o Side) {
	s.Sent, s.Ended, s.Answered = s.Sent+o.Sent, s.Ended+o.Ended, s.Answered+o.Answered
}

func (c Counts) plus(o Counts) Counts {
	return Counts{c.Answers + o.Answers, c.Failed + o.Failed, c.Slow + o.Slow, c.Timed + o.Timed, c.Octaves + o.Octaves}
}

func (c Cell) plus(o Cell) Cell {
	return Cell{c.Counts.plus(o.Counts), c.ExpectedFailed + o.ExpectedFailed, c.ExpectedSlow + o.ExpectedSlow}
}

func bucketOf(name usher.EndpointName) int { return int(hash(string(name)) % buckets) }

// observe adds an answer to the evidence. It reports whether the answer speaks against the
// target.
func (o *order) observe(now boottime.Time, answer Answer) bool {
	isCandidate := answer.Software == o.Target
	route := o.routeOf(answer.Route)
	o.evidence.side(isCandidate).Answered++
	counts := Counts{Answers: 1}
	var octaves float64
	if answer.Failed {
		counts.Failed = 1
	} else if isCold := now < o.warmAt[answer.Endpoint]; !isCold {
		var isSlow, isTimed bool
		offset := o.reference.offset(answer.Endpoint)
		if isCandidate {
			offset = o.verdict.offsets[bucketOf(answer.Endpoint)]
		}
		octaves, isSlow, isTimed = o.reference.compare(route, answer, offset)
		if isTimed {
			counts.Timed, counts.Octaves = 1, int(math.Round(octaves*milli))
		}
		if isSlow {
			counts.Slow = 1
		}
	}
	if !isCandidate {
		o.evidence.Routes[route] = o.evidence.Routes[route].plus(counts)
		if !answer.Failed {
			o.reference.add(route, answer, octaves, counts.Timed > 0)
			o.evidence.Longest = o.reference.longest()
		}
		return false
	}
	failed, slow := o.baseline.rates(route)
	cell := Cell{Counts: counts, ExpectedFailed: int(math.Round(failed * milli))}
	if counts.Timed > 0 {
		cell.ExpectedSlow = int(math.Round(slow * milli))
	}
	bucket := bucketOf(answer.Endpoint)
	key := CellKey{route, bucket}
	if _, ok := o.evidence.Cells[key]; !ok && len(o.evidence.Cells) >= maxCells {
		key.Route = otherRoutes
	}
	o.evidence.Cells[key] = o.evidence.Cells[key].plus(cell)
	if counts.Timed > 0 {
		key := TimeKey{o.timeSlice(now), bucket}
		sum := o.evidence.Times[key]
		o.evidence.Times[key] = Times{sum.Timed + 1, sum.Octaves + counts.Octaves}
	}
	return counts.Failed+counts.Slow > 0
}

// timeSlice returns the part of the order's duration. The hand-over is one of its own, in
// which the candidates have the load of the current endpoints.
func (o *order) timeSlice(now boottime.Time) int {
	if o.stage == stageHandingOver {
		return timeSlices
	}
	return min(timeSlices-1, int(o.age(now)*timeSlices/o.duration()))
}

func (o *order) routeOf(name usher.RouteName) usher.RouteName {
	if _, ok := o.exposure.routes[name]; ok {
		return name
	}
	if _, ok := o.evidence.Routes[name]; ok || len(o.evidence.Routes) < maxRoutes {
		return name
	}
	return otherRoutes
}

// reference knows the usual times of the current endpoints, as this instance saw them.
type reference struct {
	routes    map[usher.RouteName]*routeTimes
	endpoints map[usher.EndpointName]*Times
	durations sample
}

// routeTimes holds the logarithms of the times of one route.
type routeTimes struct{ pace, first sample }

func newReference() reference {
	return reference{routes: make(map[usher.RouteName]*routeTimes), endpoints: make(map[usher.EndpointName]*Times)}
}

// logTimes returns the binary logarithms of the times that are compared: that between
// events, or the duration if there are few, and that to the first event of a stream.
func logTimes(answer Answer) (pace, first float64, isStream bool) {
	if answer.Events < minPacedEvents {
		return logOf(answer.Duration), 0, false
	}
	return logOf((answer.Duration - answer.FirstEvent) / time.Duration(answer.Events-1)), logOf(answer.FirstEvent), true
}

func logOf(d time.Duration) float64 { return math.Log2(float64(max(d, time.Microsecond))) }

// offset returns by how many octaves an endpoint is usually slower than the others, which
// is no fault of a single answer.
func (r *reference) offset(name usher.EndpointName) float64 {
	if endpoint := r.endpoints[name]; endpoint != nil {
		return endpoint.offset()
	}
	return maxEndpointOctaves
}

// offset returns the greatest possible one as long as too few times are known.
func (t Times) offset() float64 {
	if t.Timed < minOffsetAnswers {
		return maxEndpointOctaves
	}
	return min(max(0, offsetShare*float64(t.Octaves)/float64(t.Timed)/milli), maxEndpointOctaves)
}

// compare returns the logarithm of the ratio of the answer's time to the usual one, and
// whether the answer is slow for an endpoint with the offset. It reports isTimed unset if
// no usual time is known.
func (r *reference) compare(route usher.RouteName, answer Answer, offset float64) (octaves float64, isSlow, isTimed bool) {
	times := r.routes[route]
	if times == nil || times.pace.seen < minReference {
		return 0, false, false
	}
	pace, first, isStream := logTimes(answer)
	octaves = pace - times.pace.quantile(0.5)
	isSlow = octaves-offset > slowOctaves ||
		isStream && times.first.seen >= minReference && first-times.first.quantile(0.5)-offset > slowFirstOctaves
	return octaves, isSlow, true
}

func (r *reference) add(route usher.RouteName, answer Answer, octaves float64, isTimed bool) {
	times := r.routes[route]
	if times == nil {
		times = &routeTimes{}
		r.routes[route] = times
	}
	pace, first, isStream := logTimes(answer)
	times.pace.add(pace)
	if isStream {
		times.first.add(first)
	}
	r.durations.add(float64(answer.Duration))
	if !isTimed {
		return
	}
	endpoint := r.endpoints[answer.Endpoint]
	if endpoint == nil {
		if len(r.endpoints) >= maxEndpoints {
			return
		}
		endpoint = &Times{}
		r.endpoints[answer.Endpoint] = endpoint
	}
	endpoint.Timed++
	endpoint.Octaves += int(math.Round(octaves * milli))
}

// longest returns the duration that nearly all answers stay below.
func (r *reference) longest() time.Duration { return time.Duration(r.durations.quantile(0.98)) }

// speeds returns how unlike the endpoints are.
func (r *reference) speeds() Speeds {
	var sum, squares float64
	var n int
	for _, endpoint := range r.endpoints {
		if endpoint.Timed < minEndpointAnswers {
			continue
		}
		mean := float64(endpoint.Octaves) / float64(endpoint.Timed)
		sum += mean
		squares += float64(mean * mean)
		n++
	}
	if n < 2 {
		return Speeds{}
	}
	mean := sum / float64(n)
	variance := (squares/float64(n) - float64(mean*mean)) / milli
	return Speeds{Endpoints: n, Mean: int(math.Round(mean)), Variance: int(math.Round(max(0, variance)))}
}

// sampleSize is the number of recent values of a sample, and sampleUpdates that after which
// its order is computed anew.
const (
	sampleSize    = 96
	sampleUpdates = 8
)

// sample knows quantiles of the most recent values.
type sample struct {
	values, sorted []float64
	next, seen     int
}

func (s *sample) add(v float64) {
	if len(s.values) < sampleSize {
		s.values = append(s.values, v)
	} else {
		s.values[s.next] = v
		s.next = (s.next + 1) % sampleSize
	}
	s.seen++
	if s.seen%sampleUpdates == 0 {
		s.sorted = append(s.sorted[:0], s.values...)
		slices.Sort(s.sorted)
	}
}

// quantile returns the least of the values that are greater than or equal to the given
// part of them, or 0 before there are enough values.
func (s *sample) quantile(part float64) float64 {
	if len(s.sorted) == 0 {
		return 0
	}
	return s.sorted[min(len(s.sorted)-1, int(part*float64(len(s.sorted))))]
}
