package dispatch

import (
	"iter"
	"math"
	"slices"
	"time"

	"filbertusher/pkg/usher"
)

const (
	// noEndpointWait is how long requests wait while a service has no endpoint.
	noEndpointWait = 250 * time.Millisecond
	// maxFirstEventFraction caps the time reserved for an engine to produce the
	// first event, as a fraction of the time from arrival to target. Below the cap,
	// the reserved time is firstEventMargin times the expected time to first event.
	maxFirstEventFraction = 0.5
	firstEventMargin      = 1.3
	// lateWait is how long a request waits whose target has passed, and startedWait
	// how long the remainder of a stream waits. Callers abandon streams that stall
	// for two seconds.
	lateWait    = 600 * time.Millisecond
	startedWait = 1200 * time.Millisecond
	// maxWaiting bounds the number of requests that wait for one service.
	maxWaiting = 2000
	// medianArrival is the median time to the next grant, in mean times between two
	// grants: the median of an exponential distribution.
	medianArrival = math.Ln2
	// ranks is the number of distinct ranks. Higher ranks are treated as the last.
	ranks = 16
	// oldestEvery is the interval, in grants of a rank, at which the oldest request of
	// the rank goes first.
	oldestEvery = 6
	// creditPerGrant is the credit, in grants, that is divided among the overtaken
	// ranks for each grant to a more urgent rank, so that no rank starves.
	creditPerGrant = 0.2
)

// waiter is a queued request. It is refused if it still waits at waitDeadline.
// decided receives the decision and has a buffer of one: a decision is sent with the
// scheduler's lock held, and the caller that should receive it may wait for that lock. A
// second decision would block all callers for good. Therefore one is sent only for a request
// that was removed from the queue by the same call, or that was never in it.
type waiter struct {
	request  *Request
	enqueued time.Time
	// density is the request's value per second of slot time.
	density float64
	// stats are the statistics of the request's route and class its size class there.
	// stats is nil for started requests and for those to plain services.
	stats        *routeStats
	class        sizeClass
	waitDeadline time.Time
	decided      chan decision
}

// decision is the outcome of a wait: either a grant or a refusal.
type decision struct {
	grant   *Grant
	refusal *usher.Refusal
}

func (d decision) err() error {
	// A nil *usher.Refusal would become an error that is not nil.
	if d.refusal == nil {
		return nil
	}
	return d.refusal
}

// waitQueue holds the requests that wait for one service. Within a rank, requests
// are ordered by descending value density, which serves more callers: answer
// lengths differ by a factor of a hundred, and a few long answers occupy the slots
// of many short ones. Requests whose size class is owed a grant go before them, so
// that long answers are served too, and every few grants the oldest request of the
// rank goes first. count is the number of queued requests of all ranks.
type waitQueue struct {
	byRank [ranks][]*waiter
	// grants counts the grants of each rank, to find when the oldest request is due.
	grants [ranks]int
	// credit is the credit of each rank, in grants. A rank with a credit of at least
	// one is served before more urgent ranks.
	credit [ranks]float64
	// densities are the densities of the last requests of each rank.
	densities [ranks]densityWindow
	count     int
}

// rankOf returns the rank that a request is queued under. Started requests get the
// most urgent rank: without the remainder of a stream, the part that was already
// delivered is lost.
func rankOf(w *waiter) int {
	if w.request.Started {
		return 0
	}
	return clampRank(w.request.Rank)
}

func clampRank(rank usher.Rank) int { return int(max(0, min(rank, ranks-1))) }

func (q *waitQueue) len() int { return q.count }

func (q *waitQueue) add(w *waiter) {
	rank := rankOf(w)
	at, _ := slices.BinarySearchFunc(q.byRank[rank], w, func(other, added *waiter) int {
		if other.density >= added.density {
			return -1
		}
		return 1
	})
	q.byRank[rank] = slices.Insert(q.byRank[rank], at, w)
	q.densities[rank].add(w.density)
	q.count++
}

// remove reports whether the request was queued.
func (q *waitQueue) remove(w *waiter) bool {
	rank := rankOf(w)
	at := slices.Index(q.byRank[rank], w)
	if at < 0 {
		return false
	}
	q.byRank[rank] = slices.Delete(q.byRank[rank], at, at+1)
	q.count--
	return true
}

// ahead returns how many queued requests precede the given one, ignoring credit
// and age.
func (q *waitQueue) ahead(w *waiter) int {
	rank := rankOf(w)
	n := 0
	for r := range rank {
		n += len(q.byRank[r])
	}
	owed, behind := w.isOwed(), false
	for _, other := range q.byRank[rank] {
		switch {
		case other == w:
			behind = true
		case other.isOwed() != owed:
			if !owed {
				n++
			}
		case !behind:
			n++
		}
	}
	return n
}

// inOrder yields each queued request once, in the order in which they are to be served.
func (q *waitQueue) inOrder() iter.Seq[*waiter] {
	return func(yield func(*waiter) bool) {
		first := q.dueRank()
		if first >= 0 && !q.yieldRank(first, yield) {
			return
		}
		for rank := range q.byRank {
			if rank != first && !q.yieldRank(rank, yield) {
				return
			}
		}
	}
}

func (q *waitQueue) yieldRank(rank int, yield func(*waiter) bool) bool {
	var oldest *waiter
	if q.grants[rank]%oldestEvery == oldestEvery-1 && len(q.byRank[rank]) > 1 {
		oldest = slices.MinFunc(q.byRank[rank], func(a, b *waiter) int { return a.enqueued.Compare(b.enqueued) })
		if !yield(oldest) {
			return false
		}
	}
	for _, owed := range []bool{true, false} {
		for _, w := range q.byRank[rank] {
			if w != oldest && w.isOwed() == owed && !yield(w) {
				return false
			}
		}
	}
	return true
}

// last returns the request of the rank that is served last, or nil: the one with the
// lowest density, if possible of a size class that is not owed a grant.
func (q *waitQueue) last(rank int) *waiter {
	waiters := q.byRank[rank]
	for _, w := range slices.Backward(waiters) {
		if !w.isOwed() {
			return w
		}
	}
	if n := len(waiters); n > 0 {
		return waiters[n-1]
	}
	return nil
}

// dueRank returns the rank that is served next because of its credit, although
// more urgent requests may wait, or -1 if there is none.
func (q *waitQueue) dueRank() int {
	for rank := ranks - 1; rank > 0; rank-- {
		if len(q.byRank[rank]) > 0 && q.credit[rank] >= 1 {
			return rank
		}
	}
	return -1
}

// noteGrant counts a grant to w and divides credit among the ranks that it
// overtook, up to a credit of two grants for each rank.
func (q *waitQueue) noteGrant(w *waiter) {
	served := rankOf(w)
	q.grants[served]++
	if w.stats != nil {
		w.stats.noteGrant(w.class)
	}
	if q.credit[served] >= 1 {
		q.credit[served]--
	}
	overtaken := 0
	for rank := served + 1; rank < ranks; rank++ {
		if len(q.byRank[rank]) > 0 {
			overtaken++
		}
	}
	for rank := served + 1; rank < ranks; rank++ {
		if len(q.byRank[rank]) > 0 {
			q.credit[rank] = min(2, q.credit[rank]+creditPerGrant/float64(overtaken))
		}
	}
}

// expired returns the requests whose wait deadline has passed.
func (q *waitQueue) expired(now time.Time) []*waiter {
	var late []*waiter
	for rank := range q.byRank {
		for _, w := range q.byRank[rank] {
			if !now.Before(w.waitDeadline) {
				late = append(late, w)
			}
		}
	}
	return late
}

// waitDeadline returns until when a request waits: as long as an endpoint could
// still produce the first event by the target.
func (s *Scheduler) waitDeadline(svc *service, request *Request, now time.Time) time.Time {
	until := now.Add(lateWait)
	if request.Started {
		until = now.Add(startedWait)
	} else if request.Target.After(now) {
		span := request.Target.Sub(request.Arrived)
		reserved := min(time.Duration(float64(span)*maxFirstEventFraction), s.minTimeToFirstEvent(svc, request, now))
		until = request.Target.Add(-max(reserved, 2*tickInterval))
	}
	if request.Deadline.Before(until) {
		until = request.Deadline
	}
	return until
}

// minTimeToFirstEvent returns the shortest expected time to first event of all
// endpoints that the request may use, with a safety margin, or the longest time that can be
// represented if there is none.
func (s *Scheduler) minTimeToFirstEvent(svc *service, request *Request, now time.Time) time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for _, e := range svc.endpoints {
		if request.mayUse(e) {
			shortest = min(shortest, e.timeToFirstEvent(svc, request.Prompt, now))
		}
	}
	if shortest == math.MaxInt64 {
		// The product is out of range, and what it is converted to depends on the processor.
		return shortest
	}
	return time.Duration(float64(shortest) * firstEventMargin)
}

// shedLoad refuses the requests of a rank and of less urgent ones that are not
// expected to be served before their wait deadline. Refusing them immediately saves
// their callers the wait. The load that this answers is an overload spread over many
// instances, each of which has a queue of only a few requests.
func (s *Scheduler) shedLoad(svc *service, rank int, now time.Time) {
	if len(svc.endpoints) == 0 {
		return
	}
	for r := ranks - 1; r >= rank; r-- {
		s.shedRank(svc, r, now)
	}
}

func (s *Scheduler) shedRank(svc *service, rank int, now time.Time) {
	for {
		w := svc.queue.last(rank)
		if w == nil || w.request.Started {
			return
		}
		message := "too many requests wait"
		if svc.queue.len() <= maxWaiting {
			if svc.mayGetSlot(w, svc.queue.ahead(w), now) {
				return
			}
			message = "the wait would be too long"
		}
		s.refuseQueued(svc, w, now, &svc.counts.refused, message)
	}
}

// mayGetSlot reports whether a request with a number of queued ones ahead is expected to be served before its wait
// deadline, or nothing is known yet.
func (svc *service) mayGetSlot(w *waiter, ahead int, now time.Time) bool {
	perSecond := svc.availableRate(w, now)
	return perSecond <= 0 || w.waitDeadline.Sub(now).Seconds() > (float64(ahead)+medianArrival)/perSecond
}

// availableRate returns the grants per second that remain for a queued request, or 0
// until a request has been answered. It is the rate of the service less that of the
// arrivals that go before the request: those of more urgent ranks and, within its rank,
// of higher density. It is never below half of the rate that credit gives to overtaken
// ranks.
func (svc *service) availableRate(w *waiter, now time.Time) float64 {
	if svc.slotTime == 0 {
		return 0
	}
	// Until all slots are taken, grants are as frequent as arrivals. The rate at which
	// slots are released shows more.
	total := max(svc.grantRate.perSecond(now), float64(svc.running)/svc.slotTime.Seconds())
	rank := rankOf(w)
	taken := 0.0
	for r := range rank {
		taken += svc.arrivalRates[r].perSecond(now)
	}
	if !w.isOwed() {
		taken += svc.arrivalRates[rank].perSecond(now) * svc.queue.densities[rank].fractionAbove(w.density)
	}
	return max(total*creditPerGrant/2, total-taken)
}

// rate measures events per second, averaged over about the last second. value is
// that average, and count the number of events since windowStart, which are not in
// it yet.
type rate struct {
	value       float64
	count       float64
	windowStart time.Time
}

// rateWindow is the shortest interval over which events are counted before they
// enter the average.
const rateWindow = 250 * time.Millisecond

func (r *rate) add(now time.Time) {
	r.update(now)
	r.count++
}

func (r *rate) update(now time.Time) {
	if r.windowStart.IsZero() {
		r.windowStart = now
	}
	elapsed := now.Sub(r.windowStart)
	if elapsed < rateWindow {
		return
	}
	measured := r.count / elapsed.Seconds()
	weight := min(1, elapsed.Seconds())
	r.value += (measured - r.value) * weight
	r.count, r.windowStart = 0, now
}

func (r *rate) perSecond(now time.Time) float64 {
	r.update(now)
	return r.value
}
