// Package record writes the record of what was decided on each request, so
// that an inspector can check it years later.
//
// An entry is the Recorder of its own requests: it gathers decisions, seals
// them into batches that are chained by their digests, and stores the batches
// in the platform's object API. A companion is a Keeper of copies. At the
// moment a caller gets its answer, both of them hold the decision; the copy is
// dropped once the entry has stored it, and stored by the companion when the
// entry falls silent. docs/record-format.md describes what is stored.
package record

import (
	"fmt"
	"strings"
	"time"

	"filbertusher/pkg/usher"
)

const (
	// FormatName is in the header of every stored batch and index.
	FormatName = "filbertusher-record"
	// FormatVersion is the newest version that this package reads and the one
	// that it writes.
	FormatVersion = 1
)

// Prefixes of the keys below which the record is stored.
const (
	PrefixBatch      = "record/batch/"
	PrefixIndex      = "record/index/"
	PrefixWriter     = "record/writer/"
	PrefixCheckpoint = "record/checkpoint/"
	PrefixDisplaced  = "record/displaced/"
)

// monthLayout groups writers by the month of their first batch, because the
// object API lists without pages.
const monthLayout = "2006-01"

// BatchKey returns the key of a batch. Numbers have leading zeros, so that a
// list of all keys with the same leading digits is one page of a chain.
func BatchKey(writer string, sequence uint64) usher.ObjectKey {
	return usher.ObjectKey(fmt.Sprintf("%s%s/%010d", PrefixBatch, writer, sequence))
}

// IndexKey returns the key of an index object.
func IndexKey(writer string, number uint64) usher.ObjectKey {
	return usher.ObjectKey(fmt.Sprintf("%s%s/%010d", PrefixIndex, writer, number))
}

// WriterKey returns the key of the object that announces a writer.
func WriterKey(writer string, started time.Time) usher.ObjectKey {
	return usher.ObjectKey(WriterMonth(started) + writer)
}

// WriterMonth returns the prefix of the writers that started in a month.
func WriterMonth(month time.Time) string {
	return PrefixWriter + month.UTC().Format(monthLayout) + "/"
}

// CheckpointMonth returns the prefix of the checkpoints of the writers that
// started in a month.
func CheckpointMonth(month time.Time) string {
	return PrefixCheckpoint + month.UTC().Format(monthLayout) + "/"
}

// CheckpointKey returns the key of a writer's checkpoint, which stands for the
// batches of the writer that have expired.
func CheckpointKey(writer string, started time.Time) usher.ObjectKey {
	return usher.ObjectKey(CheckpointMonth(started) + writer)
}

// displacedKey is where a batch goes whose own key holds something else.
func displacedKey(key usher.ObjectKey) usher.ObjectKey {
	return usher.ObjectKey(PrefixDisplaced + strings.TrimPrefix(string(key), PrefixBatch))
}

// Role says which kind of process a writer is.
type Role string

// The roles of writers.
const (
	RoleEntry     Role = "entry"
	RoleCompanion Role = "companion"
)

// Writer announces one chain: one incarnation of one process.
type Writer struct {
	Format  string    `json:"format"`
	Version int       `json:"version"`
	Name    string    `json:"name"`
	Role    Role      `json:"role"`
	Started time.Time `json:"started"`
}

// Checkpoint stands for the expired batches at the beginning of a chain. The
// digest of the last of them lets the rest of the chain be verified.
type Checkpoint struct {
	Format  string    `json:"format"`
	Version int       `json:"version"`
	Writer  string    `json:"writer"`
	Started time.Time `json:"started"`
	// From and Through are the first and last batch that the newest expiry
	// removed; what was before From had been removed earlier.
	From    uint64       `json:"from"`
	Through uint64       `json:"through"`
	Digest  usher.Digest `json:"digest"`
	// Closed says that Through was the end of a chain that was closed.
	Closed bool `json:"closed,omitempty"`
	// FirstIndex is the number of the first index object that is left.
	FirstIndex uint64 `json:"firstIndex"`
	// Lines counts all expired decisions, Newest is the time of the last one.
	Lines     int            `json:"lines"`
	Newest    time.Time      `json:"newest"`
	Retention usher.Duration `json:"retention"`
	Expired   time.Time      `json:"expired"`
}

// SplitID returns the part of a request id that names its entry, and the rest,
// which counts the entry's requests in base 36.
func SplitID(id usher.RequestID) (prefix, suffix string) {
	cut := strings.LastIndexByte(string(id), '-')
	return string(id[:cut+1]), string(id[cut+1:])
}

// UnknownPeerError is returned for an endpoint that is not declared any more.
type UnknownPeerError struct{ Endpoint usher.EndpointName }

// Error implements error.
func (e *UnknownPeerError) Error() string {
	return "endpoint " + string(e.Endpoint) + " is not declared"
}

// DisplacedError is returned when the key of a batch holds another value.
type DisplacedError struct{ Key usher.ObjectKey }

// Error implements error.
func (e *DisplacedError) Error() string {
	return "object " + string(e.Key) + " holds something else than the batch"
}
