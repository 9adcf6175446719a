package dispatch

import (
	"iter"
	"math"
	"slices"
	"time"

	"filbertusher/pkg/usher"
)

const (
	// absentPatience is how long requests wait while a service has no endpoint.
	absentPatience = 250 * time.Millisecond
	// mostBegin is the part of the time to the target that is kept for an engine
	// to begin its answer, at most, and beginMargin by how much more than the
	// expected time is kept.
	mostBegin   = 0.5
	beginMargin = 1.3
	// latePatience is how long a request waits whose target has passed, such as
	// the rest of a stream that broke off.
	latePatience = 600 * time.Millisecond
	// maxWaiting bounds the requests that wait for one service.
	maxWaiting = 2000
	// sureRefusals is behind how many requests an estimate of the wait is taken
	// for sound.
	sureRefusals = 6
	// ranks is how many ranks are told apart; all above are one.
	ranks = 16
	// turns is how many grants all ranks that are overtaken get together for
	// each grant to a more urgent one, so that no rank starves.
	turns = 0.2
)

// waiter is a request that waits.
type waiter struct {
	ask      *Ask
	entered  time.Time
	patience time.Time
	decided  chan decision
}

type decision struct {
	grant   *Grant
	refused *usher.Refusal
}

func (d decision) refusal() error {
	if d.refused == nil {
		return nil
	}
	return d.refused
}

// line is the requests that wait for one service, by rank and arrival.
type line struct {
	byRank [ranks][]*waiter
	// credit is how much of a turn each rank has saved up.
	credit [ranks]float64
	count  int
}

func rankOf(w *waiter) int { return clampRank(w.ask.Rank) }

func clampRank(rank usher.Rank) int { return int(max(0, min(rank, ranks-1))) }

func (l *line) len() int { return l.count }

func (l *line) add(w *waiter) {
	rank := rankOf(w)
	l.byRank[rank] = append(l.byRank[rank], w)
	l.count++
}

func (l *line) remove(w *waiter) {
	rank := rankOf(w)
	if at := slices.Index(l.byRank[rank], w); at >= 0 {
		l.byRank[rank] = slices.Delete(l.byRank[rank], at, at+1)
		l.count--
	}
}

// ahead returns how many requests are served before a new one of the rank.
func (l *line) ahead(rank usher.Rank) int {
	n := 0
	for r := 0; r <= int(min(rank, ranks-1)); r++ {
		n += len(l.byRank[r])
	}
	return n
}

// inOrder yields what waits, the next to be served first.
func (l *line) inOrder() iter.Seq[*waiter] {
	return func(yield func(*waiter) bool) {
		first := l.due()
		if first >= 0 {
			for _, w := range l.byRank[first] {
				if !yield(w) {
					return
				}
			}
		}
		for rank := range l.byRank {
			if rank == first {
				continue
			}
			for _, w := range l.byRank[rank] {
				if !yield(w) {
					return
				}
			}
		}
	}
}

// due returns the rank whose turn it is although more urgent ones wait, or -1.
func (l *line) due() int {
	for rank := ranks - 1; rank > 0; rank-- {
		if len(l.byRank[rank]) > 0 && l.credit[rank] >= 1 {
			return rank
		}
	}
	return -1
}

// granted notes that a request was served, and divides a part of a turn among
// the ranks that it overtook.
func (l *line) granted(w *waiter) {
	served := rankOf(w)
	if l.credit[served] >= 1 {
		l.credit[served]--
	}
	overtaken := 0
	for rank := served + 1; rank < ranks; rank++ {
		if len(l.byRank[rank]) > 0 {
			overtaken++
		}
	}
	for rank := served + 1; rank < ranks; rank++ {
		if len(l.byRank[rank]) > 0 {
			l.credit[rank] = min(2, l.credit[rank]+turns/float64(overtaken))
		}
	}
}

// expired returns the requests whose patience has ended.
func (l *line) expired(now time.Time) []*waiter {
	var late []*waiter
	for rank := range l.byRank {
		for _, w := range l.byRank[rank] {
			if !now.Before(w.patience) {
				late = append(late, w)
			}
		}
	}
	return late
}

// patience returns until when a request waits: as long as an engine could still
// begin its answer in time.
func (s *Scheduler) patience(v *service, ask *Ask, now time.Time) time.Time {
	until := now.Add(latePatience)
	if ask.Target.After(now) {
		span := ask.Target.Sub(ask.Arrived)
		until = ask.Target.Add(-min(time.Duration(float64(span)*mostBegin), s.quickest(v, ask, now)))
	}
	if ask.Deadline.Before(until) {
		until = ask.Deadline
	}
	return until
}

// quickest returns the shortest time in which any endpoint is expected to begin
// its answer.
func (s *Scheduler) quickest(v *service, ask *Ask, now time.Time) time.Duration {
	quickest := time.Duration(math.MaxInt64)
	for _, e := range v.engines {
		if !slices.Contains(ask.Tried, e.Name) {
			quickest = min(quickest, e.first(v, ask.Prompt, now))
		}
	}
	return time.Duration(float64(quickest) * beginMargin)
}

// hopeless returns a refusal for a request that would not be served before its
// patience ends. Refused at once, its caller loses no time.
func (s *Scheduler) hopeless(v *service, w *waiter, now time.Time) *usher.Refusal {
	if v.line.len() >= maxWaiting {
		return s.refuse(v, w.ask, now, "too many requests wait")
	}
	ahead := v.line.ahead(w.ask.Rank)
	perSecond := v.left(rankOf(w), now)
	if ahead < sureRefusals || perSecond <= 0 {
		return nil
	}
	wait := time.Duration(float64(ahead) / perSecond * float64(time.Second))
	if now.Add(wait).After(w.patience) {
		return s.refuse(v, w.ask, now, "the wait would be too long")
	}
	return nil
}

// left returns how many grants a second are left for a rank by those that are
// more urgent, or 0 while too little was seen.
func (v *service) left(rank int, now time.Time) float64 {
	all := v.drain.perSecond(now)
	taken := 0.0
	for r := range rank {
		taken += v.arrivals[r].perSecond(now)
	}
	return max(all*turns/2, all-taken)
}

// rate measures how many events happen a second, over the last second or so.
type rate struct {
	value float64
	count float64
	since time.Time
}

// rateSpan is over what time events are counted.
const rateSpan = 250 * time.Millisecond

func (r *rate) note(now time.Time) {
	r.fold(now)
	r.count++
}

func (r *rate) fold(now time.Time) {
	if r.since.IsZero() {
		r.since = now
	}
	passed := now.Sub(r.since)
	if passed < rateSpan {
		return
	}
	seen := r.count / passed.Seconds()
	weight := min(1, passed.Seconds())
	r.value += (seen - r.value) * weight
	r.count, r.since = 0, now
}

func (r *rate) perSecond(now time.Time) float64 {
	r.fold(now)
	return r.value
}
