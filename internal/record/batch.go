package record

import (
	"bytes"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/klauspost/compress/zstd"

	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

// A stored batch is one zstd frame of JSON lines: a header, then one line for
// each decision. An inspector without this program can read it with the zstd
// command alone:
//
//	zstd -dc batch | jq .

const (
	// maxRaw bounds a batch before compression, in bytes. zstd grows no input
	// by more than a few bytes, so a stored batch stays below a megabyte.
	maxRaw = 900 << 10
	// maxHeader bounds the header of a batch, in bytes.
	maxHeader = 64 << 10
	// maxUnpacked bounds what a stored value may unpack to, in bytes.
	maxUnpacked = 64 << 20
)

// Header is the first line of a batch.
type Header struct {
	Format   string `json:"format"`
	Version  int    `json:"version"`
	Writer   string `json:"writer"`
	Role     Role   `json:"role"`
	Sequence uint64 `json:"sequence"`
	// Previous is the digest of the batch before, as it is stored; the first
	// batch has the digest of Genesis.
	Previous usher.Digest `json:"previous"`
	Sealed   time.Time    `json:"sealed"`
	First    time.Time    `json:"first"`
	Last     time.Time    `json:"last"`
	Lines    int          `json:"lines"`
	// Closed is on the last batch of a writer that stopped as planned.
	Closed bool `json:"closed,omitempty"`
	// Seen countersigns the newest stored batches of other writers.
	Seen []wire.RecordHead `json:"seen,omitempty"`
	// Counts are refusals that have no line of their own, by kind.
	Counts map[usher.RefusalKind]int64 `json:"counts,omitempty"`
}

// Batch is a batch that was read.
type Batch struct {
	Header
	Decisions []usher.Decision
	// Digest is the SHA-256 of the stored value.
	Digest usher.Digest
}

// Genesis returns what the first batch of a writer has for a digest before it.
func Genesis(writer string) usher.Digest { return usher.DigestOf([]byte(FormatName + "/" + writer)) }

// FormatError is returned for a value that is no batch.
type FormatError struct {
	Reason string
	Cause  error
}

// Error implements error.
func (e *FormatError) Error() string {
	if e.Cause == nil {
		return "malformed record: " + e.Reason
	}
	return "malformed record: " + e.Reason + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *FormatError) Unwrap() error { return e.Cause }

// VersionError is returned for a value in a version that is not known.
type VersionError struct{ Version int }

// Error implements error.
func (e *VersionError) Error() string {
	return "record format version " + strconv.Itoa(e.Version) + " is not known; versions up to " +
		strconv.Itoa(FormatVersion) + " are"
}

// The codecs are shared: both are safe for concurrent use when whole values
// are passed to them. One worker and a small window keep them at a few
// megabytes, which is what a node can spare.
var (
	encoder = sync.OnceValue(func() *zstd.Encoder {
		made, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(1<<20), zstd.WithEncoderLevel(zstd.SpeedFastest))
		if err != nil {
			panic(err)
		}
		return made
	})
	decoder = sync.OnceValue(func() *zstd.Decoder {
		made, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(0), zstd.WithDecoderMaxMemory(maxUnpacked))
		if err != nil {
			panic(err)
		}
		return made
	})
)

// encodeJSON marshals types that can not fail to be marshalled.
func encodeJSON(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return encoded
}

// compress returns a slice of exactly the size of the result: the encoder
// allocates for the worst case, and a batch may be kept for a whole outage.
func compress(raw []byte) []byte {
	buffer := buffers.Get().(*[]byte)
	*buffer = encoder().EncodeAll(raw, (*buffer)[:0])
	compressed := append(make([]byte, 0, len(*buffer)), *buffer...)
	buffers.Put(buffer)
	return compressed
}

// buffers are reused by compress.
var buffers = sync.Pool{New: func() any { return new([]byte) }}

func decompress(value []byte) ([]byte, error) {
	raw, err := decoder().DecodeAll(value, nil)
	if err != nil {
		return nil, &FormatError{Reason: "not a whole zstd frame", Cause: err}
	}
	return raw, nil
}

// encodeLine returns a decision as a line.
func encodeLine(decision *usher.Decision) []byte { return append(encodeJSON(decision), '\n') }

// encodeBatch returns a batch as it is stored. lines end in a line feed each.
func encodeBatch(header *Header, lines []byte) []byte {
	first := encodeJSON(header)
	raw := make([]byte, 0, len(first)+1+len(lines))
	raw = append(raw, first...)
	raw = append(raw, '\n')
	return compress(append(raw, lines...))
}

// Encode returns a batch as it is stored. The format, the version and the
// number of lines are filled in.
func Encode(header Header, decisions []usher.Decision) []byte {
	header.Format, header.Version, header.Lines = FormatName, FormatVersion, len(decisions)
	var lines []byte
	for i := range decisions {
		lines = append(lines, encodeLine(&decisions[i])...)
	}
	return encodeBatch(&header, lines)
}

// Open reads a stored batch of any known version.
func Open(value []byte) (*Batch, error) {
	raw, err := decompress(value)
	if err != nil {
		return nil, err
	}
	first, rest, _ := bytes.Cut(raw, []byte{'\n'})
	batch := &Batch{Digest: usher.DigestOf(value)}
	if err := openHeader(first, &batch.Header); err != nil {
		return nil, err
	}
	for len(rest) > 0 {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte{'\n'})
		var decision usher.Decision
		if err := json.Unmarshal(line, &decision); err != nil {
			return nil, &FormatError{Reason: "line " + strconv.Itoa(len(batch.Decisions)+1), Cause: err}
		}
		batch.Decisions = append(batch.Decisions, decision)
	}
	if len(batch.Decisions) != batch.Lines {
		return nil, &FormatError{Reason: "the header counts " + strconv.Itoa(batch.Lines) + " lines, there are " + strconv.Itoa(len(batch.Decisions))}
	}
	return batch, nil
}

func openHeader(line []byte, into *Header) error {
	if len(line) > maxHeader {
		return &FormatError{Reason: "the header is too long"}
	}
	if err := json.Unmarshal(line, into); err != nil {
		return &FormatError{Reason: "header", Cause: err}
	}
	if into.Format != FormatName {
		return &FormatError{Reason: "the format is " + strconv.Quote(into.Format)}
	}
	if into.Version < 1 || into.Version > FormatVersion {
		return &VersionError{Version: into.Version}
	}
	return nil
}
