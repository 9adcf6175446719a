// Package operator is what operators do to the configuration. Commands write
// and are in commands.go; queries only read and are in queries.go. Both work
// on the platform's store alone, so they need no running process.
package operator

import (
	"strings"
	"sync/atomic"
	"time"

	"filbertusher/internal/config"
	"filbertusher/pkg/usher"
)

// Operator acts in the name of one person or pipeline.
type Operator struct {
	store  usher.Store
	author string
	// known is the last configuration that was read. A later read fetches only
	// what differs from it.
	known atomic.Pointer[config.Snapshot]
}

// New returns an operator; author goes into the history of every change.
func New(store usher.Store, author string) *Operator {
	o := &Operator{store: store, author: author}
	o.known.Store(config.Empty())
	return o
}

// Change is what an operator wants to be different.
type Change struct {
	// ID is chosen by New when it is empty.
	ID     config.ChangeID
	Note   string
	Put    []usher.Object
	Delete []usher.ObjectKey
	// Expect is the version that the operator has looked at; 0 means whatever
	// is in force when the change begins. An object of the change that was
	// changed by somebody else after Expect is a conflict.
	Expect usher.Version
}

func (c *Change) keys() []usher.ObjectKey {
	keys := append([]usher.ObjectKey(nil), c.Delete...)
	for _, object := range c.Put {
		keys = append(keys, object.Key)
	}
	return keys
}

// ConflictError is returned when somebody else has changed the same objects.
// It shows both changes.
type ConflictError struct {
	// Theirs is the accepted change of the first of the objects.
	Theirs config.Head
	// Ours is the change that was not.
	Ours   Change
	Author string
	// Values shows each object that both change as it was, as they made it and as we wanted it.
	Values []ConflictValue
}

// ConflictValue is one object of a conflict; an empty text means absent.
type ConflictValue struct {
	Key                usher.ObjectKey
	Base, Theirs, Ours string
}

// Error implements error.
func (e *ConflictError) Error() string {
	var text strings.Builder
	text.WriteString("not accepted: " + e.Theirs.Author + " changed the same at " + e.Theirs.Time.Format(time.RFC3339) +
		" in " + describeHead(&e.Theirs) + "\n")
	for _, value := range e.Values {
		text.WriteString("  " + strings.TrimPrefix(string(value.Key), string(config.Prefix)) + "\n")
		text.WriteString("    before: " + orAbsent(value.Base) + "\n")
		text.WriteString("    theirs: " + orAbsent(value.Theirs) + " (" + e.Theirs.Author + ")\n")
		text.WriteString("    ours:   " + orAbsent(value.Ours) + " (" + e.Author + ")\n")
	}
	return strings.TrimSuffix(text.String(), "\n")
}

func orAbsent(value string) string {
	if value == "" {
		return "absent"
	}
	return value
}

// UnknownOutcomeError is returned when it can't be found out whether a change
// was accepted, because the store does not answer. The history shows it later
// under the id.
type UnknownOutcomeError struct {
	ID    config.ChangeID
	Cause error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return "it is unknown whether change " + string(e.ID) + " was accepted; see the history for it: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// NotDeclaredError is returned for an object that does not exist.
type NotDeclaredError struct {
	Kind config.Kind
	Name string
}

// Error implements error.
func (e *NotDeclaredError) Error() string { return string(e.Kind) + " " + e.Name + " is not declared" }
