// Package operator reads and changes the stored configuration on behalf of
// human operators and pipelines. Operations that write are in commands.go, those
// that only read in queries.go. They access only the platform's store, so they
// work without a running process.
package operator

import (
	"strings"
	"sync/atomic"
	"time"

	"filbertusher/internal/config"
	"filbertusher/pkg/usher"
)

// Client reads and changes the configuration on behalf of one author.
type Client struct {
	store  usher.Store
	author string
	// cached is the last configuration that was read. A later read fetches only
	// the parts that differ from it.
	cached atomic.Pointer[config.Snapshot]
}

// New returns a client of store. Author, a person or a pipeline, is recorded in
// the history of every change.
func New(store usher.Store, author string) *Client {
	c := &Client{store: store, author: author}
	c.cached.Store(config.Empty())
	return c
}

// Change is a set of objects to write and to delete in one version. Note is the
// reason for it, which the history shows.
type Change struct {
	// ID identifies the change in the history; Apply generates one if it is empty.
	ID     config.ChangeID
	Note   string
	Put    []usher.Object
	Delete []usher.ObjectKey
	// BaseVersion is the version that the change is based on; 0 stands for the version
	// that is current when Apply begins. It is a conflict if somebody else changed
	// an object of the change after BaseVersion.
	BaseVersion usher.Version
}

func (c *Change) keys() []usher.ObjectKey {
	keys := append([]usher.ObjectKey(nil), c.Delete...)
	for _, object := range c.Put {
		keys = append(keys, object.Key)
	}
	return keys
}

// ConflictError is returned when somebody else has changed the same objects
// since the base version. It describes both changes.
type ConflictError struct {
	// Theirs is the newest accepted change of the first object in Values.
	Theirs config.Head
	// Ours is the rejected change, and Author its author.
	Ours   Change
	Author string
	// Values lists each object that both changes touch, with its three values.
	Values []ConflictValue
}

// ConflictValue is one object of a conflict: its value in the base version, in the
// accepted change and in the rejected one. An empty string means that the object
// is absent.
type ConflictValue struct {
	Key                usher.ObjectKey
	Base, Theirs, Ours string
}

// Error implements error.
func (e *ConflictError) Error() string {
	var b strings.Builder
	b.WriteString("not accepted: " + e.Theirs.Author + " changed the same at " + e.Theirs.Time.Format(time.RFC3339) +
		" in " + summarizeHead(&e.Theirs) + "\n")
	for _, value := range e.Values {
		b.WriteString("  " + strings.TrimPrefix(string(value.Key), string(config.Prefix)) + "\n")
		b.WriteString("    before: " + orAbsent(value.Base) + "\n")
		b.WriteString("    theirs: " + orAbsent(value.Theirs) + " (" + e.Theirs.Author + ")\n")
		b.WriteString("    ours:   " + orAbsent(value.Ours) + " (" + e.Author + ")\n")
	}
	return strings.TrimSuffix(b.String(), "\n")
}

func orAbsent(value string) string {
	if value == "" {
		return "absent"
	}
	return value
}

// UnknownOutcomeError is returned when it is unknown whether a change was
// accepted, because the store does not respond. If it was, the history lists it
// under its ID.
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

// NotDeclaredError is returned for an object that is not in the configuration.
type NotDeclaredError struct {
	Kind config.Kind
	Name string
}

// Error implements error.
func (e *NotDeclaredError) Error() string { return string(e.Kind) + " " + e.Name + " is not declared" }
