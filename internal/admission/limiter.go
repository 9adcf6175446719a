package admission

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"filbertusher/pkg/usher"
)

// limiter measures the speed of the engine and adapts the concurrency limit,
// which is how many requests the engine may run at once while it still reaches
// the target token interval. It also estimates how long requests will run.
//
// Token intervals are counted with atomic adds and evaluated periodically, so
// that a token takes no lock; interval is their moving average. The limit is
// raised while requests wait for it and the target is met, and lowered by an
// eighth when the target is missed, like a congestion window. It is lowered by
// one when a first token is so late that its request must have been queued inside
// the engine. It rises by one near the target and by a quarter far below it. With
// single steps only, a burst at an idle engine would be held back until the limit
// had grown:
//
//	limit 8, 500 requests wait, interval 20 ms of 25:   9, 10, 11, ... 50 s to 500
//	limit 8, 500 requests wait, interval 5 ms of 25:    10, 12, 15, ... 2 s to 500
//
// An engine that misses the target even with a single request would only lose
// throughput with a lower limit. There the interval of a single request plus
// half as much again is tolerated. The limiter has no model of the engine and
// relies on recent measurements, so it follows an engine that slows down or
// recovers without warning.
type limiter struct {
	maxLimit       int
	targetInterval time.Duration

	intervalSum   atomic.Int64
	intervalCount atomic.Int64

	mu              sync.Mutex
	interval        time.Duration
	prefillPerToken time.Duration
	currentLimit    int
	// bestInterval is the token interval of a lightly loaded engine, and
	// lastToken the time of the last measurement.
	bestInterval time.Duration
	lastToken    time.Time
	regression   intervalRegression
	lastUpdate   time.Time
	lastAdjust   time.Time
	// lastDecrease is when the limit was last lowered.
	lastDecrease time.Time
	// responseRatio is the average length of a response divided by the bound that
	// the caller set. It is valid once responseRatioKnown is set.
	responseRatio      float64
	responseRatioKnown bool
	// duration is the time that a plain service takes for its slow responses, or 0 before the
	// first one.
	duration time.Duration
	fixed    bool
	// lateFirstTokens counts the late first tokens since the limit was last
	// adjusted.
	lateFirstTokens int
}

const (
	// updateInterval is how often the counted token intervals are evaluated.
	updateInterval = 50 * time.Millisecond
	// adjustInterval is the least time between two changes of the limit.
	adjustInterval = 100 * time.Millisecond
	// fastGrowthEighths is a share of the target interval, in eighths. Below it
	// the limit grows by a quarter instead of by one.
	fastGrowthEighths = 6
	// decreaseMemory is how long after a decrease the limit is treated as the
	// capacity of the engine. After that, it may be lower only because it has not
	// grown yet.
	decreaseMemory = 10 * time.Second
	// intervalTimeConstant is the time constant of the average token interval.
	intervalTimeConstant = 400 * time.Millisecond
	// initialLimit is the limit before the first measurement, in requests.
	initialLimit = 8
	// defaultInterval and defaultPrefillPerToken are assumed before the first
	// measurement.
	defaultInterval        = 10 * time.Millisecond
	defaultPrefillPerToken = 20 * time.Microsecond
	// defaultTargetInterval is an average at which 95 in 100 tokens come within
	// 30 ms.
	defaultTargetInterval = 25 * time.Millisecond
	// responseSamples is about how many responses responseRatio averages over.
	responseSamples = 32
	// durationSamples is after about how many quicker responses duration falls.
	durationSamples = 32
	// bestIntervalSteps is the time constant, in updates, with which bestInterval
	// rises to the average interval of an engine that has become slower.
	bestIntervalSteps = 500
	// driftAfter is the time without tokens after which the average interval
	// drifts to the best one, with driftTimeConstant as its time constant.
	driftAfter        = time.Second
	driftTimeConstant = time.Second
	// toleranceNumerator and toleranceDenominator are the factor on the token
	// interval of a single request that is tolerated where the engine can't
	// reach the target interval at all.
	toleranceNumerator   = 3
	toleranceDenominator = 2
	// lateFirstTokenFactor is the multiple of its expected latency beyond which
	// a first token shows that requests are queued inside the engine.
	lateFirstTokenFactor = 3
)

func newLimiter(options *Options) *limiter {
	l := &limiter{maxLimit: options.MaxRunning, targetInterval: options.TargetTokenInterval, interval: defaultInterval, prefillPerToken: defaultPrefillPerToken, fixed: options.FixedLimit}
	if l.targetInterval == 0 {
		l.targetInterval = defaultTargetInterval
	}
	l.currentLimit = l.maxLimit
	if !options.FixedLimit {
		l.currentLimit = min(l.maxLimit, initialLimit)
	}
	return l
}

func (l *limiter) recordToken(interval time.Duration) {
	l.intervalSum.Add(int64(interval))
	l.intervalCount.Add(1)
}

// recordFirstToken checks whether a first token was late, and updates the prefill
// speed from long prompts. Short prompts are too quick to measure it.
//
// backlog is the expected prefill time of the prompts that were in the engine
// before this one.
func (l *limiter) recordFirstToken(latency, backlog time.Duration, prompt usher.Tokens) {
	l.mu.Lock()
	defer l.mu.Unlock()
	expected := backlog + time.Duration(prompt)*l.prefillPerToken + 2*l.interval
	if latency > lateFirstTokenFactor*expected {
		l.lateFirstTokens++
	}
	if prompt >= longPromptTokens {
		measured := max(0, latency-l.interval) / time.Duration(prompt)
		l.prefillPerToken += (measured - l.prefillPerToken) / 4
	}
}

// update evaluates the counted token intervals and adapts the limit. saturated
// tells that requests wait only because of the limit.
func (l *limiter) update(now time.Time, running int, saturated bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	elapsed := now.Sub(l.lastUpdate)
	if elapsed < updateInterval {
		return
	}
	l.lastUpdate = now
	count := l.intervalCount.Swap(0)
	sum := l.intervalSum.Swap(0)
	if count == 0 {
		l.drift(now, elapsed)
		return
	}
	l.lastToken = now
	measured := float64(sum) / float64(count)
	weight := 1 - math.Exp(-float64(elapsed)/float64(intervalTimeConstant))
	if l.bestInterval == 0 {
		// The first measurement replaces the default.
		weight = 1
	}
	l.interval += time.Duration(weight * (measured - float64(l.interval)))
	if l.bestInterval == 0 || l.interval < l.bestInterval {
		l.bestInterval = l.interval
	}
	l.bestInterval += (l.interval - l.bestInterval) / bestIntervalSteps
	l.regression.add(weight, float64(running), measured)
	l.adjust(now, saturated)
}

// drift moves the average interval towards the best one while no tokens are
// measured. Otherwise an engine that was slow and has had no work since would
// count as slow forever: it would get no requests that could show that it has
// recovered.
func (l *limiter) drift(now time.Time, elapsed time.Duration) {
	if l.bestInterval == 0 || now.Sub(l.lastToken) < driftAfter || l.interval <= l.bestInterval {
		return
	}
	weight := 1 - math.Exp(-float64(min(elapsed, time.Second))/float64(driftTimeConstant))
	l.interval -= time.Duration(weight * float64(l.interval-l.bestInterval))
}

func (l *limiter) adjust(now time.Time, saturated bool) {
	if now.Sub(l.lastAdjust) < adjustInterval {
		return
	}
	l.lastAdjust = now
	switch {
	case l.interval > max(l.targetInterval, l.regression.singleRequest()*toleranceNumerator/toleranceDenominator):
		l.currentLimit = max(1, l.currentLimit-max(1, l.currentLimit/8))
		l.lastDecrease = now
	case l.lateFirstTokens > 0:
		l.currentLimit = max(1, l.currentLimit-1)
		l.lastDecrease = now
	case saturated && l.interval < l.targetInterval*fastGrowthEighths/8:
		l.currentLimit = min(l.maxLimit, l.currentLimit+max(1, l.currentLimit/4))
	case saturated:
		l.currentLimit = min(l.maxLimit, l.currentLimit+1)
	}
	l.lateFirstTokens = 0
}

// atCapacity reports whether the limit is the capacity of the engine. A limit
// without a recent decrease may still grow, and a wait that is computed from it
// would refuse requests that can be served.
func (l *limiter) atCapacity(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.currentLimit == l.maxLimit || now.Sub(l.lastDecrease) < decreaseMemory
}

func (l *limiter) limit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.currentLimit
}

// estimate is how long a request is expected to run in the engine.
type estimate struct {
	prefill time.Duration
	total   time.Duration
	// measured is the total that is compared with deadlines. It is zero until
	// the engine's speed has been measured, because no request is refused on
	// the basis of defaults.
	measured time.Duration
	// learned is the total that is compared with the end of a process. It is also
	// known for plain services, which have no tokens.
	learned time.Duration
}

func (l *limiter) estimate(cost usher.RequestCost) estimate {
	l.mu.Lock()
	defer l.mu.Unlock()
	ratio := 1.0
	if l.responseRatioKnown {
		ratio = l.responseRatio
	}
	e := estimate{prefill: time.Duration(cost.PromptTokens)*l.prefillPerToken + l.interval}
	e.total = e.prefill + time.Duration(ratio*float64(cost.AnswerTokens)*float64(l.interval))
	if l.responseRatioKnown && l.bestInterval > 0 {
		e.measured = e.total
	}
	e.learned = e.measured
	if l.fixed {
		e.learned = l.duration
	}
	return e
}

// calibrated reports whether estimates are based on measurements and not on
// defaults.
func (l *limiter) calibrated() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.responseRatioKnown && l.bestInterval > 0
}

// recordResponse updates the ratio of a response's length, in tokens, to the
// caller's bound.
func (l *limiter) recordResponse(tokens, bound usher.Tokens) {
	if bound <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	measured := min(1, float64(tokens)/float64(bound))
	if !l.responseRatioKnown {
		l.responseRatioKnown, l.responseRatio = true, measured
		return
	}
	l.responseRatio += (measured - l.responseRatio) / responseSamples
}

// recordDuration updates the duration of slow responses. A plain service may have quick and
// slow operations that look alike, so an average would be too short for the slow ones.
func (l *limiter) recordDuration(elapsed time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.duration = max(elapsed, l.duration-(l.duration-elapsed)/durationSamples)
}

// timePerToken returns the measured times per token of prefill and decoding.
func (l *limiter) timePerToken() (prefill, decode time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.prefillPerToken, l.interval
}

// intervalRegression is a linear regression of the token interval over the
// batch size, the number of requests in the engine. Old samples decay
// exponentially. It estimates the token interval of a single request.
//
// The fields are weighted means of the size, the interval, the squared size,
// and the product of size and interval.
type intervalRegression struct {
	size, interval             float64
	sizeSquares, sizeIntervals float64
}

// varianceRidge is added to the variance of the batch size, in squares of
// requests. While the size hardly varies, the slope can't be measured, and the
// ridge keeps it near zero.
const varianceRidge = 1.0

func (r *intervalRegression) add(weight, size, interval float64) {
	if r.interval == 0 {
		weight = 1
	}
	r.size += weight * (size - r.size)
	r.interval += weight * (interval - r.interval)
	r.sizeSquares += weight * (size*size - r.sizeSquares)
	r.sizeIntervals += weight * (size*interval - r.sizeIntervals)
}

// singleRequest returns the estimated token interval at a batch size of one.
func (r *intervalRegression) singleRequest() time.Duration {
	variance := max(0, r.sizeSquares-r.size*r.size) + varianceRidge
	slope := max(0, r.sizeIntervals-r.size*r.interval) / variance
	return time.Duration(max(0, r.interval-slope*(r.size-1)))
}
