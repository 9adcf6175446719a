package peerstate

import (
	"encoding/binary"
	"math/bits"
)

const (
	// maxFields bounds the fields of a value.
	maxFields = 16
	// maxNames bounds the names of a part, and maxNameBytes the length of one.
	maxNames     = 1 << 16
	maxNameBytes = 1 << 12
)

// MalformedError is returned for a statement that can't be decoded.
type MalformedError struct{ Reason string }

// Error implements error.
func (e *MalformedError) Error() string { return "a peer's statement is malformed: " + e.Reason }

// appendFields appends a mask of the fields that are not zero, and these.
func appendFields(to []byte, fields []uint64) []byte {
	mask := uint64(0)
	for i, field := range fields {
		if field != 0 {
			mask |= 1 << i
		}
	}
	to = binary.AppendUvarint(to, mask)
	for _, field := range fields {
		if field != 0 {
			to = binary.AppendUvarint(to, field)
		}
	}
	return to
}

// reader reads a statement. After an error, all reads return zero.
type reader struct {
	rest []byte
	err  error
}

func (r *reader) fail(reason string) {
	if r.err == nil {
		r.rest, r.err = nil, &MalformedError{Reason: reason}
	}
}

func (r *reader) uvarint() uint64 {
	value, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.fail("a number is cut off or too large")
		return 0
	}
	r.rest = r.rest[n:]
	return value
}

func (r *reader) bytes(length uint64) []byte {
	if length > uint64(len(r.rest)) {
		r.fail("a part is cut off")
		return nil
	}
	read := r.rest[:length]
	r.rest = r.rest[length:]
	return read
}

// fields reads what appendFields wrote.
func (r *reader) fields() []uint64 {
	mask := r.uvarint()
	if mask>>maxFields != 0 {
		r.fail("a value has too many fields")
		return nil
	}
	fields := make([]uint64, bits.Len64(mask))
	for i := range fields {
		if mask&(1<<i) != 0 {
			fields[i] = r.uvarint()
		}
	}
	return fields
}
