package soak

import (
	"fmt"
	"math"
	"sort"
	"sync"

	"github.com/anishathalye/porcupine"

	"filbertusher/pkg/usher"
)

// outcome is what a caller knows about its order after one response.
type outcome int

const (
	// outcomeBooked means that the caller got the complete response.
	outcomeBooked outcome = iota
	// outcomeRan means that the order was executed and its response is lost.
	outcomeRan
	// outcomeNotRun means that the order was not executed and that no request sent
	// so far will execute it.
	outcomeNotRun
	// outcomeUnknown means that the order may have been executed, or still will.
	outcomeUnknown
	// outcomeAttemptNotRun means that this attempt was not executed or was refused
	// for a key conflict. It says nothing about other attempts with the key.
	outcomeAttemptNotRun
	// outcomeFinalCount marks the number of executions at the end of the run.
	outcomeFinalCount
)

// operation is one request of a caller. call and end are the times of the request
// and the response, in nanoseconds since the start of the run. description is the
// text by which outcomes are counted. body is the response body of a booked order.
type operation struct {
	key         string
	call        int64
	end         int64
	outcome     outcome
	body        string
	description string
	hasTicket   bool
	// executions is the number of executions; set only with outcomeFinalCount.
	executions int
}

// histories records the operations of all callers by key.
type histories struct {
	mu         sync.Mutex
	byKey      map[string][]operation
	counts     map[string]int
	total      int
	violations []string
}

func (h *histories) add(o operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.byKey == nil {
		h.byKey, h.counts = make(map[string][]operation), make(map[string]int)
	}
	h.byKey[o.key] = append(h.byKey[o.key], o)
	h.counts[o.description]++
	h.total++
}

// addViolation records a violation of the guarantees that a single response
// shows.
func (h *histories) addViolation(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

func (h *histories) requests() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.total
}

func (h *histories) outcomeCounts() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.counts
}

// check checks the histories of all keys against the executions. It returns the
// number of keys and all violations.
func (h *histories) check(executions map[string]int) (int, []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	violations := h.violations
	for key, count := range executions {
		if count > 1 {
			violations = append(violations, fmt.Sprintf("key %s was executed %d times", key, count))
		}
		if _, ok := h.byKey[key]; !ok {
			violations = append(violations, "key "+key+" was executed and never sent")
		}
	}
	for key, history := range h.byKey {
		violations = append(violations, checkKey(key, history, executions[key])...)
	}
	sort.Strings(violations)
	return len(h.byKey), violations
}

// checkKey checks one key. All its responses must be identical. Its history must
// have a linearization in which the key is executed as often as was counted, which
// is at most once, and not before a response with outcomeNotRun. After such a
// response, only requests that were sent later may execute it.
func checkKey(key string, history []operation, executions int) []string {
	var violations []string
	answer := ""
	for _, o := range history {
		if o.outcome != outcomeBooked {
			continue
		}
		if answer != "" && answer != o.body {
			violations = append(violations, "key "+key+" got two different responses")
		}
		answer = o.body
	}
	if !porcupine.CheckOperations(keyModel, operations(history, executions)) {
		violations = append(violations, fmt.Sprintf("the history of key %s is not linearizable with %d executions: %v", key, executions, describe(history)))
	}
	return violations
}

func describe(history []operation) []string {
	lines := make([]string, 0, len(history))
	for _, o := range history {
		lines = append(lines, fmt.Sprintf("[%dms..%dms %s]", o.call/1e6, o.end/1e6, o.description))
	}
	return lines
}

// operations converts a history to porcupine operations. A request with an unknown
// outcome may take effect at any later time, but not after the end of a request
// that was sent later and got outcomeNotRun.
func operations(history []operation, executions int) []porcupine.Operation {
	const end = math.MaxInt64 - 1
	converted := make([]porcupine.Operation, 0, len(history)+1)
	for i, o := range history {
		until := o.end
		if o.outcome == outcomeUnknown {
			until = end
			for _, other := range history {
				if other.outcome == outcomeNotRun && other.call >= o.end {
					until = min(until, other.end)
				}
			}
		}
		converted = append(converted, porcupine.Operation{ClientId: i, Input: o.outcome, Output: o, Call: o.call, Return: until})
	}
	final := operation{outcome: outcomeFinalCount, executions: min(executions, 1)}
	return append(converted, porcupine.Operation{ClientId: len(history), Input: outcomeFinalCount, Output: final, Call: end, Return: math.MaxInt64})
}

// keyModel is the sequential specification of one key: it has been executed (1) or
// not (0).
var keyModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{0} },
	Step: func(state, _, output any) []any {
		ran, o := state.(int), output.(operation)
		switch o.outcome {
		case outcomeBooked, outcomeRan:
			return []any{1}
		case outcomeNotRun:
			if ran == 1 {
				return nil
			}
			return []any{0}
		case outcomeUnknown:
			return []any{ran, 1}
		case outcomeFinalCount:
			if ran != o.executions {
				return nil
			}
		}
		return []any{ran}
	},
}).ToModel()

// outcomeOf returns what a caller knows after a refusal.
func outcomeOf(refusal *usher.Refusal) outcome {
	switch {
	case refusal.Attempt == usher.OutcomeNotRun:
		return outcomeAttemptNotRun
	case refusal.Kind == usher.RefusalKeyConflict:
		return outcomeAttemptNotRun
	case refusal.Outcome == usher.OutcomeNotRun:
		return outcomeNotRun
	case refusal.Outcome == usher.OutcomeRan:
		return outcomeRan
	default:
		return outcomeUnknown
	}
}
