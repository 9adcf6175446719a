package waiting

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"filbertusher/pkg/usher"
)

// pace learns how fast the engine is and how many requests it can run at the
// target pace.
//
// Tokens are counted by atomic adds and taken in once in a while, so a token
// costs no lock. The limit rises while requests wait for it and the pace is
// kept, and falls by an eighth when the pace is passed, as congestion windows
// do. It rises by one near the target and by a quarter far below it, so that a
// burst at an idle engine is not held back for as long as the limit takes to
// climb in single steps:
//
//	limit 8, 500 requests wait, pace 20 ms of 25:   9, 10, 11, ... 50 s to 500
//	limit 8, 500 requests wait, pace 5 ms of 25:    10, 12, 15, ... 2 s to 500
//
// Where the engine is so slow that the target can't be kept even by a request
// that is alone in it, fewer requests would only lose throughput, so half as
// much again as the pace of one alone is tolerated. It has no model of the
// engine, so an engine that slows down or recovers without warning is followed.
type pace struct {
	most   int
	target time.Duration

	gapSum   atomic.Int64
	gapCount atomic.Int64

	mu      sync.Mutex
	gap     time.Duration
	prefill time.Duration
	current int
	// best is the pace of an engine with little to do, and seen when a token
	// came last.
	best    time.Duration
	seen    time.Time
	line    batchLine
	learned time.Time
	changed time.Time
	// cut is when the limit was lowered last.
	cut time.Time
	// answerShare is how much of the bound on its length an answer takes.
	answerShare  float64
	knownAnswers bool
	// queued counts first tokens that came so late that they must have waited
	// inside the engine.
	queued int
}

const (
	// learnInterval is how often counted tokens are taken in.
	learnInterval = 50 * time.Millisecond
	// changeInterval is how often the limit may change.
	changeInterval = 100 * time.Millisecond
	// roomBelow is the share of the target, in eighths, below which the pace
	// leaves so much room that the limit rises by a share of itself.
	roomBelow = 6
	// cutMemory is how long after a cut the limit is taken for what the engine
	// can do, and not for how far it has risen yet.
	cutMemory = 10 * time.Second
	// memory is the time constant of the learned pace.
	memory = 400 * time.Millisecond
	// firstLimit is the limit before anything was learned.
	firstLimit = 8
	// defaultGap and defaultPrefill are assumed before anything was learned.
	defaultGap     = 10 * time.Millisecond
	defaultPrefill = 20 * time.Microsecond
	// defaultTarget keeps 95 in 100 tokens within 30 ms.
	defaultTarget = 25 * time.Millisecond
	// answerMemory is how many answers their length is averaged over.
	answerMemory = 32
	// bestRise is in how many steps the best pace follows a slower one.
	bestRise = 500
	// driftAfter is after which time without tokens the pace drifts to the best
	// one, and driftMemory the time constant of that.
	driftAfter  = time.Second
	driftMemory = time.Second
	// tolerableNumerator and tolerableDenominator say how many times the pace
	// of a request that is alone in the engine is tolerated where the target
	// can't be kept at all.
	tolerableNumerator   = 3
	tolerableDenominator = 2
	// lateFirstToken is how many times its expected time a first token may
	// take before it is taken for a sign of a queue inside the engine.
	lateFirstToken = 3
)

func newPace(options *Options) *pace {
	p := &pace{most: options.Running, target: options.TokenPace, gap: defaultGap, prefill: defaultPrefill}
	if p.target == 0 {
		p.target = defaultTarget
	}
	p.current = p.most
	if !options.Fixed {
		p.current = min(p.most, firstLimit)
	}
	return p
}

func (p *pace) token(gap time.Duration) {
	p.gapSum.Add(int64(gap))
	p.gapCount.Add(1)
}

// firstToken learns the pace of prefill from long prompts; short ones say
// nothing about it.
//
// ahead is the expected time of the prompts that were in the engine before it.
func (p *pace) firstToken(after, ahead time.Duration, prompt usher.Tokens) {
	p.mu.Lock()
	defer p.mu.Unlock()
	expected := ahead + time.Duration(prompt)*p.prefill + 2*p.gap
	if after > lateFirstToken*expected {
		p.queued++
	}
	if prompt >= longPrompt {
		seen := max(0, after-p.gap) / time.Duration(prompt)
		p.prefill += (seen - p.prefill) / 4
	}
}

// learn takes in what was counted and adapts the limit. saturated says that
// requests wait only because of the limit.
func (p *pace) learn(now time.Time, running int, saturated bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	elapsed := now.Sub(p.learned)
	if elapsed < learnInterval {
		return
	}
	p.learned = now
	count := p.gapCount.Swap(0)
	sum := p.gapSum.Swap(0)
	if count == 0 {
		p.drift(now, elapsed)
		return
	}
	p.seen = now
	seen := float64(sum) / float64(count)
	weight := 1 - math.Exp(-float64(elapsed)/float64(memory))
	if p.best == 0 {
		// The first tokens replace what was assumed.
		weight = 1
	}
	p.gap += time.Duration(weight * (seen - float64(p.gap)))
	if p.best == 0 || p.gap < p.best {
		p.best = p.gap
	}
	p.best += (p.gap - p.best) / bestRise
	p.line.add(weight, float64(running), seen)
	p.adapt(now, saturated)
}

// drift lets the learned pace drift to the best one while no token comes. An
// engine that was slow and got no work since would else be taken for slow for
// ever, because nothing is sent there that could show that it recovered.
func (p *pace) drift(now time.Time, elapsed time.Duration) {
	if p.best == 0 || now.Sub(p.seen) < driftAfter || p.gap <= p.best {
		return
	}
	weight := 1 - math.Exp(-float64(min(elapsed, time.Second))/float64(driftMemory))
	p.gap -= time.Duration(weight * float64(p.gap-p.best))
}

func (p *pace) adapt(now time.Time, saturated bool) {
	if now.Sub(p.changed) < changeInterval {
		return
	}
	p.changed = now
	switch {
	case p.gap > max(p.target, p.line.alone()*tolerableNumerator/tolerableDenominator):
		p.current = max(1, p.current-max(1, p.current/8))
		p.cut = now
	case p.queued > 0:
		p.current = max(1, p.current-1)
		p.cut = now
	case saturated && p.gap < p.target*roomBelow/8:
		p.current = min(p.most, p.current+max(1, p.current/4))
	case saturated:
		p.current = min(p.most, p.current+1)
	}
	p.queued = 0
}

// bounded says whether the limit is what the engine can do. A limit that was
// not cut for long may still rise, and a wait that is worked out from it would
// refuse requests that can be served.
func (p *pace) bounded(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current == p.most || now.Sub(p.cut) < cutMemory
}

func (p *pace) limit() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current
}

// expectation is how long a request will take in the engine.
type expectation struct {
	prefill time.Duration
	whole   time.Duration
	// sure is what is held against a deadline. It is zero until the engine's
	// pace is known, because no request is refused for a guess.
	sure time.Duration
}

func (p *pace) expect(cost usher.RequestCost) expectation {
	p.mu.Lock()
	defer p.mu.Unlock()
	share := 1.0
	if p.knownAnswers {
		share = p.answerShare
	}
	e := expectation{prefill: time.Duration(cost.PromptTokens)*p.prefill + p.gap}
	e.whole = e.prefill + time.Duration(share*float64(cost.AnswerTokens)*float64(p.gap))
	if p.knownAnswers && p.best > 0 {
		e.sure = e.whole
	}
	return e
}

// known says whether estimates rest on what was seen and not on guesses.
func (p *pace) known() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.knownAnswers && p.best > 0
}

// answered learns how much of the bound that callers give answers take.
func (p *pace) answered(tokens, bound usher.Tokens) {
	if bound <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := min(1, float64(tokens)/float64(bound))
	if !p.knownAnswers {
		p.knownAnswers, p.answerShare = true, seen
		return
	}
	p.answerShare += (seen - p.answerShare) / answerMemory
}

// perToken returns the learned pace of prefill and of decoding.
func (p *pace) perToken() (prefill, decode time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.prefill, p.gap
}

// batchLine is a regression of the pace over the number of requests in the
// engine, in which old samples fade. It tells the pace of one request alone.
type batchLine struct {
	size, pace             float64
	sizeSquares, sizePaces float64
}

// flatness is added to the variance of the batch size, in squares of requests.
// While the size hardly varies, the slope can't be told and is taken for flat.
const flatness = 1.0

func (l *batchLine) add(weight, size, pace float64) {
	if l.pace == 0 {
		weight = 1
	}
	l.size += weight * (size - l.size)
	l.pace += weight * (pace - l.pace)
	l.sizeSquares += weight * (size*size - l.sizeSquares)
	l.sizePaces += weight * (size*pace - l.sizePaces)
}

// alone returns the pace of one request alone in the engine.
func (l *batchLine) alone() time.Duration {
	variance := max(0, l.sizeSquares-l.size*l.size) + flatness
	slope := max(0, l.sizePaces-l.size*l.pace) / variance
	return time.Duration(max(0, l.pace-slope*(l.size-1)))
}
