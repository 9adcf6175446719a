package dispatch

import (
	"slices"
	"time"

	"filbertusher/pkg/usher"
)

// An endpoint that is short of resources names, in its answers, how many requests per
// second it takes from all instances together. The load that this answers: many such
// endpoints at once, and many instances, each of which may send only a fraction of a
// request per second.
//
// A few instances hold a part of the limit each and the others send nothing, so that the
// bursts of all holders together stay small without a message for each request:
//
//	requests in t seconds <= perSecond*t + holders
//
// Which instances hold it follows from the members and the endpoint's name, as the
// rounding of shares does. The holders divide the limit in proportion to their shares of
// the slots, that is by demand.

const (
	// baseHolders is the number of holders of a limit below one request per second. There
	// is one more for each request per second.
	baseHolders = 2
	// minNamedLimit is the rate, in requests per second, at which an endpoint gets
	// requests that names a lower limit. Only an answer shows that the limit has ended.
	minNamedLimit = 0.25
	// liftedReportTTL is how long reports tell that an endpoint names no limit any more.
	liftedReportTTL = 10 * time.Second
)

// NamedLimit is the rate limit that an endpoint named last. Born identifies the
// endpoint's incarnation. Named is unset if the endpoint has stopped to name a limit. Age
// is the time since the answer that shows it, at the moment of the report.
type NamedLimit struct {
	Born      int64
	Named     bool
	PerSecond float64
	Age       time.Duration
}

// rateLimit is the state of an endpoint's rate limit in this instance. observed is when
// the answer arrived, here or at another instance, that shows the limit or its end.
// tokens, at most one, is what this instance may send, as of filled.
type rateLimit struct {
	named     bool
	perSecond float64
	observed  time.Time
	tokens    float64
	filled    time.Time
}

// ReportLimit reports the rate limit, in requests per second, that the endpoint's answer
// names; nil if it names none.
func (g *Grant) ReportLimit(perSecond *float64) {
	s := g.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	limit, now := &g.endpoint.limit, s.options.Now()
	switch {
	case perSecond != nil:
		limit.set(*perSecond, now, now)
	case limit.named && g.sent.After(limit.observed):
		// Answers to earlier requests may have been made before the limit.
		limit.named, limit.observed = false, now
	}
}

func (l *rateLimit) set(perSecond float64, observed, now time.Time) {
	if !l.named {
		l.tokens, l.filled = 0, now
	}
	l.named, l.perSecond, l.observed = true, max(perSecond, minNamedLimit), observed
}

// merge takes over what another instance reports, if it is newer and says anything new.
func (l *rateLimit) merge(report NamedLimit, now time.Time) {
	observed := now.Add(-report.Age)
	if !observed.After(l.observed) || report.Named == l.named && (!l.named || report.PerSecond == l.perSecond) {
		return
	}
	if report.Named {
		l.set(report.PerSecond, observed, now)
		return
	}
	l.named, l.observed = false, observed
}

// report returns the limit for a report, and whether there is anything to report.
func (l *rateLimit) report(born int64, now time.Time) (NamedLimit, bool) {
	age := now.Sub(l.observed)
	if l.observed.IsZero() || !l.named && age > liftedReportTTL {
		return NamedLimit{}, false
	}
	return NamedLimit{Born: born, Named: l.named, PerSecond: l.perSecond, Age: age}, true
}

// mergeLimits applies the limits that another instance reports.
func (s *Scheduler) mergeLimits(limits map[usher.EndpointName]NamedLimit, now time.Time) {
	for name, limit := range limits {
		for _, svc := range s.services {
			if e := svc.endpoints[name]; e != nil && e.Born == limit.Born {
				e.limit.merge(limit, now)
			}
		}
	}
}

// withinLimit reports whether this instance may send one more request to the endpoint by
// its rate limit.
func (s *Scheduler) withinLimit(svc *service, e *endpoint, now time.Time) bool {
	if !e.limit.named {
		return true
	}
	rate := e.limit.perSecond * limitShare(svc.shares, e.roundingOrder, slices.Index(s.members, s.options.Self), e.limit.perSecond)
	if elapsed := now.Sub(e.limit.filled); elapsed > 0 {
		e.limit.tokens = min(1, e.limit.tokens+rate*elapsed.Seconds())
		e.limit.filled = now
	}
	return e.limit.tokens >= 1
}

func (l *rateLimit) take() {
	if l.named {
		l.tokens--
	}
}

// limitShare returns the part of an endpoint's rate limit that belongs to the member with
// the index self. order is the endpoint's order of the members.
func limitShare(shares []float64, order []int, self int, perSecond float64) float64 {
	if self < 0 || len(shares) != len(order) {
		return 1 / float64(max(1, len(order)))
	}
	holders := order[:min(len(order), baseHolders+int(min(perSecond, float64(len(order)))))]
	if !slices.Contains(holders, self) {
		return 0
	}
	sum := 0.0
	for _, holder := range holders {
		sum += shares[holder]
	}
	if sum <= 0 {
		return 1 / float64(len(holders))
	}
	return shares[self] / sum
}
