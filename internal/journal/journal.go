// Package journal keeps the idempotency keys of requests that may run at most
// once. The keys of a service are spread over slots. A slot is one object of
// the platform's store: it names the companion that holds the slot and carries
// the newest records. A holder writes a key into the object before it
// dispatches the request, and a successor takes the same object over, so one
// conditional update decides both questions:
//
//	version 7  holder A  records k1 k2      A writes k3 on condition 7 -> 8
//	version 8  holder A  records k1 k2 k3   B takes over on condition 8 -> 9
//	version 9  holder B  records k1 k2 k3   A writes k4 on condition 8 -> conflict
//
// A was paused and does not know of B, but it can't dispatch k4. B knows every
// key that A may have dispatched. No clock is involved. A write whose answer
// was lost may take effect at any later time; it carries the same condition and
// is refused then as well.
package journal

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"time"

	"filbertusher/pkg/usher"
)

// SlotCount is how many slots each service has. It bounds how many companions
// of a service share its keyed requests, and it is part of where a key is
// found, so it can't change while keys are remembered.
const SlotCount = 16

// SlotNumber is one of the slots of a service, from 0 to SlotCount-1.
type SlotNumber int

// KeyHash names an idempotency key within its workspace. Keys of two
// workspaces differ in it even when callers chose the same text.
type KeyHash string

// keyHashBytes is how much of the SHA-256 is kept.
const keyHashBytes = 16

// HashKey returns the hash of a workspace's key.
func HashKey(workspace usher.WorkspaceName, key usher.IdempotencyKey) KeyHash {
	sum := sha256.Sum256([]byte(strconv.Itoa(len(workspace)) + ":" + string(workspace) + string(key)))
	return KeyHash(hex.EncodeToString(sum[:keyHashBytes]))
}

// Slot returns the slot of a key.
func (k KeyHash) Slot() SlotNumber {
	value, err := strconv.ParseUint(string(k[:4]), 16, 32)
	if err != nil {
		return 0
	}
	return SlotNumber(value % SlotCount)
}

// Prefix begins the keys of all slot objects.
const Prefix usher.ObjectKey = "slots/"

// headKey returns the key of a slot's object, segmentKey that of a segment.
func headKey(service usher.ServiceName, slot SlotNumber) usher.ObjectKey {
	return Prefix + usher.ObjectKey(string(service)+"/"+strconv.Itoa(int(slot))+"/head")
}

func segmentKey(service usher.ServiceName, slot SlotNumber, name string) usher.ObjectKey {
	return Prefix + usher.ObjectKey(string(service)+"/"+strconv.Itoa(int(slot))+"/segment-"+name)
}

// Holder is who may dispatch the keys of a slot.
type Holder struct {
	Endpoint    usher.EndpointName `json:"endpoint,omitempty"`
	Incarnation usher.Incarnation  `json:"incarnation,omitempty"`
}

// Record is one line of a journal. The last record of a key counts. Without an
// outcome the key may have been dispatched.
type Record struct {
	Key     KeyHash         `json:"key"`
	Digest  usher.Digest    `json:"digest"`
	ID      usher.RequestID `json:"id"`
	Taken   time.Time       `json:"taken"`
	Outcome usher.Outcome   `json:"outcome,omitempty"`
	// Status, ContentType and Body are the answer; the body only when it is
	// short. Sum is the digest of the body in any case.
	Status      int          `json:"status,omitempty"`
	ContentType string       `json:"contentType,omitempty"`
	Body        []byte       `json:"body,omitempty"`
	Sum         usher.Digest `json:"sum,omitempty"`
}

// segmentRef names a segment that the head has passed its records on to.
type segmentRef struct {
	Name string `json:"name"`
	// Newest is when its newest key was taken; the segment can go when that
	// is out of the retention.
	Newest time.Time `json:"newest"`
}

// head is the value of a slot's object.
type head struct {
	Holder Holder      `json:"holder"`
	Fence  usher.Fence `json:"fence"`
	// Stamp names the writer and its write, so that a writer whose answer was
	// lost can recognise its own value.
	Stamp    string       `json:"stamp"`
	Segments []segmentRef `json:"segments,omitempty"`
	Records  []Record     `json:"records,omitempty"`
}

// View is what an entry knows of a slot when it sends a request: who holds it
// and how far it had come. It tells a message that was sent before a refusal
// from one that was sent after it, without any clock:
//
//	entry 1  sends k1 with epoch 4, dies; the message is late
//	entry 2  sends k1 with epoch 4, is told "not run" -> epoch 5, k1 refused at 5
//	holder   gets the late message: 4 < 5, so it is not run
//
// A live entry is told the new epoch and sends again at once.
type View struct {
	Holder Holder
	Fence  usher.Fence
	Epoch  uint64
}

// StaleError is returned for a request that was sent before the slot was taken
// over or before its key was refused. View is what it has to be sent with.
type StaleError struct{ View View }

// Error implements error.
func (e *StaleError) Error() string { return "the request was sent before the slot changed" }

// MovedError is returned for a slot that another companion holds. Holder is
// empty when it is not known who does.
type MovedError struct{ Holder Holder }

// Error implements error.
func (e *MovedError) Error() string { return "the slot is held by " + string(e.Holder.Endpoint) }

// UnsettledError is returned when the store did not confirm a write or a read
// in time. Nothing may be concluded from it about the object.
type UnsettledError struct{ Cause error }

// Error implements error.
func (e *UnsettledError) Error() string { return "the store did not confirm: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnsettledError) Unwrap() error { return e.Cause }

// MalformedError is returned for a slot object that can't be read.
type MalformedError struct {
	Key   usher.ObjectKey
	Cause error
}

// Error implements error.
func (e *MalformedError) Error() string {
	return "journal " + string(e.Key) + " is malformed: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }
