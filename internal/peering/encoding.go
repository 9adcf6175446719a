package peering

import (
	"encoding/binary"
	"encoding/json"
	"reflect"
	"time"

	"filbertusher/internal/peerstate"
	"filbertusher/pkg/usher"
)

// MalformedError is returned for a statement that can't be decoded.
type MalformedError struct{ Reason string }

// Error implements error.
func (e *MalformedError) Error() string { return "a peer's statement is malformed: " + e.Reason }

const (
	isLearning = 1 << iota
	isLoaded
)

// numbers are the fields of a statement in the order in which they are encoded. Fields that a
// later version appends are ignored.
func (s *Statement) numbers() []uint64 {
	flags := uint64(0)
	if s.Rest.Quota.Learning {
		flags |= isLearning
	}
	if s.Rest.Streams.Loaded {
		flags |= isLoaded
	}
	return []uint64{
		uint64(s.Sender), uint64(s.Receiver), uint64(s.Acknowledged), s.AcknowledgedBlame, s.Number, s.AcknowledgedNumber,
		uint64(s.Clock), uint64(s.State.Base), uint64(s.State.Revision), s.BlameRevision,
		uint64(s.Rest.Version), uint64(s.Rest.ProofAge), uint64(s.Rest.RosterVersion), s.Rest.RosterDigest, uint64(s.Rest.RosterAge),
		uint64(s.Rest.Members), flags,
	}
}

func (s *Statement) setNumbers(numbers []uint64) {
	// An earlier version may have fewer.
	var n [17]uint64
	copy(n[:], numbers)
	s.Sender, s.Receiver = processID(n[0]), processID(n[1])
	s.Acknowledged, s.AcknowledgedBlame = peerstate.Revision(n[2]), n[3]
	s.Number, s.AcknowledgedNumber, s.Clock = n[4], n[5], time.Duration(n[6])
	s.State.Base, s.State.Revision, s.BlameRevision = peerstate.Revision(n[7]), peerstate.Revision(n[8]), n[9]
	s.Rest.Version, s.Rest.ProofAge = usher.Version(n[10]), time.Duration(n[11])
	s.Rest.RosterVersion, s.Rest.RosterDigest, s.Rest.RosterAge = usher.Version(n[12]), n[13], time.Duration(n[14])
	s.Rest.Members = int(n[15])
	s.Rest.Quota.Learning, s.Rest.Streams.Loaded = n[16]&isLearning != 0, n[16]&isLoaded != 0
}

// encode returns the statement in the form in which it is sent. With gob, the types of its
// fields would take 1.5 KB in each direction of each connection.
func (s *Statement) encode() ([]byte, error) {
	numbers := s.numbers()
	encoded := binary.AppendUvarint(nil, uint64(len(numbers)))
	for _, number := range numbers {
		encoded = binary.AppendUvarint(encoded, number)
	}
	encoded = appendBytes(encoded, s.State.Changes)
	var err error
	if encoded, err = appendJSON(encoded, s.Identity, s.Identity == nil); err != nil {
		return nil, err
	}
	rest := s.Rest
	rest.Version, rest.ProofAge, rest.RosterVersion, rest.RosterDigest, rest.RosterAge, rest.Members = 0, 0, 0, 0, 0, 0
	rest.Quota.Learning, rest.Streams.Loaded = false, false
	return appendJSON(encoded, &rest, reflect.ValueOf(rest).IsZero())
}

func appendBytes(to, data []byte) []byte {
	return append(binary.AppendUvarint(to, uint64(len(data))), data...)
}

// appendJSON appends a value, or no bytes if it is absent.
func appendJSON(to []byte, value any, absent bool) ([]byte, error) {
	if absent {
		return appendBytes(to, nil), nil
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	return appendBytes(to, encoded), nil
}

// maxNumbers bounds the numbers of a statement.
const maxNumbers = 256

// decode replaces the statement by an encoded one.
func (s *Statement) decode(encoded []byte) error {
	*s = Statement{}
	count, encoded, err := readUvarint(encoded)
	if err != nil {
		return err
	}
	if count > maxNumbers {
		return &MalformedError{Reason: "it has too many numbers"}
	}
	numbers := make([]uint64, count)
	for i := range numbers {
		if numbers[i], encoded, err = readUvarint(encoded); err != nil {
			return err
		}
	}
	var parts [3][]byte
	for i := range parts {
		var length uint64
		if length, encoded, err = readUvarint(encoded); err != nil {
			return err
		}
		if length > uint64(len(encoded)) {
			return &MalformedError{Reason: "a part is cut off"}
		}
		parts[i], encoded = encoded[:length], encoded[length:]
	}
	if len(parts[1]) > 0 {
		if err := json.Unmarshal(parts[1], &s.Identity); err != nil {
			return err
		}
	}
	if len(parts[2]) > 0 {
		if err := json.Unmarshal(parts[2], &s.Rest); err != nil {
			return err
		}
	}
	s.State.Changes = parts[0]
	s.setNumbers(numbers)
	return nil
}

func readUvarint(encoded []byte) (value uint64, rest []byte, err error) {
	value, length := binary.Uvarint(encoded)
	if length <= 0 {
		return 0, nil, &MalformedError{Reason: "a number is cut off or too large"}
	}
	return value, encoded[length:], nil
}
