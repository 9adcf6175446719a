package dispatch

import (
	"math"
	"time"

	"filbertusher/pkg/usher"
)

const (
	// answerTokenWeight is the weight of an answer token, relative to a prompt
	// token, in the size of a request.
	answerTokenWeight = 10
	// baseValue is the part of a request's value that does not depend on its size,
	// as a fraction of the value of a request of mean size. maxSizeRatio caps the
	// size, as a multiple of the mean, that adds to a request's value.
	baseValue    = 0.3
	maxSizeRatio = 4
	// baseServiceSeconds is the time in a slot that every request takes, in seconds.
	baseServiceSeconds = 0.03
	// meanSizeWeight is the weight of a new request in the moving mean of the sizes.
	meanSizeWeight = 0.02
	// densitySamples is the number of recent requests of a rank from which the share
	// of those that will overtake a request is estimated.
	densitySamples = 32
)

// prioritize sets the value density of a new request and its size class.
func (svc *service) prioritize(w *waiter, now time.Time) {
	request := w.request
	switch {
	case request.Started:
		w.density = math.Inf(1)
	case !svc.spec.Engine:
		w.density = 1
	default:
		w.stats = svc.statsOf(request.Route, now)
		size := sizeOf(request)
		w.class = w.stats.arrive(size)
		w.density = w.stats.value(size) / svc.serviceSeconds(request.Prompt, request.Answer)
	}
}

// sizeOf returns the expected size of a request in weighted tokens. The length of
// the answer is the caller's estimate: the longest answer that it accepts is the same
// for all requests of a route.
func sizeOf(request *Request) float64 {
	return float64(request.Prompt) + answerTokenWeight*float64(request.Answer)
}

// value returns the value of a request of the given size, relative to that of a
// request of mean size.
func (r *routeStats) value(size float64) float64 {
	if r.meanSize == 0 {
		return 1
	}
	return baseValue + (1-baseValue)*min(maxSizeRatio, size/r.meanSize)
}

// serviceSeconds returns how long a request is expected to occupy a slot of an
// average engine, in seconds.
func (svc *service) serviceSeconds(prompt, answer usher.Tokens) float64 {
	seconds := baseServiceSeconds + float64(prompt)*basePrefillPerToken.Seconds()
	if svc.spec.TokensPerEvent > 0 {
		seconds += float64(answer) / float64(svc.spec.TokensPerEvent) * baseEventInterval.Seconds()
	}
	return seconds
}

// densityWindow holds the last densitySamples densities, written in rotation at next.
type densityWindow struct {
	values []float64
	next   int
}

func (d *densityWindow) add(density float64) {
	if len(d.values) < densitySamples {
		d.values = append(d.values, density)
		return
	}
	d.values[d.next] = density
	d.next = (d.next + 1) % densitySamples
}

// fractionAbove returns the fraction of the densities that are higher than the given
// one.
func (d *densityWindow) fractionAbove(density float64) float64 {
	above := 0
	for _, value := range d.values {
		if value > density {
			above++
		}
	}
	return float64(above) / float64(max(1, len(d.values)))
}
