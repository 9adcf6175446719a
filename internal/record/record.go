// Package record writes the record: a tamper-evident audit log of the decision
// made on each request, which an auditor can verify years later.
//
// Each process that accepts requests (an entry) runs a Recorder for its own
// requests. The Recorder collects decisions in an open batch, seals the batch,
// links it to the one before by its digest (a hash chain), and stores it in the
// platform's object API. Each endpoint's companion process has a Replica with
// copies of the entries' decisions. A caller normally gets its response only once
// both processes hold the decision. The companion drops its copy once the entry has
// stored the decision, and stores the copy itself when the entry falls silent.
// docs/record-format.md describes the stored format.
//
// A gateway instance also runs a Recorder. It has no companions, so it alone holds
// its decisions until they are stored.
package record

import (
	"fmt"
	"strings"
	"time"

	"filbertusher/pkg/usher"
)

const (
	// FormatName is the format field of every stored object.
	FormatName = "filbertusher-record"
	// FormatVersion is the version that this package writes, and the newest one
	// that it reads.
	FormatVersion = 1
)

// Key prefixes of the stored objects. PrefixDisplaced is for batches whose own
// key was taken by another value.
const (
	PrefixBatch      = "record/batch/"
	PrefixIndex      = "record/index/"
	PrefixWriter     = "record/writer/"
	PrefixCheckpoint = "record/checkpoint/"
	PrefixDisplaced  = "record/displaced/"
)

// monthLayout is the time format of the month in writer and checkpoint keys.
// Writers are grouped by the month they started in because the object API has
// no pagination: a list call returns every object below a prefix.
const monthLayout = "2006-01"

// BatchKey returns the key of a batch. The sequence number is zero-padded, so
// that listing a prefix that ends in its leading digits returns one range of
// the chain.
func BatchKey(writer string, sequence uint64) usher.ObjectKey {
	return usher.ObjectKey(fmt.Sprintf("%s%s/%010d", PrefixBatch, writer, sequence))
}

// IndexKey returns the key of an index object.
func IndexKey(writer string, number uint64) usher.ObjectKey {
	return usher.ObjectKey(fmt.Sprintf("%s%s/%010d", PrefixIndex, writer, number))
}

// WriterKey returns the key of a writer's announcement, by which readers find
// its chain.
func WriterKey(writer string, started time.Time) usher.ObjectKey {
	return usher.ObjectKey(WriterMonthPrefix(started) + writer)
}

// WriterMonthPrefix returns the key prefix of the writers that started in a month.
func WriterMonthPrefix(month time.Time) string {
	return PrefixWriter + month.UTC().Format(monthLayout) + "/"
}

// CheckpointMonthPrefix returns the key prefix of the checkpoints of the writers that
// started in a month.
func CheckpointMonthPrefix(month time.Time) string {
	return PrefixCheckpoint + month.UTC().Format(monthLayout) + "/"
}

// CheckpointKey returns the key of a writer's checkpoint, which replaces the
// writer's expired batches.
func CheckpointKey(writer string, started time.Time) usher.ObjectKey {
	return usher.ObjectKey(CheckpointMonthPrefix(started) + writer)
}

// displacedKey returns the key for a batch whose own key holds another value.
func displacedKey(key usher.ObjectKey) usher.ObjectKey {
	return usher.ObjectKey(PrefixDisplaced + strings.TrimPrefix(string(key), PrefixBatch))
}

// Role is the kind of process that a writer runs in.
type Role string

// The roles of writers. Gateway instances write with the role of entries.
const (
	RoleEntry     Role = "entry"
	RoleCompanion Role = "companion"
)

// Writer is the stored announcement of a chain. Each incarnation (each run of a
// process) writes a chain of its own, and Name is that incarnation.
type Writer struct {
	Format  string    `json:"format"`
	Version int       `json:"version"`
	Name    string    `json:"name"`
	Role    Role      `json:"role"`
	Started time.Time `json:"started"`
}

// Checkpoint replaces the expired batches at the beginning of a chain. It keeps
// the digest of the last of them, so that the rest of the chain can still be
// verified.
type Checkpoint struct {
	Format  string    `json:"format"`
	Version int       `json:"version"`
	Writer  string    `json:"writer"`
	Started time.Time `json:"started"`
	// From and Through are the sequence numbers of the first and last batch that
	// the latest expiry removed. Batches before From were removed earlier.
	From    uint64       `json:"from"`
	Through uint64       `json:"through"`
	Digest  usher.Digest `json:"digest"`
	// Closed is true if Through was the last batch of a chain that was closed.
	Closed bool `json:"closed,omitempty"`
	// FirstIndex is the number of the first remaining index object.
	FirstIndex uint64 `json:"firstIndex"`
	// Lines counts all expired decisions of the chain. Newest is the time of the
	// newest one in batch Through.
	Lines     int            `json:"lines"`
	Newest    time.Time      `json:"newest"`
	Retention usher.Duration `json:"retention"`
	Expired   time.Time      `json:"expired"`
}

// SplitID splits a request ID into its prefix, which is the incarnation of the
// entry and a dash, and its suffix, the entry's request counter in base 36.
func SplitID(id usher.RequestID) (prefix, suffix string) {
	separator := strings.LastIndexByte(string(id), '-')
	return string(id[:separator+1]), string(id[separator+1:])
}

// UnknownPeerError reports an endpoint that is no longer declared.
type UnknownPeerError struct{ Endpoint usher.EndpointName }

// Error implements error.
func (e *UnknownPeerError) Error() string {
	return "endpoint " + string(e.Endpoint) + " is not declared"
}

// DisplacedError reports that an object's key already holds another value.
type DisplacedError struct{ Key usher.ObjectKey }

// Error implements error.
func (e *DisplacedError) Error() string {
	return "object " + string(e.Key) + " already holds another value"
}
