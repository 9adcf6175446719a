package peerstate

import (
	"maps"
	"slices"
	"time"

	"filbertusher/internal/dispatch"
	"filbertusher/internal/quota"
	"filbertusher/pkg/usher"
)

// Receiver holds the state of one process of a peer. It is not safe for concurrent use.
type Receiver struct {
	applied Revision
	// clock is the age that the sender's process had.
	clock time.Duration
	// state shares its maps with what Apply returned. In place of the age of a limit, it has
	// that of the sender's process when the limit was observed.
	state State
	names [partCount][]string
}

// Acknowledged returns the revision that the receiver holds.
func (r *Receiver) Acknowledged() Revision { return r.applied }

// Apply applies a statement that the sender made when its process had the age clock. It
// returns nil without an error for a statement that is older than what is held, or that
// is based on what is not. The maps that it returns are not changed later.
func (r *Receiver) Apply(statement *Statement, clock time.Duration) (*State, error) {
	older := statement.Revision < r.applied || statement.Revision == r.applied && clock < r.clock
	if older || statement.Base > r.applied || statement.Revision == 0 {
		return nil, nil
	}
	next := Receiver{applied: statement.Revision, clock: clock, state: newState()}
	if statement.Base != 0 {
		next.state, next.names = r.state, r.names
	}
	read := reader{rest: statement.Changes}
	for following := uint64(0); len(read.rest) > 0; {
		part := read.uvarint()
		if part < following {
			read.fail("the parts are out of order")
		}
		following = part + 1
		changes := reader{rest: read.bytes(read.uvarint())}
		// A later version may have further parts.
		if part < uint64(partCount) && read.err == nil {
			next.apply(Part(part), &changes)
			read.err = changes.err
		}
		if read.err != nil {
			return nil, read.err
		}
	}
	*r = next
	return r.present(), nil
}

// present returns the state with the ages of the limits.
func (r *Receiver) present() *State {
	state := r.state
	state.Quota.Age = r.clock
	state.Dispatch.Limits = make(map[usher.EndpointName]dispatch.NamedLimit, len(r.state.Dispatch.Limits))
	for name, limit := range r.state.Dispatch.Limits {
		limit.Age = max(0, r.clock-limit.Age)
		state.Dispatch.Limits[name] = limit
	}
	return &state
}

// apply applies the changes of a part to copies of its values and names.
func (r *Receiver) apply(part Part, changes *reader) {
	r.state.cloneMap(part)
	names := slices.Clone(r.names[part])
	for next := uint64(0); len(changes.rest) > 0; next++ {
		head := changes.uvarint()
		next += min(head>>1, maxNames)
		if next >= maxNames {
			changes.fail("an index is too large")
		}
		if head&1 != 0 {
			names = setName(names, next, changes)
		}
		fields := changes.fields()
		switch {
		case next < uint64(len(names)) && names[next] != "":
			r.state.set(part, names[next], fields)
		case len(fields) > 0:
			changes.fail("an index has no name")
		default:
			// A whole statement came after the one that this is based on. It left out the name,
			// because the value was gone already.
		}
		if changes.err != nil {
			return
		}
	}
	r.names[part] = names
}

// setName reads the name with an index.
func setName(names []string, index uint64, changes *reader) []string {
	length := changes.uvarint()
	if length > maxNameBytes {
		changes.fail("a name is too long")
	}
	name := string(changes.bytes(length))
	if changes.err != nil {
		return names
	}
	if missing := int(index) + 1 - len(names); missing > 0 {
		names = append(names, make([]string, missing)...)
	}
	names[index] = name
	return names
}

func newState() State {
	return State{
		Dispatch: dispatch.Report{
			Loads: make(map[usher.EndpointName]dispatch.Load), Demand: make(map[usher.ServiceName]dispatch.Demand),
			Limits: make(map[usher.EndpointName]dispatch.NamedLimit),
		},
		Quota: quota.Report{Used: make(quota.Amounts), Demand: make(quota.Amounts)},
	}
}

// cloneMap replaces the map of a part by a copy.
func (s *State) cloneMap(part Part) {
	switch part {
	case Loads:
		s.Dispatch.Loads = maps.Clone(s.Dispatch.Loads)
	case Demand:
		s.Dispatch.Demand = maps.Clone(s.Dispatch.Demand)
	case Limits:
		s.Dispatch.Limits = maps.Clone(s.Dispatch.Limits)
	case QuotaUsed:
		s.Quota.Used = maps.Clone(s.Quota.Used)
	case QuotaDemand:
		s.Quota.Demand = maps.Clone(s.Quota.Demand)
	}
}
