package engine

import (
	"sort"
	"sync"
)

// Order is a control command that changes what the engine serves. Verb is load or
// unload, with the name of a model, or role, with the name of a role. It has
// nothing to do with the orders that the package orderservice takes.
type Order struct {
	Verb  string `json:"verb"`
	Name  string `json:"name"`
	Fence uint64 `json:"fence"`
}

// State reports what the engine serves. Loads counts the models loaded by orders
// since the engine started.
type State struct {
	Models []string `json:"models"`
	Role   string   `json:"role"`
	// Fence is the highest fencing token seen.
	Fence uint64 `json:"fence"`
	Loads int    `json:"loads"`
}

// servingState is the set of models that the engine serves, its role, and the
// highest fencing token it has accepted.
type servingState struct {
	mu     *sync.Mutex
	models map[string]bool
	role   string
	fence  uint64
	loads  int
}

func newServingState(models []string) servingState {
	state := servingState{mu: new(sync.Mutex), models: make(map[string]bool)}
	for _, model := range models {
		state.models[model] = true
	}
	return state
}

// acceptFence records the fencing token of a request or an order. If checked is
// set, it returns false for a token below the highest one recorded.
func (s *servingState) acceptFence(fence uint64, checked bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if checked && fence < s.fence {
		return false
	}
	s.fence = max(s.fence, fence)
	return true
}

func (s *servingState) apply(order Order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch order.Verb {
	case "load":
		if !s.models[order.Name] {
			s.models[order.Name] = true
			s.loads++
		}
	case "unload":
		delete(s.models, order.Name)
	case "role":
		s.role = order.Name
	}
}

func (s *servingState) serves(model string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.models[model]
}

func (s *servingState) snapshot() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := State{Role: s.role, Fence: s.fence, Loads: s.loads}
	for model := range s.models {
		state.Models = append(state.Models, model)
	}
	sort.Strings(state.Models)
	return state
}
