// Package record keeps what was decided on each request for an inspector.
package record

import (
	"sync"

	"filbertusher/pkg/usher"
)

// Memory is a recorder that keeps the newest decisions in memory only.
type Memory struct {
	limit int

	mu        sync.Mutex
	decisions []usher.Decision
}

var _ usher.Recorder = (*Memory)(nil)

// NewMemory returns a recorder of up to limit decisions.
func NewMemory(limit int) *Memory { return &Memory{limit: limit} }

// Accept implements usher.Recorder.
func (m *Memory) Accept(usher.Rank) error { return nil }

// Record implements usher.Recorder.
func (m *Memory) Record(decision usher.Decision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decisions = append(m.decisions, decision)
	if len(m.decisions) > m.limit {
		m.decisions = append([]usher.Decision(nil), m.decisions[m.limit/2:]...)
	}
}

// State is the recorder's part of the dump.
func (m *Memory) State() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	return map[string]any{"kept": len(m.decisions)}
}
