package archive

import (
	"errors"
	"fmt"

	"filbertusher/internal/record"
	"filbertusher/pkg/usher"
)

// DamageError is returned with results that lack what some objects of the record hold,
// because these can't be read. Everything else was read.
type DamageError struct{ Causes []error }

// Error implements error.
func (e *DamageError) Error() string {
	return fmt.Sprintf("%d objects of the record can't be read: %v", len(e.Causes), errors.Join(e.Causes...))
}

// Unwrap returns the error of each object.
func (e *DamageError) Unwrap() []error { return e.Causes }

// damageError returns nil if all objects could be read.
func damageError(causes []error) error {
	if len(causes) == 0 {
		return nil
	}
	return &DamageError{Causes: causes}
}

// isUnreadable reports whether err means that an object holds something else than its
// writer stored. Reading it again would not help.
func isUnreadable(err error) bool {
	var format *record.FormatError
	var version *record.VersionError
	var unreadable *usher.UnreadableError
	return errors.As(err, &format) || errors.As(err, &version) || errors.As(err, &unreadable)
}
