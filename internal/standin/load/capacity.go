package load

import (
	"strconv"
	"time"

	"filbertusher/internal/standin/engine"
	"filbertusher/pkg/usher"
)

// Hardware is the performance profile of a simulated engine.
type Hardware struct {
	engine.Speed
	Name string
}

// HardwareGenerations returns the two hardware generations that an experiment uses.
// Every operation takes twice as long on the slow one.
func HardwareGenerations() (fast, slow Hardware) {
	fast = Hardware{Name: "fast", Speed: engine.Speed{
		PrefillPerToken: 40 * time.Microsecond, DecodeStep: 8 * time.Millisecond,
		DecodePerRequest: 200 * time.Microsecond, PrefillChunk: 128, MaxBatch: 16,
	}}
	slow = Hardware{Name: "slow", Speed: engine.Speed{
		PrefillPerToken: 80 * time.Microsecond, DecodeStep: 16 * time.Millisecond,
		DecodePerRequest: 400 * time.Microsecond, PrefillChunk: 128, MaxBatch: 16,
	}}
	return fast, slow
}

// Args returns the command-line flags that give a simulated engine this
// performance. reportLag is how stale its load reports are.
func (h *Hardware) Args(reportLag time.Duration) []string {
	return []string{
		"--prefill-per-token", h.PrefillPerToken.String(),
		"--decode-step", h.DecodeStep.String(),
		"--decode-per-request", h.DecodePerRequest.String(),
		"--prefill-chunk", strconv.Itoa(int(h.PrefillChunk)),
		"--max-batch", strconv.Itoa(h.MaxBatch),
		"--report-lag", reportLag.String(),
	}
}

// engineTime returns the engine time that one request uses: the prefill of its
// uncached prompt tokens, and its share of each decode step in a batch of the
// given size.
func (h *Hardware) engineTime(uncachedTokens, answerTokens, batchSize float64) time.Duration {
	step := float64(h.DecodeStep)/batchSize + float64(h.DecodePerRequest)
	return time.Duration(uncachedTokens*float64(h.PrefillPerToken) + answerTokens*step)
}

func (h *Hardware) classEngineTime(class *RequestClass, batchSize float64) time.Duration {
	return h.engineTime(class.Prompt.mean()-float64(class.SharedPrefixTokens), class.Answer.mean(), batchSize)
}

// batchIterations is the number of fixed-point iterations in CapacityOf, enough
// for the batch size to converge.
const batchIterations = 20

// Capacity is the maximum throughput of a set of engines for a mix. Rates holds
// the requests per second of each class, and Batch the mean number of requests
// that an engine decodes at once at that throughput.
type Capacity struct {
	Rates []float64
	Batch float64
}

// CapacityOf computes the capacity from the engines' performance profiles. It
// assumes that every engine is always busy, that all engines serve the same mix,
// and that shared prefixes are cached.
//
// An engine prefills at most one chunk of prompt tokens per step, which limits
// the batch size of mixes with long prompts: with r prompt tokens per answer
// token, a batch of b requests needs r*b prompt tokens per step, so b is at most
// the chunk size divided by r.
func CapacityOf(mix *Mix, hardware []Hardware) Capacity {
	reference := &hardware[0]
	capacity := Capacity{Rates: make([]float64, len(mix.Classes)), Batch: float64(reference.MaxBatch)}
	for range batchIterations {
		promptRate, answerRate := 0.0, 0.0
		for i := range mix.Classes {
			class := &mix.Classes[i]
			capacity.Rates[i] = class.WorkShare / reference.classEngineTime(class, capacity.Batch).Seconds()
			promptRate += capacity.Rates[i] * (class.Prompt.mean() - float64(class.SharedPrefixTokens))
			answerRate += capacity.Rates[i] * class.Answer.mean()
		}
		promptLimit := float64(reference.PrefillChunk) * answerRate / promptRate
		capacity.Batch = (capacity.Batch + min(float64(reference.MaxBatch), promptLimit)) / 2
	}
	scale := 0.0
	for k := range hardware {
		busy := 0.0
		for i := range mix.Classes {
			busy += capacity.Rates[i] * hardware[k].classEngineTime(&mix.Classes[i], capacity.Batch).Seconds()
		}
		scale += 1 / busy
	}
	for i := range capacity.Rates {
		capacity.Rates[i] *= scale
	}
	return capacity
}

// RatesAtLoad returns the arrival rate of each class, in requests per second, that
// adds up to load times the capacity.
func RatesAtLoad(mix *Mix, hardware []Hardware, load float64) []float64 {
	rates := CapacityOf(mix, hardware).Rates
	for i := range rates {
		rates[i] *= load
	}
	return rates
}

// usefulPercent returns the percentage of the available engine time that was
// spent on answers within their deadline. It counts the answers that ended
// between from, the end of the warm-up, and until. Engine times are those of the
// first engine, the reference; the other engines are slower by a constant factor.
// lostTime is subtracted from the available time.
func usefulPercent(results []*Result, mix *Mix, hardware []Hardware, from, until time.Duration, lostTime time.Duration) float64 {
	reference := &hardware[0]
	shared := make(map[string]usher.Tokens)
	for i := range mix.Classes {
		shared[mix.Classes[i].Name] = mix.Classes[i].SharedPrefixTokens
	}
	batch := CapacityOf(mix, hardware).Batch
	useful := time.Duration(0)
	for _, r := range results {
		ended := r.Sent + r.Total
		if r.OnTime && ended >= from && ended < until {
			useful += reference.engineTime(float64(r.PromptTokens-shared[r.Class]), float64(r.AnswerTokens), batch)
		}
	}
	available := -lostTime
	for i := range hardware {
		available += time.Duration(float64(until-from) * float64(reference.DecodeStep) / float64(hardware[i].DecodeStep))
	}
	return percent(useful, available)
}
