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

// span is an inclusive range of token counts that is drawn from evenly.
type span struct{ From, To usher.Tokens }

func (s span) mean() float64 { return float64(s.From+s.To) / 2 }

func (s span) draw(random *rand.Rand) usher.Tokens {
	return s.From + usher.Tokens(random.IntN(int(s.To-s.From)+1))
}

// Class is one kind of request in a mix.
type Class struct {
	Name string
	Tier usher.TierName
	Rank usher.Rank
	// Work is the class's share of the offered work, so that a short class
	// has many more requests than a long one with the same share.
	Work   float64
	Prompt span
	// Shared is how much of the prompt is the same for a whole workspace.
	Shared   usher.Tokens
	Answer   span
	Deadline time.Duration
	Stream   bool
}

// Mix is what the callers of one customer send. Its workspaces are drawn by
// weight: a few are large.
type Mix struct {
	Name       string
	Workspaces []usher.WorkspaceName
	Weights    []float64
	Classes    []Class
}

// workspaceWeights makes the first two of five workspaces large.
var workspaceWeights = []float64{0.4, 0.3, 0.15, 0.1, 0.05}

// Mixes returns the mixes that experiments replay. The urgent class has a
// fifth of the work, so at twice the capacity it alone needs 40% of it.
func Mixes() []Mix {
	return []Mix{
		{
			Name: "regenfass", Workspaces: workspacesOf("regenfass"), Weights: workspaceWeights,
			Classes: []Class{
				{"installer", fleet.TierUrgent, 0, 0.2, span{40, 120}, 32, span{16, 40}, 3 * time.Second, true},
				{"part", fleet.TierNormal, 1, 0.3, span{100, 300}, 64, span{24, 56}, 5 * time.Second, true},
				{"report", fleet.TierBatch, 2, 0.5, span{2000, 4000}, 1024, span{150, 300}, 20 * time.Second, true},
			},
		},
		{
			Name: "tallinn", Workspaces: workspacesOf("tallinn"), Weights: workspaceWeights,
			Classes: []Class{
				{"slot", fleet.TierUrgent, 0, 0.2, span{30, 60}, 16, span{16, 32}, 3 * time.Second, true},
				{"reorder", fleet.TierNormal, 1, 0.4, span{3000, 6000}, 2048, span{100, 200}, 15 * time.Second, true},
				{"summary", fleet.TierBatch, 2, 0.4, span{1500, 3000}, 512, span{80, 160}, 25 * time.Second, false},
			},
		},
	}
}

// workspacesOf names five workspaces; the first is part of every fleet.
func workspacesOf(customer string) []usher.WorkspaceName {
	names := []usher.WorkspaceName{usher.WorkspaceName(customer)}
	for i := 2; i <= len(workspaceWeights); i++ {
		names = append(names, usher.WorkspaceName(customer+"-"+strconv.Itoa(i)))
	}
	return names
}

// Arrival is one request of a plan.
type Arrival struct {
	At        time.Duration
	Class     *Class
	Workspace usher.WorkspaceName
	Chat      engine.ChatRequest
	Prompt    usher.Tokens
}

// Burst multiplies the rate of arrivals for a while.
type Burst struct {
	From, To time.Duration
	Factor   float64
}

// PlanOptions say how many requests are sent when.
type PlanOptions struct {
	Rates    []float64
	Duration time.Duration
	Seed     uint64
	Bursts   []Burst
}

// Plan draws the arrivals of a run: each class is an open-loop Poisson
// process, so slow answers do not slow the callers down. The same options
// give the same requests.
func Plan(mix *Mix, options PlanOptions) []Arrival {
	var arrivals []Arrival
	for i := range mix.Classes {
		random := rand.New(rand.NewPCG(options.Seed, uint64(i)))
		at := time.Duration(0)
		for {
			rate := options.Rates[i] * factorAt(options.Bursts, at)
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			if at >= options.Duration {
				break
			}
			arrivals = append(arrivals, draw(mix, &mix.Classes[i], at, random))
		}
	}
	sort.Slice(arrivals, func(i, j int) bool { return arrivals[i].At < arrivals[j].At })
	return arrivals
}

func factorAt(bursts []Burst, at time.Duration) float64 {
	for _, burst := range bursts {
		if at >= burst.From && at < burst.To {
			return burst.Factor
		}
	}
	return 1
}

func draw(mix *Mix, class *Class, at time.Duration, random *rand.Rand) Arrival {
	workspace := mix.Workspaces[pick(mix.Weights, random.Float64())]
	prompt, answer := class.Prompt.draw(random), class.Answer.draw(random)
	shared := text(string(workspace)+class.Name, class.Shared)
	own := text(strconv.FormatUint(random.Uint64(), 36), prompt-class.Shared)
	return Arrival{
		At: at, Class: class, Workspace: workspace, Prompt: prompt,
		Chat: engine.ChatRequest{
			Model: string(fleet.Model), Stream: class.Stream, MaxTokens: int(answer),
			Messages: []engine.Message{{Role: "system", Content: shared}, {Role: "user", Content: own}},
		},
	}
}

func pick(weights []float64, point float64) int {
	for i, weight := range weights {
		if point < weight {
			return i
		}
		point -= weight
	}
	return len(weights) - 1
}

// text repeats a word until it has the wanted number of tokens.
func text(word string, tokens usher.Tokens) string {
	size := max(1, int(tokens)*usher.BytesPerToken)
	repeated := strings.Repeat(word+" ", size/(len(word)+1)+1)
	return repeated[:size]
}
