package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"filbertusher/pkg/usher"
)

// Decision is what would become of a request that came now.
type Decision string

// The decisions about a request.
const (
	DecisionSend   Decision = "send"
	DecisionWait   Decision = "wait"
	DecisionRefuse Decision = "refuse"
)

// Explanation is where a request would go now, and why. Times are in milliseconds.
type Explanation struct {
	Decision Decision           `json:"decision"`
	Endpoint usher.EndpointName `json:"endpoint,omitempty"`
	// Message and RetryAfterMs are those of a refusal. The time is drawn anew each time.
	Message      string `json:"message,omitempty"`
	RetryAfterMs int64  `json:"retryAfterMs,omitempty"`
	// WaitUntilMs is how long the request would wait at most, and ExpectedWaitMs how long it
	// is expected to. Ahead is the number of the Waiting requests that would go before it.
	WaitUntilMs    int64   `json:"waitUntilMs,omitempty"`
	ExpectedWaitMs int64   `json:"expectedWaitMs,omitempty"`
	Waiting        int     `json:"waiting"`
	Ahead          int     `json:"ahead"`
	Load           float64 `json:"load"`
	// Candidates are the endpoints in the order in which they would be chosen. Omitted is the
	// number of those beyond the limit.
	Candidates []Candidate `json:"candidates"`
	Omitted    int         `json:"omitted,omitempty"`
}

// Candidate is what is known of an endpoint, and what follows for the request.
type Candidate struct {
	Endpoint usher.EndpointName     `json:"endpoint"`
	Zone     usher.AvailabilityZone `json:"zone"`
	Software usher.SoftwareVersion  `json:"software,omitempty"`
	// Excluded is why the endpoint can't be chosen now, or "".
	Excluded string `json:"excluded,omitempty"`
	// CostMs orders the endpoints: FinishMs, more if the first event would miss the target.
	CostMs       int64 `json:"costMs"`
	FirstEventMs int64 `json:"firstEventMs"`
	FinishMs     int64 `json:"finishMs"`
	MissesTarget bool  `json:"missesTarget,omitempty"`
	// Own and Others are the requests of this instance and of the others there, and Share the
	// number that this instance may have there now.
	Own    int `json:"own"`
	Others int `json:"others"`
	Slots  int `json:"slots"`
	Share  int `json:"share"`
	// Ratio is the measured time to the first event relative to the prediction, and PaceMs
	// the time between events. The ages are those of this instance's own measurements, or -1
	// if it has none.
	Ratio       float64 `json:"ratio"`
	RatioAgeMs  int64   `json:"ratioAgeMs"`
	PaceMs      float64 `json:"paceMs"`
	PaceAgeMs   int64   `json:"paceAgeMs"`
	FailureRate float64 `json:"failing"`
	// Cached is the number of leading prompt tokens that are expected in the cache.
	Cached usher.Tokens `json:"cached"`
}

// Explain returns where a request would go if it came now, with at most the given number of
// candidates. It changes nothing.
func (s *Scheduler) Explain(request *Request, most int) Explanation {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	svc := s.services[request.Service]
	if svc == nil {
		svc = &service{name: request.Service, prefixes: newPrefixTable()}
	}
	// What averages over time is brought up to date in a copy.
	asked := *svc
	explanation := Explanation{Waiting: svc.queue.len(), Load: svc.load()}
	explanation.Candidates = s.candidates(&asked, request, now)
	s.explainDecision(&asked, request, now, &explanation)
	if n := len(explanation.Candidates); n > most {
		explanation.Omitted, explanation.Candidates = n-most, explanation.Candidates[:most]
	}
	return explanation
}

// explainDecision decides as enqueue does. svc is a copy.
func (s *Scheduler) explainDecision(svc *service, request *Request, now time.Time, e *Explanation) {
	w := svc.asWaiter(request, now)
	if len(svc.endpoints) == 0 {
		w.waitDeadline = now.Add(noEndpointWait)
	} else {
		w.waitDeadline = s.waitDeadline(svc, request, now)
	}
	e.Ahead = svc.queue.before(w)
	refuse := func(refusal *usher.Refusal) {
		e.Decision, e.Message, e.RetryAfterMs = DecisionRefuse, refusal.Message, refusal.RetryAfter.Milliseconds()
	}
	switch {
	case svc.isBlockedByPauses(w, now):
		refuse(s.refuse(svc, request, now, pausedMessage))
		return
	case !s.canFinish(svc, request, now):
		refuse(unfinishableRefusal())
		return
	case len(e.Candidates) > 0 && e.Candidates[0].Excluded == "" &&
		!s.isWorthWaiting(svc, w, svc.endpoints[e.Candidates[0].Endpoint], svc.queue.before, now):
		e.Decision, e.Endpoint = DecisionSend, e.Candidates[0].Endpoint
		return
	}
	left := w.waitDeadline.Sub(now)
	if perSecond := svc.availableRate(w, now); len(svc.endpoints) > 0 && perSecond > 0 {
		expected := time.Duration((float64(e.Ahead) + medianArrival) / perSecond * float64(time.Second))
		e.ExpectedWaitMs = expected.Milliseconds()
		if left <= expected {
			refuse(s.refuse(svc, request, now, "the wait would be too long"))
			return
		}
	}
	e.Decision, e.WaitUntilMs = DecisionWait, max(0, left).Milliseconds()
}

// asWaiter returns the request as it would be queued, without counting it.
func (svc *service) asWaiter(request *Request, now time.Time) *waiter {
	w := &waiter{request: request, enqueued: now, density: 1}
	switch {
	case request.Started:
		w.density = math.Inf(1)
	case svc.spec.Engine:
		stats := svc.routes[request.Route]
		if stats == nil {
			stats = &routeStats{}
		}
		size := sizeOf(request)
		w.stats, w.class = stats, stats.classOf(size)
		w.density = stats.value(size) / svc.serviceSeconds(request.Prompt, request.Answer)
	}
	return w
}

// before returns how many queued requests would precede one that is not queued, ignoring
// credit and age.
func (q *waitQueue) before(w *waiter) int {
	rank, n := rankOf(w), 0
	for r := range rank {
		n += len(q.byRank[r])
	}
	for _, other := range q.byRank[rank] {
		if other.isOwed() && !w.isOwed() || other.isOwed() == w.isOwed() && other.density >= w.density {
			n++
		}
	}
	return n
}

// candidates returns the endpoints in the order in which bestEndpoint would choose them.
func (s *Scheduler) candidates(svc *service, request *Request, now time.Time) []Candidate {
	type ranked struct {
		Candidate
		inTime bool
		cost   time.Duration
		order  uint64
	}
	var all []ranked
	left, anyInTime := request.Deadline.Sub(now), false
	tieSeed := s.tieSeed(svc, request)
	for _, known := range svc.endpoints {
		// The rate limit is brought up to date in a copy.
		e := *known
		cached := svc.prefixes.cachedTokens(request.Prefix, e.Name)
		first := e.timeToFirstEvent(svc, max(0, request.Prompt-cached), now)
		finish := first + e.timeAfterFirstEvent(svc, request, s.options.Zone)
		c := Candidate{
			Endpoint: e.Name, Zone: e.Zone, Software: e.Software, Excluded: s.exclusion(svc, &e, request, now),
			FirstEventMs: first.Milliseconds(), FinishMs: finish.Milliseconds(),
			MissesTarget: request.Target.After(now) && first > request.Target.Sub(now),
			Own:          e.own.Running, Others: e.others.Running, Slots: e.slotCount(svc.spec), Share: e.ownLimit(svc),
			Ratio: e.currentRatio(now), RatioAgeMs: ageMs(e.ratioMeasured, now),
			PaceMs: float64(e.eventInterval.Microseconds()) / 1000, PaceAgeMs: ageMs(e.intervalMeasured, now),
			FailureRate: e.currentFailureRate(now), Cached: cached,
		}
		cost := finish + s.zoneCost(svc, &e, request, now)
		if c.MissesTarget {
			cost += latePenalty
		}
		c.CostMs = cost.Milliseconds()
		inTime := finish < left
		anyInTime = anyInTime || inTime && request.mayUse(&e)
		all = append(all, ranked{Candidate: c, inTime: inTime, cost: cost, order: e.tieOrder(tieSeed)})
	}
	for i := range all {
		if c := &all[i]; anyInTime && !c.inTime && c.Excluded == "" {
			c.Excluded = "would finish after the deadline"
		}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(min(1, len(a.Excluded)), min(1, len(b.Excluded))), cmp.Compare(a.cost, b.cost), cmp.Compare(a.order, b.order))
	})
	candidates := make([]Candidate, len(all))
	for i := range all {
		candidates[i] = all[i].Candidate
	}
	return candidates
}

// ownLimit returns how many requests this instance may have at the endpoint now, as canSend
// decides if no rate limit is named.
func (e *endpoint) ownLimit(svc *service) int {
	if !svc.spec.Engine {
		return max(minPlainSlots, e.guaranteed)
	}
	return max(e.guaranteed, e.borrowLimit)
}

func ageMs(measured, now time.Time) int64 {
	if measured.IsZero() {
		return -1
	}
	return now.Sub(measured).Milliseconds()
}

// exclusion returns why the request can't be sent to the endpoint now, or "". e is a copy.
func (s *Scheduler) exclusion(svc *service, e *endpoint, request *Request, now time.Time) string {
	switch {
	case request.Software != nil && *request.Software != e.Software:
		return "other software version"
	case slices.Contains(request.Tried, e.Name):
		return "tried already"
	case s.canSend(svc, e, now):
		return ""
	case now.Before(e.suspendedUntil) && e.backoff > 0:
		return "could not be reached"
	case now.Before(e.suspendedUntil):
		return "reported to be full"
	case !svc.pausedUntil(e, now).IsZero():
		return "wants no requests for a time"
	case !s.withinLimit(svc, e, now):
		return "rate limit"
	case e.slotCount(svc.spec) <= e.own.Running+e.others.Running:
		return "no free slot"
	default:
		return "share of this instance in use"
	}
}
