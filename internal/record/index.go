package record

import (
	"bytes"
	"encoding/json"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertusher/pkg/usher"
)

const (
	// maxIndexBatches and maxIndexBytes bound one index object: the number of its
	// batches and the total size of their Bloom filters.
	maxIndexBatches = 50
	maxIndexBytes   = 256 << 10
	// bloomBitsPerTerm and bloomHashes give a false positive rate of about one in
	// a hundred.
	bloomBitsPerTerm = 10
	bloomHashes      = 7
)

// Index lists batches of one writer with a Bloom filter of the terms in each, so
// that a search reads only a small part of the record. It is only an optimization:
// verification and full searches read the batches themselves.
type Index struct {
	Format  string         `json:"format"`
	Version int            `json:"version"`
	Writer  string         `json:"writer"`
	Number  uint64         `json:"number"`
	Batches []IndexedBatch `json:"batches"`
}

// IndexedBatch describes one batch in an Index.
type IndexedBatch struct {
	Sequence uint64    `json:"sequence"`
	First    time.Time `json:"first"`
	Last     time.Time `json:"last"`
	Lines    int       `json:"lines"`
	// Terms is the Bloom filter of the terms of the batch's decisions.
	Terms []byte `json:"terms"`
}

// Term returns the index term for a field with the given value.
func Term(field, value string) string { return field + "=" + value }

// The fields of a decision that are indexed.
const (
	FieldID        = "id"
	FieldWorkspace = "workspace"
	FieldKey       = "key"
	FieldEndpoint  = "endpoint"
	FieldOutcome   = "outcome"
	FieldRefusal   = "refusal"
)

// termSet is a set of term hashes.
type termSet map[uint64]struct{}

func (t termSet) add(decision *usher.Decision) {
	t.addTerm(FieldID, string(decision.ID))
	t.addTerm(FieldWorkspace, string(decision.Workspace))
	t.addTerm(FieldKey, decision.Key)
	t.addTerm(FieldEndpoint, string(decision.Endpoint))
	t.addTerm(FieldOutcome, string(decision.Outcome))
	t.addTerm(FieldRefusal, string(decision.Refusal))
}

func (t termSet) addTerm(field, value string) {
	if value != "" {
		t[xxhash.Sum64String(field+"="+value)] = struct{}{}
	}
}

func (t termSet) bloomFilter() []byte {
	filter := make([]byte, len(t)*bloomBitsPerTerm/8+1)
	for hash := range t {
		visitBits(hash, len(filter), func(index int, bit byte) bool {
			filter[index] |= bit
			return true
		})
	}
	return filter
}

// MayContain reports whether the batch may contain a decision that has every term.
// False positives are possible, false negatives are not.
func (b *IndexedBatch) MayContain(terms []string) bool {
	for _, term := range terms {
		hash := xxhash.Sum64String(term)
		if !visitBits(hash, len(b.Terms), func(index int, bit byte) bool { return b.Terms[index]&bit != 0 }) {
			return false
		}
	}
	return true
}

// visitBits calls visit with the position of each Bloom filter bit of a hash. It
// stops and returns false as soon as visit does, and returns false for an empty
// filter.
func visitBits(hash uint64, size int, visit func(index int, bit byte) bool) bool {
	if size == 0 {
		return false
	}
	step := hash>>32 | 1
	for range bloomHashes {
		position := hash % uint64(size*8)
		if !visit(int(position/8), 1<<(position%8)) {
			return false
		}
		hash += step
	}
	return true
}

// EncodeIndex sets the format and version of an index and returns its stored
// value.
func EncodeIndex(index *Index) []byte {
	index.Format, index.Version = FormatName, FormatVersion
	return compress(encodeJSON(index))
}

// DecodeIndex decodes a stored index of any supported version.
func DecodeIndex(value []byte) (*Index, error) {
	raw, err := decompress(value)
	if err != nil {
		return nil, err
	}
	index := &Index{}
	if err := json.NewDecoder(bytes.NewReader(raw)).Decode(index); err != nil {
		return nil, &FormatError{Reason: "index", Cause: err}
	}
	if index.Format != FormatName {
		return nil, &FormatError{Reason: "the format of the index is missing or unknown"}
	}
	if index.Version < 1 || index.Version > FormatVersion {
		return nil, &VersionError{Version: index.Version}
	}
	return index, nil
}

// IndexBatch returns the description of a batch for an index.
func IndexBatch(header *Header, decisions []usher.Decision) IndexedBatch {
	terms := make(termSet, len(decisions))
	for i := range decisions {
		terms.add(&decisions[i])
	}
	return newIndexedBatch(header, terms)
}

func newIndexedBatch(header *Header, terms termSet) IndexedBatch {
	return IndexedBatch{
		Sequence: header.Sequence, First: header.First, Last: header.Last, Lines: header.Lines, Terms: terms.bloomFilter(),
	}
}

// ChainPrefix returns the common key prefix of a writer's objects of one kind, for
// listing them. prefix is PrefixBatch or the prefix of another kind.
func ChainPrefix(prefix, writer string) usher.ObjectKey {
	return usher.ObjectKey(prefix + strings.TrimSuffix(writer, "/") + "/")
}
