package peerstate

import (
	"encoding/binary"
	"maps"
	"slices"
	"sync"

	"filbertusher/internal/dispatch"
	"filbertusher/pkg/usher"
)

// maxAbsent bounds the names of a part that are kept although they have no value any more.
// With more, they are dropped and the next statement to each peer is whole.
const maxAbsent = 512

// minWholeBytes is by how much a whole statement must be shorter than one of changes to be
// preferred. The identity of the sender goes with it.
const minWholeBytes = 100

// Sender holds the state of this instance as it was stated last. It is safe for concurrent
// use.
type Sender struct {
	mu       sync.Mutex
	revision Revision
	// whole is the revision from which on a statement can be built on another one.
	whole Revision
	parts [partCount]senderTable
	// toldWhole is that of the last whole statement to any process. The one it reached may not
	// be the one it was made for.
	toldWhole Revision
	// loads are those that were stated last.
	loads map[usher.EndpointName]dispatch.Load
}

// senderTable holds the names of a part in the order in which they were first stated.
type senderTable struct {
	cells  []cell
	index  map[string]int
	absent int
}

// cell is a name with its value, which is empty if it has none. changed is when the value
// last changed, and named when it last began to have one: whole statements leave out names
// without a value. Before named it had none since the revision cleared.
type cell struct {
	name, value             string
	changed, named, cleared Revision
}

// Statement is a state or the changes of one.
type Statement struct {
	// Base is the revision to which the changes apply. 0 stands for any: the state is whole.
	Base     Revision
	Revision Revision
	Changes  []byte
}

// PartBytes are the bytes of the changes of each part.
type PartBytes [partCount]int

// NewSender returns a sender that has stated nothing.
func NewSender() *Sender {
	s := &Sender{whole: 1}
	for part := range s.parts {
		s.parts[part].index = make(map[string]int)
	}
	return s
}

// State returns the statement for a peer that holds the revision acknowledged, or a later
// one up to that of the last statement to it, told. It also returns the statement's size. read
// returns the present state; statements with a later revision have a later state.
func (s *Sender) State(read func() *State, acknowledged, told Revision) (*Statement, PartBytes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.update(read())
	if acknowledged < s.whole || acknowledged > s.revision {
		return s.wholeStatement()
	}
	// What the peer acknowledges or got whole, it was told, also where that was before its
	// process was known.
	told = max(told, acknowledged, s.toldWhole)
	statement, size := s.statement(acknowledged, told)
	// Where most is new, a whole statement is shorter, as it takes nothing back.
	if len(statement.Changes) > minWholeBytes {
		if whole, wholeSize := s.statement(0, told); len(whole.Changes)+minWholeBytes < len(statement.Changes) {
			s.toldWhole = s.revision
			return whole, wholeSize
		}
	}
	return statement, size
}

// wholeStatement returns a whole statement and records that it is sent.
func (s *Sender) wholeStatement() (*Statement, PartBytes) {
	s.toldWhole = s.revision
	return s.statement(0, 0)
}

// statement returns the statement with all changes since a revision.
func (s *Sender) statement(base, told Revision) (*Statement, PartBytes) {
	statement := &Statement{Base: base, Revision: s.revision}
	var size PartBytes
	for part := range s.parts {
		before := len(statement.Changes)
		statement.Changes = s.parts[part].appendChanges(statement.Changes, Part(part), base, told)
		size[part] = len(statement.Changes) - before
	}
	return statement, size
}

// update records the changes of the state under a new revision, if there are any.
func (s *Sender) update(state *State) {
	next := s.revision + 1
	changed := s.revision == 0
	steady := *state
	s.loads = steadyLoads(s.loads, state.Dispatch.Loads)
	steady.Dispatch.Loads = s.loads
	for part := range s.parts {
		changed = s.parts[part].update(steady.encode(Part(part)), next) || changed
	}
	if !changed {
		return
	}
	s.revision = next
	for part := range s.parts {
		if s.parts[part].absent > maxAbsent {
			s.parts[part].dropAbsent()
			s.whole = next
		}
	}
}

func (t *senderTable) update(values map[string]string, revision Revision) (changed bool) {
	set := func(i int, value string) {
		c := &t.cells[i]
		if c.value == value {
			return
		}
		switch "" {
		case c.value:
			t.absent--
			c.named, c.cleared = revision, c.changed
		case value:
			t.absent++
		}
		c.value, c.changed, changed = value, revision, true
	}
	for i := range t.cells {
		set(i, values[t.cells[i].name])
	}
	for _, name := range slices.Sorted(maps.Keys(values)) {
		if _, known := t.index[name]; known || len(t.cells) == maxNames {
			continue
		}
		t.index[name] = len(t.cells)
		t.cells = append(t.cells, cell{name: name, value: values[name], changed: revision, named: revision})
		changed = true
	}
	return changed
}

// dropAbsent drops the names without a value, which changes the index of others.
func (t *senderTable) dropAbsent() {
	t.cells = slices.DeleteFunc(t.cells, func(c cell) bool { return c.value == "" })
	t.absent = 0
	clear(t.index)
	for i := range t.cells {
		t.index[t.cells[i].name] = i
	}
}

// appendChanges appends the part, its length and the changes since base. A change begins
// with the distance of its index from the last one, and a bit that says whether the name
// follows. What the peer has never been told and is gone again is left out.
func (t *senderTable) appendChanges(to []byte, part Part, base, told Revision) []byte {
	var changes []byte
	last := -1
	for i := range t.cells {
		c := &t.cells[i]
		isUntold := base == 0 || c.cleared <= base && c.named > told
		if c.changed <= base || c.value == "" && isUntold {
			continue
		}
		head := uint64(i-last-1) << 1
		last = i
		if c.named <= base {
			changes = binary.AppendUvarint(changes, head)
		} else {
			changes = binary.AppendUvarint(changes, head|1)
			changes = binary.AppendUvarint(changes, uint64(len(c.name)))
			changes = append(changes, c.name...)
		}
		if c.value == "" {
			changes = appendFields(changes, nil)
		} else {
			changes = append(changes, c.value...)
		}
	}
	if len(changes) == 0 {
		return to
	}
	to = binary.AppendUvarint(to, uint64(part))
	to = binary.AppendUvarint(to, uint64(len(changes)))
	return append(to, changes...)
}
