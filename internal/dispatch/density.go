package dispatch

import (
	"math"

	"filbertusher/pkg/usher"
)

const (
	// answerWeight is what a token of the answer counts for beside one of the
	// prompt in the size of a request.
	answerWeight = 10
	// baseWorth is the part of a request's worth that does not grow with its
	// size, and mostWorth how often the mean a request may be worth.
	baseWorth = 0.3
	mostWorth = 4
	// baseCost is the time in a place that every request takes, in seconds.
	baseCost = 0.03
	// sizeLearning is the weight of a new request in the mean size.
	sizeLearning = 0.02
)

// density returns the worth of a request for the time that it takes of a place.
// Its scale has no meaning; it only orders the requests of one rank.
func (v *service) density(ask *Ask) float64 {
	if ask.Started {
		return math.Inf(1)
	}
	if !v.spec.Engine {
		return 1
	}
	size := float64(ask.Prompt) + answerWeight*float64(ask.MostAnswer)
	mean := &v.sizes[clampRank(ask.Rank)]
	if *mean == 0 {
		*mean = size
	}
	*mean += (size - *mean) * sizeLearning
	worth := 1.0
	if *mean > 0 {
		worth = baseWorth + (1-baseWorth)*min(mostWorth, size / *mean)
	}
	return worth / v.cost(ask.Prompt, ask.Answer)
}

// cost returns how long a request takes a place of an average engine, in
// seconds.
func (v *service) cost(prompt, answer usher.Tokens) float64 {
	cost := baseCost + float64(prompt)*basePrefill.Seconds()
	if v.spec.TokensPerEvent > 0 {
		cost += float64(answer) / float64(v.spec.TokensPerEvent) * basePace.Seconds()
	}
	return cost
}
