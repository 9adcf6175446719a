package load

import (
	"strconv"
	"time"

	"filbertusher/internal/standin/engine"
	"filbertusher/pkg/usher"
)

// Hardware is the speed of one simulated engine and its flags.
type Hardware struct {
	engine.Speed
	Name string
}

// Generations returns the two generations of hardware of an experiment. The
// older one takes twice the time for everything.
func Generations() (fast, slow Hardware) {
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

// Args returns the flags of an engine with this hardware.
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

// work returns how long an engine that decodes batch requests at once is busy
// for a request: the prefill of what is not cached, and its part of each step.
func (h *Hardware) work(prefill, answer, batch float64) time.Duration {
	step := float64(h.DecodeStep)/batch + float64(h.DecodePerRequest)
	return time.Duration(prefill*float64(h.PrefillPerToken) + answer*step)
}

func (h *Hardware) classWork(class *Class, batch float64) time.Duration {
	return h.work(class.Prompt.mean()-float64(class.Shared), class.Answer.mean(), batch)
}

// batchIterations is enough for the batch size of a mix to settle.
const batchIterations = 20

// Capacity is what engines can do of a mix: the requests a second of each
// class, and how many requests the engines decode at once then.
type Capacity struct {
	Rates []float64
	Batch float64
}

// CapacityOf follows from the engines' flags. An engine does a second of work
// each second, every engine gets the same mix, and shared prefixes are cached.
//
// An engine computes at most a chunk of prompt in a step. A mix with long
// prompts needs so many chunks that fewer than the most requests decode beside
// them: with r prompt tokens for each answer token, a batch of b needs r times
// b prompt tokens a step, so b is at most the chunk divided by r.
func CapacityOf(mix *Mix, hardware []Hardware) Capacity {
	reference := &hardware[0]
	c := Capacity{Rates: make([]float64, len(mix.Classes)), Batch: float64(reference.MaxBatch)}
	for range batchIterations {
		prompt, answer := 0.0, 0.0
		for i := range mix.Classes {
			class := &mix.Classes[i]
			c.Rates[i] = class.Work / reference.classWork(class, c.Batch).Seconds()
			prompt += c.Rates[i] * (class.Prompt.mean() - float64(class.Shared))
			answer += c.Rates[i] * class.Answer.mean()
		}
		fitting := float64(reference.PrefillChunk) * answer / prompt
		c.Batch = (c.Batch + min(float64(reference.MaxBatch), fitting)) / 2
	}
	units := 0.0
	for k := range hardware {
		busy := 0.0
		for i := range mix.Classes {
			busy += c.Rates[i] * hardware[k].classWork(&mix.Classes[i], c.Batch).Seconds()
		}
		units += 1 / busy
	}
	for i := range c.Rates {
		c.Rates[i] *= units
	}
	return c
}

// Rates returns the requests a second of each class that make up load times
// the capacity.
func Rates(mix *Mix, hardware []Hardware, load float64) []float64 {
	rates := CapacityOf(mix, hardware).Rates
	for i := range rates {
		rates[i] *= load
	}
	return rates
}

// usefulShare is how much of what the engines can do went into answers that
// were on time, in percent. It counts the answers that ended from warm on, and
// takes work in units of the first engine, the reference; the others are
// slower by a constant factor.
func usefulShare(results []*Result, mix *Mix, hardware []Hardware, warm, end time.Duration, lost time.Duration) float64 {
	reference := &hardware[0]
	shared := make(map[string]usher.Tokens)
	for i := range mix.Classes {
		shared[mix.Classes[i].Name] = mix.Classes[i].Shared
	}
	batch := CapacityOf(mix, hardware).Batch
	done := time.Duration(0)
	for _, r := range results {
		ended := r.Sent + r.Total
		if r.OnTime && ended >= warm && ended < end {
			done += reference.work(float64(r.PromptTokens-shared[r.Class]), float64(r.AnswerTokens), batch)
		}
	}
	able := -lost
	for i := range hardware {
		able += time.Duration(float64(end-warm) * float64(reference.DecodeStep) / float64(hardware[i].DecodeStep))
	}
	return percent(done, able)
}
