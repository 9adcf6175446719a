package load

import (
	"math/rand/v2"
	"sort"
	"strconv"
	"strings"
	"time"

	"filbertusher/internal/standin/engine"
	"filbertusher/internal/standin/fleet"
	"filbertusher/pkg/usher"
)

// tokenRange is an inclusive range of token counts with a uniform distribution.
type tokenRange struct{ From, To usher.Tokens }

func (t tokenRange) mean() float64 { return float64(t.From+t.To) / 2 }

func (t tokenRange) draw(random *rand.Rand) usher.Tokens {
	return t.From + usher.Tokens(random.IntN(int(t.To-t.From)+1))
}

// RequestClass describes one kind of request in a mix. Prompt and Answer are the
// ranges of the lengths of the prompt and of the answer, in tokens.
type RequestClass struct {
	Name string
	Tier usher.TierName
	Rank usher.Rank
	// WorkShare is the class's share of the offered engine time, from 0 to 1. Of two
	// classes with the same share, the one with shorter requests sends more.
	WorkShare float64
	Prompt    tokenRange
	// SharedPrefixTokens is the length of the prompt prefix that all requests of a workspace
	// have in common.
	SharedPrefixTokens usher.Tokens
	Answer             tokenRange
	Deadline           time.Duration
	Stream             bool
}

// Mix is the workload of one customer: classes of requests, sent by workspaces
// that are chosen at random with the given weights.
type Mix struct {
	Name       string
	Workspaces []usher.WorkspaceName
	Weights    []float64
	Classes    []RequestClass
}

// workspaceWeights are the shares of the requests that the workspaces of a mix
// send. The first two of the five workspaces send most of them.
var workspaceWeights = []float64{0.4, 0.3, 0.15, 0.1, 0.05}

// Mixes returns the mixes that experiments replay. The urgent class has a fifth
// of the offered work, so at twice the capacity it alone needs 40% of the
// capacity.
func Mixes() []Mix {
	return []Mix{
		{
			Name: "regenfass", Workspaces: workspacesOf("regenfass"), Weights: workspaceWeights,
			Classes: []RequestClass{
				{"installer", fleet.TierUrgent, 0, 0.2, tokenRange{40, 120}, 32, tokenRange{16, 40}, 3 * time.Second, true},
				{"part", fleet.TierNormal, 1, 0.3, tokenRange{100, 300}, 64, tokenRange{24, 56}, 5 * time.Second, true},
				{"report", fleet.TierBatch, 2, 0.5, tokenRange{2000, 4000}, 1024, tokenRange{150, 300}, 20 * time.Second, true},
			},
		},
		{
			Name: "tallinn", Workspaces: workspacesOf("tallinn"), Weights: workspaceWeights,
			Classes: []RequestClass{
				{"slot", fleet.TierUrgent, 0, 0.2, tokenRange{30, 60}, 16, tokenRange{16, 32}, 3 * time.Second, true},
				{"reorder", fleet.TierNormal, 1, 0.4, tokenRange{3000, 6000}, 2048, tokenRange{100, 200}, 15 * time.Second, true},
				{"summary", fleet.TierBatch, 2, 0.4, tokenRange{1500, 3000}, 512, tokenRange{80, 160}, 25 * time.Second, false},
			},
		},
	}
}

// workspacesOf returns the names of a customer's five workspaces. The first one
// is in the configuration of every deployment.
func workspacesOf(customer string) []usher.WorkspaceName {
	names := []usher.WorkspaceName{usher.WorkspaceName(customer)}
	for i := 2; i <= len(workspaceWeights); i++ {
		names = append(names, usher.WorkspaceName(customer+"-"+strconv.Itoa(i)))
	}
	return names
}

// Arrival is one scheduled request. At is the time since the start of the run,
// and PromptTokens the length of the prompt.
type Arrival struct {
	At           time.Duration
	Class        *RequestClass
	Workspace    usher.WorkspaceName
	Chat         engine.ChatRequest
	PromptTokens usher.Tokens
}

// Burst multiplies the arrival rate by Factor between From and To, both measured
// from the start of the run.
type Burst struct {
	From, To time.Duration
	Factor   float64
}

// ArrivalOptions configures the generated arrivals. Rates holds the requests per
// second of each class of the mix.
type ArrivalOptions struct {
	Rates    []float64
	Duration time.Duration
	Seed     uint64
	Bursts   []Burst
}

// GenerateArrivals generates the arrivals of a run in the order of their times.
// Each class is an open-loop Poisson process, so slow answers do not slow down the
// arrivals. The same options always give the same requests.
func GenerateArrivals(mix *Mix, options ArrivalOptions) []Arrival {
	var arrivals []Arrival
	for i := range mix.Classes {
		random := rand.New(rand.NewPCG(options.Seed, uint64(i)))
		at := time.Duration(0)
		for {
			rate := options.Rates[i] * burstFactor(options.Bursts, at)
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			if at >= options.Duration {
				break
			}
			arrivals = append(arrivals, drawArrival(mix, &mix.Classes[i], at, random))
		}
	}
	sort.Slice(arrivals, func(i, j int) bool { return arrivals[i].At < arrivals[j].At })
	return arrivals
}

func burstFactor(bursts []Burst, at time.Duration) float64 {
	for _, burst := range bursts {
		if at >= burst.From && at < burst.To {
			return burst.Factor
		}
	}
	return 1
}

func drawArrival(mix *Mix, class *RequestClass, at time.Duration, random *rand.Rand) Arrival {
	workspace := mix.Workspaces[weightedIndex(mix.Weights, random.Float64())]
	prompt, answer := class.Prompt.draw(random), class.Answer.draw(random)
	shared := textOfTokens(string(workspace)+class.Name, class.SharedPrefixTokens)
	unshared := textOfTokens(strconv.FormatUint(random.Uint64(), 36), prompt-class.SharedPrefixTokens)
	return Arrival{
		At: at, Class: class, Workspace: workspace, PromptTokens: prompt,
		Chat: engine.ChatRequest{
			Model: string(fleet.Model), Stream: class.Stream, MaxTokens: int(answer),
			Messages: []engine.Message{{Role: "system", Content: shared}, {Role: "user", Content: unshared}},
		},
	}
}

func weightedIndex(weights []float64, remaining float64) int {
	for i, weight := range weights {
		if remaining < weight {
			return i
		}
		remaining -= weight
	}
	return len(weights) - 1
}

// textOfTokens repeats a word up to the given number of tokens.
func textOfTokens(word string, tokens usher.Tokens) string {
	byteCount := max(1, int(tokens)*usher.BytesPerToken)
	repeated := strings.Repeat(word+" ", byteCount/(len(word)+1)+1)
	return repeated[:byteCount]
}
