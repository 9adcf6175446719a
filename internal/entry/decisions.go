package entry

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"filbertusher/pkg/usher"
)

// Reasons for choosing an endpoint, as shown in the log and the diagnostic dump.
const (
	reasonImmediateCapacity  = "had room at once and the earliest expected finish"
	reasonEarliestAfterWait  = "earliest expected finish after a wait"
	reasonReservationGranted = "granted the reservation before the first choice had room"
)

// maxRecentDecisions is the number of latest decisions in the diagnostic dump.
const maxRecentDecisions = 64

// decisionLog is a ring buffer of the latest decisions with the candidates they
// were based on. The log and the record hold older ones.
type decisionLog struct {
	mu   sync.Mutex
	next int
	ring [maxRecentDecisions]recentDecision
}

// recentDecision is one decision in the diagnostic dump.
type recentDecision struct {
	ID         usher.RequestID    `json:"id"`
	Service    usher.ServiceName  `json:"service"`
	Tier       usher.TierName     `json:"tier"`
	Endpoint   usher.EndpointName `json:"endpoint,omitempty"`
	Attempts   usher.Attempt      `json:"attempts"`
	Refusal    usher.RefusalKind  `json:"refusal,omitempty"`
	Why        string             `json:"why,omitempty"`
	Candidates string             `json:"candidates,omitempty"`
}

func (l *decisionLog) add(decision *usher.Decision, candidates string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ring[l.next%maxRecentDecisions] = recentDecision{
		ID: decision.ID, Service: decision.Service, Tier: decision.Tier, Endpoint: decision.Endpoint,
		Attempts: decision.Attempts, Refusal: decision.Refusal, Why: decision.Why, Candidates: candidates,
	}
	l.next++
}

// state returns the latest decisions, newest first.
func (l *decisionLog) state() []recentDecision {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := min(l.next, maxRecentDecisions)
	list := make([]recentDecision, 0, count)
	for i := range count {
		list = append(list, l.ring[(l.next-1-i)%maxRecentDecisions])
	}
	return list
}

// formatCandidates formats candidates in ranked order, each with its expected
// finish and, if not 0, the number of prompt tokens expected to be cached:
// "advice-0:57ms advice-1:120ms:1024".
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
