package engine

import (
	"sort"
	"sync"
)

// Order asks the engine to change what it serves. Verb is load, unload or role.
type Order struct {
	Verb  string `json:"verb"`
	Name  string `json:"name"`
	Fence uint64 `json:"fence"`
}

// State is what the engine serves now.
type State struct {
	Models []string `json:"models"`
	Role   string   `json:"role"`
	// Fence is the highest fencing number seen.
	Fence uint64 `json:"fence"`
	Loads int    `json:"loads"`
}

type orderState struct {
	mu     *sync.Mutex
	models map[string]bool
	role   string
	fence  uint64
	loads  int
}

func newOrderState(models []string) orderState {
	state := orderState{mu: new(sync.Mutex), models: make(map[string]bool)}
	for _, model := range models {
		state.models[model] = true
	}
	return state
}

// raise checks a fencing number and keeps the highest one.
func (o *orderState) raise(fence uint64, checked bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if checked && fence < o.fence {
		return false
	}
	o.fence = max(o.fence, fence)
	return true
}

func (o *orderState) apply(order Order) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch order.Verb {
	case "load":
		if !o.models[order.Name] {
			o.models[order.Name] = true
			o.loads++
		}
	case "unload":
		delete(o.models, order.Name)
	case "role":
		o.role = order.Name
	}
}

func (o *orderState) serves(model string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.models[model]
}

func (o *orderState) show() State {
	o.mu.Lock()
	defer o.mu.Unlock()
	state := State{Role: o.role, Fence: o.fence, Loads: o.loads}
	for model := range o.models {
		state.Models = append(state.Models, model)
	}
	sort.Strings(state.Models)
	return state
}
