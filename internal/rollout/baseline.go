package rollout

import (
	"math"
	"slices"
	"time"

	"filbertusher/internal/boottime"
	"filbertusher/pkg/usher"
)

const (
	// baselineWindow is how far back the current endpoints' answers go that a candidate's
	// answer is compared with, and baselineStep the time between the states that are kept
	// for it.
	baselineWindow = 8 * time.Second
	baselineStep   = 500 * time.Millisecond
	// priorAnswers is the weight of a route's rates since the order, in answers, among
	// those of the window.
	priorAnswers = 20
)

// baseline knows how the current endpoints of the whole fleet answered lately.
type baseline struct {
	total   map[usher.RouteName]Counts
	history []snapshot
	// residence is the mean time in which attempts at current endpoints ended.
	residence time.Duration
}

// snapshot is a state of the fleet's evidence.
type snapshot struct {
	at                  boottime.Time
	routes              map[usher.RouteName]Counts
	current, candidates Side
	answers             tally
}

// update keeps the state of the fleet's evidence.
func (b *baseline) update(now boottime.Time, fleet *Evidence, answers tally, running int) {
	b.total = fleet.Routes
	if n := len(b.history); n > 0 && now.Sub(b.history[n-1].at) < baselineStep {
		return
	}
	b.history = append(b.history, snapshot{now, fleet.Routes, fleet.Current, fleet.Candidates, answers})
	for len(b.history) > 2 && now.Sub(b.history[1].at) >= baselineWindow {
		b.history = b.history[1:]
	}
	oldest := &b.history[0]
	if sent := fleet.Current.Sent - oldest.current.Sent; sent > 0 && now > oldest.at {
		b.residence = time.Duration(float64(running) / float64(sent) * float64(now.Sub(oldest.at)))
	}
}

// rates returns the shares of the current endpoints' answers on a route that failed or were
// slow lately.
func (b *baseline) rates(route usher.RouteName) (failed, slow float64) {
	total := b.total[route]
	var old Counts
	if len(b.history) > 0 {
		old = b.history[0].routes[route]
	}
	return rate(total.Answers, total.Failed, old.Answers, old.Failed), rate(total.Timed, total.Slow, old.Timed, old.Slow)
}

// rate returns the share of bad answers since the old state, with that of all answers as a
// prior.
func rate(answers, bad, oldAnswers, oldBad int) float64 {
	prior := (float64(bad) + 0.5) / float64(answers+priorAnswers)
	n := float64(max(0, answers-oldAnswers))
	return (float64(max(0, bad-oldBad)) + float64(priorAnswers*prior)) / (n + priorAnswers)
}

// tally counts bad answers, and how many were expected.
type tally struct {
	answers  int
	bad      int
	expected float64
}

func (t tally) plus(o tally) tally {
	return tally{t.answers + o.answers, t.bad + o.bad, t.expected + o.expected}
}

func (t tally) minus(o tally) tally {
	return tally{t.answers - o.answers, t.bad - o.bad, t.expected - o.expected}
}

func (t tally) excess() float64 { return float64(t.bad) - t.expected }

// expectedShare returns the expected share of bad answers, which is never 0 or 1.
func (t tally) expectedShare() float64 {
	if t.answers == 0 {
		return minExpectedShare
	}
	return min(max(t.expected/float64(t.answers), minExpectedShare), 1-minExpectedShare)
}

// deviations returns by how many standard deviations there are more bad answers than
// expected.
func (t tally) deviations() float64 {
	p := t.expectedShare()
	n := float64(t.answers)
	return (float64(t.bad) - float64(p*n)) / math.Sqrt(float64(n*p*(1-p))+0.5)
}

// minExpectedShare is the least assumed share of bad answers of a good version.
const minExpectedShare = 0.002

// additionalShares are the shares of additional bad answers against which the expected
// ones are weighed.
var additionalShares = [...]float64{0.02, 0.05, 0.1, 0.25, 0.5}

// support holds for each of additionalShares the logarithm of how much likelier the answers
// are if so many more are bad.
type support [len(additionalShares)]float64

func (t tally) support() support {
	var s support
	p := t.expectedShare()
	for i, share := range additionalShares {
		bad := min(p+share, 1-minExpectedShare)
		s[i] = float64(float64(t.bad)*math.Log(bad/p)) + float64(float64(t.answers-t.bad)*math.Log((1-bad)/(1-p)))
	}
	return s
}

func (s support) plus(o support) support {
	for i := range s {
		s[i] += o[i]
	}
	return s
}

func (s support) minus(o support) support {
	for i := range s {
		s[i] -= o[i]
	}
	return s
}

// against returns the logarithm of the mean likelihood ratio. If the answers are as expected,
// the chance that it ever exceeds x is at most exp(-x), however often it is looked at
// (Ville's inequality).
func (s support) against() float64 {
	most := max(s[0], s[1], s[2], s[3], s[4])
	var sum float64
	for _, ratio := range s {
		sum += math.Exp(ratio - most)
	}
	return most + math.Log(sum/float64(len(s)))
}

// excluding returns the same logarithm for the opposite: that the answers are as expected, if
// so many more are bad as the share, which must be one of additionalShares.
func (s support) excluding(share float64) float64 {
	return -s[slices.Index(additionalShares[:], share)]
}
