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
	// indexBatches and indexBytes bound one index object.
	indexBatches = 50
	indexBytes   = 256 << 10
	// bloomBits and bloomHashes give about one false answer in a hundred.
	bloomBits   = 10
	bloomHashes = 7
)

// Index lists batches of one writer with what may be found in them, so that a
// search reads a small part of the record. It is a hint: verification reads
// the batches themselves, and so does a full search.
type Index struct {
	Format  string         `json:"format"`
	Version int            `json:"version"`
	Writer  string         `json:"writer"`
	Number  uint64         `json:"number"`
	Batches []IndexedBatch `json:"batches"`
}

// IndexedBatch is one batch in an index.
type IndexedBatch struct {
	Sequence uint64    `json:"sequence"`
	First    time.Time `json:"first"`
	Last     time.Time `json:"last"`
	Lines    int       `json:"lines"`
	// Terms is a Bloom filter of the terms of the decisions.
	Terms []byte `json:"terms"`
}

// Term returns what an index holds of a field's value.
func Term(field, value string) string { return field + "=" + value }

// The fields that an index has terms of.
const (
	FieldID        = "id"
	FieldWorkspace = "workspace"
	FieldKey       = "key"
	FieldEndpoint  = "endpoint"
	FieldOutcome   = "outcome"
	FieldRefusal   = "refusal"
)

// terms is a set of hashed terms.
type terms map[uint64]struct{}

func (t terms) add(decision *usher.Decision) {
	t.addTerm(FieldID, string(decision.ID))
	t.addTerm(FieldWorkspace, string(decision.Workspace))
	t.addTerm(FieldKey, decision.Key)
	t.addTerm(FieldEndpoint, string(decision.Endpoint))
	t.addTerm(FieldOutcome, string(decision.Outcome))
	t.addTerm(FieldRefusal, string(decision.Refusal))
}

func (t terms) addTerm(field, value string) {
	if value != "" {
		t[xxhash.Sum64String(field+"="+value)] = struct{}{}
	}
}

func (t terms) bloom() []byte {
	bloom := make([]byte, len(t)*bloomBits/8+1)
	for hash := range t {
		eachBit(hash, len(bloom), func(at int, bit byte) bool {
			bloom[at] |= bit
			return true
		})
	}
	return bloom
}

// MayHave says whether a batch may hold a decision with every term.
func (b *IndexedBatch) MayHave(terms []string) bool {
	for _, term := range terms {
		hash := xxhash.Sum64String(term)
		if !eachBit(hash, len(b.Terms), func(at int, bit byte) bool { return b.Terms[at]&bit != 0 }) {
			return false
		}
	}
	return true
}

// eachBit visits the bits of a term until visit returns false.
func eachBit(hash uint64, size int, visit func(at int, bit byte) bool) bool {
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

// EncodeIndex returns an index as it is stored.
func EncodeIndex(index *Index) []byte {
	index.Format, index.Version = FormatName, FormatVersion
	return compress(encodeJSON(index))
}

// OpenIndex reads a stored index.
func OpenIndex(value []byte) (*Index, error) {
	raw, err := decompress(value)
	if err != nil {
		return nil, err
	}
	index := &Index{}
	if err := json.NewDecoder(bytes.NewReader(raw)).Decode(index); err != nil {
		return nil, &FormatError{Reason: "index", Cause: err}
	}
	if index.Format != FormatName {
		return nil, &FormatError{Reason: "the index has no format"}
	}
	if index.Version < 1 || index.Version > FormatVersion {
		return nil, &VersionError{Version: index.Version}
	}
	return index, nil
}

// IndexBatch returns the entry of a batch in an index.
func IndexBatch(header *Header, decisions []usher.Decision) IndexedBatch {
	found := make(terms, len(decisions))
	for i := range decisions {
		found.add(&decisions[i])
	}
	return indexed(header, found)
}

func indexed(header *Header, found terms) IndexedBatch {
	return IndexedBatch{
		Sequence: header.Sequence, First: header.First, Last: header.Last, Lines: header.Lines, Terms: found.bloom(),
	}
}

// PrefixOfWriter returns the prefix of a writer's keys below one of the
// prefixes, for lists.
func PrefixOfWriter(prefix, writer string) usher.ObjectKey {
	return usher.ObjectKey(prefix + strings.TrimSuffix(writer, "/") + "/")
}
