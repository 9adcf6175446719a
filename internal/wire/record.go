package wire

import "filbertusher/pkg/usher"

// RecordArgs replicates unstored parts of the record from an entry to a
// companion. It is idempotent: decisions are kept by request ID and batches by
// object key.
type RecordArgs struct {
	Caller
	// Hold are decisions that the companion should keep a copy of.
	Hold []usher.Decision
	// Sealed are complete batches that could not be stored yet.
	Sealed []SealedBatch
	// Prefix is the common prefix of the request IDs in Released, which lists
	// the remainder of each ID. Their copies are no longer needed.
	Prefix   string
	Released []string
	// ReleasedBatches are the keys of sealed batches that have been stored.
	ReleasedBatches []usher.ObjectKey
	// Head is the newest stored batch of the caller.
	Head RecordHead
}

// SealedBatch is a complete batch of the record, or the object that announces
// the writer's chain of batches, encoded as it will be stored.
type SealedBatch struct {
	Key   usher.ObjectKey
	Value []byte
}

// RecordHead identifies a writer's stored batch by its sequence number and
// digest.
type RecordHead struct {
	Writer   string       `json:"writer"`
	Sequence uint64       `json:"sequence"`
	Digest   usher.Digest `json:"digest"`
}

// RecordReply answers RecordArgs.
type RecordReply struct {
	Status
	// Held is false if the copies would exceed the companion's memory limit.
	Held bool
	// Writers is the number of entry incarnations that recently contacted the
	// companion.
	Writers int
	// Seen are the newest stored batches of other writers.
	Seen []RecordHead
}
