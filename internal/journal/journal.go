// Package journal stores the idempotency keys of requests that may run at most
// once. The keys of a service are partitioned into slots, which other packages call
// key slots; they are not the slots of admission. The head object of a slot
// in the platform's store names the companion that owns the slot, its holder, and
// contains the newest records; older records are in segment objects that the head
// refers to. A holder writes a key to the head before it dispatches the request,
// and a successor takes over by updating the same object, so a conditional update
// orders writes and takeovers:
//
//	version 7  holder A  records k1 k2      A writes k3 on condition 7 -> 8
//	version 8  holder A  records k1 k2 k3   B takes over on condition 8 -> 9
//	version 9  holder B  records k1 k2 k3   A writes k4 on condition 8 -> conflict
//
// A was paused and is unaware of B, but it can't dispatch k4. B has read every
// key that A may have dispatched. This does not depend on clocks. A write whose
// response was lost may reach the store at any later time; it carries the same
// condition, so the store rejects it as well.
//
// An entry process accepts requests from callers and sends them to a holder. It is
// unrelated to a KeyEntry, which is the state of one key in the holder.
package journal

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"time"

	"filbertusher/pkg/usher"
)

// SlotCount is the number of slots of each service. It limits how many companions
// of a service can share its keyed requests. The slot of a key depends on it, so it
// can't change while stored keys are within their retention.
const SlotCount = 16

// SlotNumber identifies a slot within a service, from 0 to SlotCount-1.
type SlotNumber int

// KeyHash is a truncated, hex-encoded hash of a workspace name and an idempotency
// key. The same key in two workspaces has different hashes.
type KeyHash string

// keyHashBytes is the length in bytes to which the SHA-256 of a key is truncated.
const keyHashBytes = 16

// HashKey returns the hash of an idempotency key of a workspace.
func HashKey(workspace usher.WorkspaceName, key usher.IdempotencyKey) KeyHash {
	sum := sha256.Sum256([]byte(strconv.Itoa(len(workspace)) + ":" + string(workspace) + string(key)))
	return KeyHash(hex.EncodeToString(sum[:keyHashBytes]))
}

// Slot returns the slot that stores the key.
func (k KeyHash) Slot() SlotNumber {
	value, err := strconv.ParseUint(string(k[:4]), 16, 32)
	if err != nil {
		return 0
	}
	return SlotNumber(value % SlotCount)
}

// Prefix is the store key prefix of all slot objects.
const Prefix usher.ObjectKey = "slots/"

// headKey returns the store key of a slot's head object, segmentKey that of a segment.
func headKey(service usher.ServiceName, slot SlotNumber) usher.ObjectKey {
	return Prefix + usher.ObjectKey(string(service)+"/"+strconv.Itoa(int(slot))+"/head")
}

func segmentKey(service usher.ServiceName, slot SlotNumber, name string) usher.ObjectKey {
	return Prefix + usher.ObjectKey(string(service)+"/"+strconv.Itoa(int(slot))+"/segment-"+name)
}

// Holder identifies the companion incarnation, one run of the companion process, that
// may dispatch the keys of a slot. It is empty for a slot without a holder.
type Holder struct {
	Endpoint    usher.EndpointName `json:"endpoint,omitempty"`
	Incarnation usher.Incarnation  `json:"incarnation,omitempty"`
}

// Record is the stored state of a key; it is unrelated to package record. The last
// Record of a key takes precedence. If it has no outcome, the request may have been
// dispatched. Taken is the time at which the key was accepted; the retention of the
// key starts then.
type Record struct {
	Key     KeyHash         `json:"key"`
	Digest  usher.Digest    `json:"digest"`
	ID      usher.RequestID `json:"id"`
	Taken   time.Time       `json:"taken"`
	Outcome usher.Outcome   `json:"outcome,omitempty"`
	// Status, ContentType and Body are the response. A body that is longer than
	// maxStoredBodyBytes is left out; BodyDigest is its digest in any case.
	Status      int          `json:"status,omitempty"`
	ContentType string       `json:"contentType,omitempty"`
	Body        []byte       `json:"body,omitempty"`
	BodyDigest  usher.Digest `json:"sum,omitempty"`
}

// segmentRef refers to a segment, an object with older records moved out of the head.
type segmentRef struct {
	Name string `json:"name"`
	// Newest is the time at which the newest key of the segment was accepted. The
	// segment can be deleted once that is older than the retention.
	Newest time.Time `json:"newest"`
}

// head is the stored value of a slot's head object.
type head struct {
	Holder Holder             `json:"holder"`
	Fence  usher.FencingToken `json:"fence"`
	// WriteID identifies the writer and the write. A writer that did not get the
	// store's response uses it to tell whether its write took effect.
	WriteID string `json:"stamp"`
	// Era is the era of the store in which the head was written. In a later era the
	// head is a copy, which may lack keys that were written after it.
	Era      usher.StoreEra `json:"era,omitempty"`
	Segments []segmentRef   `json:"segments,omitempty"`
	Records  []Record       `json:"records,omitempty"`
}

// View is the state of a slot as known to the entry process that sends a request:
// its holder, the holder's fencing token and the slot's epoch, which counts the
// refusals with the outcome "not run". The holder uses it to tell whether a message
// was sent before or after a refusal, without clocks:
//
//	entry 1  sends k1 with epoch 4 and crashes; the message is delayed
//	entry 2  sends k1 with epoch 4, gets "not run" -> epoch 5, k1 refused at 5
//	holder   receives the delayed message: 4 < 5, so it does not run
//
// An entry process that is still running receives the new epoch and resends
// immediately.
type View struct {
	Holder Holder
	Fence  usher.FencingToken
	Epoch  uint64
}

// StaleError is returned for a request that was sent before the slot was taken
// over or before its key was refused. The sender has to resend it with View.
type StaleError struct{ View View }

// Error implements error.
func (e *StaleError) Error() string { return "the request was sent before the slot changed" }

// MovedError is returned for a slot that this incarnation does not hold. Holder
// is empty if the current holder is not known.
type MovedError struct{ Holder Holder }

// Error implements error.
func (e *MovedError) Error() string { return "the slot is held by " + string(e.Holder.Endpoint) }

// UnconfirmedError is returned if the store did not confirm a read or a write in
// time. It says nothing about the state of the object: the write may have taken
// effect, or may still do so.
type UnconfirmedError struct{ Cause error }

// Error implements error.
func (e *UnconfirmedError) Error() string { return "the store did not confirm: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnconfirmedError) Unwrap() error { return e.Cause }

// MalformedError is returned for a slot object that can't be encoded or decoded.
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
