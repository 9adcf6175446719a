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
	// latePatience is how long a request waits whose target has passed, and
	// startedPatience the rest of a stream. Callers leave streams that stand still
	// for two seconds.
	latePatience    = 600 * time.Millisecond
	startedPatience = 1200 * time.Millisecond
	// maxWaiting bounds the requests that wait for one service.
	maxWaiting = 2000
	// sureRefusals is behind how many requests an estimate of the wait is taken
	// for sound.
	sureRefusals = 6
	// ranks is how many ranks are told apart; all above are one.
	ranks = 16
	// oldestEvery is at which grant of a rank the oldest goes first.
	oldestEvery = 6
	// turns is how many grants all ranks that are overtaken get together for
	// each grant to a more urgent one, so that no rank starves.
	turns = 0.2
)

// waiter is a request that waits.
type waiter struct {
	ask     *Ask
	entered time.Time
	// density is the request's worth for the time that it takes of a place.
	density  float64
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

// line is the requests that wait for one service. Within a rank the densest go
// first, because more callers are served that way: lengths of answers differ a
// hundredfold, and a few long ones take the places of many. Every few grants
// the one that has waited longest goes first, so that long ones are served too.
type line struct {
	byRank [ranks][]*waiter
	// grants counts those of each rank, to tell whose turn it is.
	grants [ranks]int
	// credit is how much of a turn each rank has saved up.
	credit [ranks]float64
	count  int
}

// rankOf returns the rank that a request waits in. What has been delivered of a
// stream is lost with its rest, so the rest goes before all that is new.
func rankOf(w *waiter) int {
	if w.ask.Started {
		return 0
	}
	return clampRank(w.ask.Rank)
}

func clampRank(rank usher.Rank) int { return int(max(0, min(rank, ranks-1))) }

func (l *line) len() int { return l.count }

func (l *line) add(w *waiter) {
	rank := rankOf(w)
	at, _ := slices.BinarySearchFunc(l.byRank[rank], w, func(other, added *waiter) int {
		if other.density >= added.density {
			return -1
		}
		return 1
	})
	l.byRank[rank] = slices.Insert(l.byRank[rank], at, w)
	l.count++
}

func (l *line) remove(w *waiter) {
	rank := rankOf(w)
	if at := slices.Index(l.byRank[rank], w); at >= 0 {
		l.byRank[rank] = slices.Delete(l.byRank[rank], at, at+1)
		l.count--
	}
}

// ahead returns how many requests are served before one of the line.
func (l *line) ahead(w *waiter) int {
	rank := rankOf(w)
	n := 0
	for r := range rank {
		n += len(l.byRank[r])
	}
	return n + max(0, slices.Index(l.byRank[rank], w))
}

// inOrder yields what waits, the next to be served first.
func (l *line) inOrder() iter.Seq[*waiter] {
	return func(yield func(*waiter) bool) {
		first := l.due()
		if first >= 0 && !l.yieldRank(first, yield) {
			return
		}
		for rank := range l.byRank {
			if rank != first && !l.yieldRank(rank, yield) {
				return
			}
		}
	}
}

func (l *line) yieldRank(rank int, yield func(*waiter) bool) bool {
	if l.grants[rank]%oldestEvery == oldestEvery-1 && len(l.byRank[rank]) > 1 {
		oldest := slices.MinFunc(l.byRank[rank], func(a, b *waiter) int { return a.entered.Compare(b.entered) })
		if !yield(oldest) {
			return false
		}
	}
	for _, w := range l.byRank[rank] {
		if !yield(w) {
			return false
		}
	}
	return true
}

// last returns the request of the rank that is served last, or nil.
func (l *line) last(rank int) *waiter {
	if n := len(l.byRank[rank]); n > 0 {
		return l.byRank[rank][n-1]
	}
	return nil
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
	l.grants[served]++
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
	if ask.Started {
		until = now.Add(startedPatience)
	} else if ask.Target.After(now) {
		span := ask.Target.Sub(ask.Arrived)
		begin := min(time.Duration(float64(span)*mostBegin), s.quickest(v, ask, now))
		until = ask.Target.Add(-max(begin, 2*tick))
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

// dismiss refuses the requests of a rank that would not be served before their
// patience ends. Refused at once, their callers lose no time.
func (s *Scheduler) dismiss(v *service, rank int, now time.Time) {
	for {
		w := v.line.last(rank)
		if w == nil || w.ask.Started {
			return
		}
		why := "too many requests wait"
		if v.line.len() <= maxWaiting {
			ahead := v.line.ahead(w)
			perSecond := v.left(rank, now)
			if ahead < sureRefusals || perSecond <= 0 {
				return
			}
			wait := time.Duration(float64(ahead) / perSecond * float64(time.Second))
			if !now.Add(wait).After(w.patience) {
				return
			}
			why = "the wait would be too long"
		}
		v.line.remove(w)
		v.counts.refused++
		w.decided <- decision{refused: s.refuse(v, w.ask, now, why)}
	}
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
