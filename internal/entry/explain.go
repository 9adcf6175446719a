package entry

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"filbertusher/pkg/usher"
)

// The reasons for which an endpoint was chosen, in the log and in the dump.
const (
	whyRoom  = "had room at once and the earliest expected finish"
	whyWait  = "earliest expected finish after a wait"
	whyGrant = "granted the reservation before the first choice had room"
)

// explainedDecisions is how many of the latest decisions the dump shows.
const explainedDecisions = 64

// explanations keeps the latest decisions with what they were made on. Older
// ones are in the log and in the record.
type explanations struct {
	mu   sync.Mutex
	next int
	ring [explainedDecisions]explanation
}

// explanation is one decision in the dump.
type explanation struct {
	ID         usher.RequestID    `json:"id"`
	Service    usher.ServiceName  `json:"service"`
	Tier       usher.TierName     `json:"tier"`
	Endpoint   usher.EndpointName `json:"endpoint,omitempty"`
	Attempts   usher.Attempt      `json:"attempts"`
	Refusal    usher.RefusalKind  `json:"refusal,omitempty"`
	Why        string             `json:"why,omitempty"`
	Candidates string             `json:"candidates,omitempty"`
}

func (e *explanations) add(decision *usher.Decision, candidates string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ring[e.next%explainedDecisions] = explanation{
		ID: decision.ID, Service: decision.Service, Tier: decision.Tier, Endpoint: decision.Endpoint,
		Attempts: decision.Attempts, Refusal: decision.Refusal, Why: decision.Why, Candidates: candidates,
	}
	e.next++
}

// state lists the latest decisions, newest first.
func (e *explanations) state() []explanation {
	e.mu.Lock()
	defer e.mu.Unlock()
	count := min(e.next, explainedDecisions)
	list := make([]explanation, 0, count)
	for i := range count {
		list = append(list, e.ring[(e.next-1-i)%explainedDecisions])
	}
	return list
}

// formatCandidates writes candidates in the order in which they were ranked:
// "advice-0:57ms advice-1:120ms:1024", with the prompt tokens that were
// expected to be cached where there are any.
func formatCandidates(candidates []usher.Candidate) string {
	var out strings.Builder
	for i, c := range candidates {
		if i > 0 {
			out.WriteByte(' ')
		}
		out.WriteString(string(c.Endpoint))
		out.WriteByte(':')
		out.WriteString(c.Finish.Round(time.Millisecond).String())
		if c.Reused > 0 {
			out.WriteByte(':')
			out.WriteString(strconv.Itoa(int(c.Reused)))
		}
	}
	return out.String()
}
