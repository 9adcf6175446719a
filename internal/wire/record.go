package wire

import "filbertusher/pkg/usher"

// RecordArgs carries copies for the record from an entry to a companion. All
// of it may be repeated: copies are kept by id and by key.
type RecordArgs struct {
	Caller
	// Hold are decisions of which the companion is to keep a copy.
	Hold []usher.Decision
	// Sealed are batches that could not be stored yet.
	Sealed []SealedBatch
	// Prefix begins the ids of the requests in Released, which lists the rest
	// of each id. Their copies are not needed any more.
	Prefix   string
	Released []string
	// ReleasedBatches are sealed batches that are stored by now.
	ReleasedBatches []usher.ObjectKey
	// Head is the newest stored batch of the caller.
	Head RecordHead
}

// SealedBatch is a batch of the record, or the object that announces its chain,
// as it will be stored.
type SealedBatch struct {
	Key   usher.ObjectKey
	Value []byte
}

// RecordHead names a stored batch of a writer and its digest.
type RecordHead struct {
	Writer   string       `json:"writer"`
	Sequence uint64       `json:"sequence"`
	Digest   usher.Digest `json:"digest"`
}

// RecordReply answers RecordArgs.
type RecordReply struct {
	Status
	// Held is false when the copies would pass the companion's bound.
	Held bool
	// Writers is how many entry incarnations the companion heard of lately.
	Writers int
	// Seen are newest stored batches of other writers.
	Seen []RecordHead
}
