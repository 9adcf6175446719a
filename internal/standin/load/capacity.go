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

// work returns how long an engine with a full batch is busy for a request: the
// prefill of what is not cached, and its part of each decoding step.
func (h *Hardware) work(prefill, answer float64) time.Duration {
	step := float64(h.DecodeStep)/float64(h.MaxBatch) + float64(h.DecodePerRequest)
	return time.Duration(prefill*float64(h.PrefillPerToken) + answer*step)
}

func (h *Hardware) classWork(class *Class) time.Duration {
	return h.work(class.Prompt.mean()-float64(class.Shared), class.Answer.mean())
}

// Rates returns the requests a second of each class that make up load times
// the capacity of the engines. The capacity follows from the engines' flags:
// an engine with a full batch does a second of work each second, and every
// engine is taken to get the same mix with the shared prefixes cached.
func Rates(mix *Mix, hardware []Hardware, load float64) []float64 {
	// perWork is how many requests of a class one unit of mixed work has.
	rates := make([]float64, len(mix.Classes))
	reference := &hardware[0]
	for i := range mix.Classes {
		rates[i] = mix.Classes[i].Work / reference.classWork(&mix.Classes[i]).Seconds()
	}
	units := 0.0
	for k := range hardware {
		busy := 0.0
		for i := range mix.Classes {
			busy += rates[i] * hardware[k].classWork(&mix.Classes[i]).Seconds()
		}
		units += 1 / busy
	}
	for i := range rates {
		rates[i] *= units * load
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
	done := time.Duration(0)
	for _, r := range results {
		ended := r.Sent + r.Total
		if r.OnTime && ended >= warm && ended < end {
			done += reference.work(float64(r.PromptTokens-shared[r.Class]), float64(r.AnswerTokens))
		}
	}
	able := -lost
	for i := range hardware {
		able += time.Duration(float64(end-warm) * float64(reference.DecodeStep) / float64(hardware[i].DecodeStep))
	}
	return percent(done, able)
}
