package dispatch

import (
	"math"

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
)

// density returns the value of a request per second of slot time. The result has
// no unit and only orders the requests of one rank.
func (svc *service) density(request *Request) float64 {
	if request.Started {
		return math.Inf(1)
	}
	if !svc.spec.Engine {
		return 1
	}
	size := float64(request.Prompt) + answerTokenWeight*float64(request.MaxAnswer)
	mean := &svc.meanSizes[clampRank(request.Rank)]
	if *mean == 0 {
		*mean = size
	}
	*mean += (size - *mean) * meanSizeWeight
	value := 1.0
	if *mean > 0 {
		value = baseValue + (1-baseValue)*min(maxSizeRatio, size / *mean)
	}
	return value / svc.serviceSeconds(request.Prompt, request.Answer)
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
