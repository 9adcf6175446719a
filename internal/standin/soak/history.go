package soak

import (
	"fmt"
	"math"
	"sort"
	"sync"

	"github.com/anishathalye/porcupine"

	"filbertusher/pkg/usher"
)

// told is what a caller concludes from one answer.
type told int

const (
	// toldBooked callers got the whole answer.
	toldBooked told = iota
	// toldRan callers know that it ran, but the answer is gone.
	toldRan
	// toldNotRun callers were promised that it did not and will not run.
	toldNotRun
	// toldUnknown callers know nothing.
	toldUnknown
	// toldNothing callers know that this attempt did not run, or that it was
	// refused for a reason of its own.
	toldNothing
	// toldFinal is the count of executions at the end.
	toldFinal
)

// operation is one request of a caller, by the caller's clock.
type operation struct {
	key      string
	call     int64
	end      int64
	told     told
	body     string
	verdict  string
	ticketed bool
	// runs is the count of executions; only with toldFinal.
	runs int
}

// traces gathers the operations of all callers.
type traces struct {
	mu         sync.Mutex
	byKey      map[string][]operation
	counts     map[string]int
	total      int
	violations []string
}

func (t *traces) add(o operation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byKey == nil {
		t.byKey, t.counts = make(map[string][]operation), make(map[string]int)
	}
	t.byKey[o.key] = append(t.byKey[o.key], o)
	t.counts[o.verdict]++
	t.total++
}

// violate notes a broken promise that one answer shows by itself.
func (t *traces) violate(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.violations = append(t.violations, fmt.Sprintf(format, args...))
}

func (t *traces) requests() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.total
}

func (t *traces) verdicts() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// check compares the histories of all keys with the executions. It returns how
// many keys there were and every promise that was broken.
func (t *traces) check(executions map[string]int) (int, []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := t.violations
	for key, runs := range executions {
		if runs > 1 {
			found = append(found, fmt.Sprintf("key %s ran %d times", key, runs))
		}
		if _, ok := t.byKey[key]; !ok {
			found = append(found, "key "+key+" ran and was never sent")
		}
	}
	for key, history := range t.byKey {
		found = append(found, checkKey(key, history, executions[key])...)
	}
	sort.Strings(found)
	return len(t.byKey), found
}

// checkKey checks one key: all its answers are the same, and its history can
// be put in an order in which the key runs at most once, never before or after
// a promise that it did not run, and as often as was counted.
func checkKey(key string, history []operation, runs int) []string {
	var found []string
	answer := ""
	for _, o := range history {
		if o.told != toldBooked {
			continue
		}
		if answer != "" && answer != o.body {
			found = append(found, "key "+key+" got two answers")
		}
		answer = o.body
	}
	if !porcupine.CheckOperations(model, operations(history, runs)) {
		found = append(found, fmt.Sprintf("the history of key %s is impossible with %d runs: %v", key, runs, describe(history)))
	}
	return found
}

func describe(history []operation) []string {
	lines := make([]string, 0, len(history))
	for _, o := range history {
		lines = append(lines, fmt.Sprintf("[%dms..%dms %s]", o.call/1e6, o.end/1e6, o.verdict))
	}
	return lines
}

// operations turns a history into porcupine's. A request of unknown outcome may
// take effect at any later time, but not after another caller, who asked after
// it had been given up, was promised that the key did not run.
func operations(history []operation, runs int) []porcupine.Operation {
	const end = math.MaxInt64 - 1
	converted := make([]porcupine.Operation, 0, len(history)+1)
	for i, o := range history {
		until := o.end
		if o.told == toldUnknown {
			until = end
			for _, other := range history {
				if other.told == toldNotRun && other.call >= o.end {
					until = min(until, other.end)
				}
			}
		}
		converted = append(converted, porcupine.Operation{ClientId: i, Input: o.told, Output: o, Call: o.call, Return: until})
	}
	final := operation{told: toldFinal, runs: min(runs, 1)}
	return append(converted, porcupine.Operation{ClientId: len(history), Input: toldFinal, Output: final, Call: end, Return: math.MaxInt64})
}

// model is the naive version: a key has run or not.
var model = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{0} },
	Step: func(state, _, output any) []any {
		ran, o := state.(int), output.(operation)
		switch o.told {
		case toldBooked, toldRan:
			return []any{1}
		case toldNotRun:
			if ran == 1 {
				return nil
			}
			return []any{0}
		case toldUnknown:
			return []any{ran, 1}
		case toldFinal:
			if ran != o.runs {
				return nil
			}
		}
		return []any{ran}
	},
}).ToModel()

// conclude says what a refusal tells its caller.
func conclude(refusal *usher.Refusal) told {
	switch {
	case refusal.Attempt == usher.OutcomeNotRun:
		return toldNothing
	case refusal.Kind == usher.RefusalKeyConflict:
		return toldNothing
	case refusal.Outcome == usher.OutcomeNotRun:
		return toldNotRun
	case refusal.Outcome == usher.OutcomeRan:
		return toldRan
	default:
		return toldUnknown
	}
}
