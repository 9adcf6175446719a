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
// each decision. It can be read without this program, with the zstd command:
//
//	zstd -dc batch | jq .

const (
	// maxBatchBytes bounds the lines of a batch before compression. zstd expands
	// incompressible input by a few bytes at most, so a stored batch stays below
	// a megabyte.
	maxBatchBytes = 900 << 10
	// maxHeaderBytes bounds the header line of a batch.
	maxHeaderBytes = 64 << 10
	// maxDecompressedBytes bounds the decompressed size of a stored value.
	maxDecompressedBytes = 64 << 20
)

// Header is the first line of a batch.
type Header struct {
	Format   string `json:"format"`
	Version  int    `json:"version"`
	Writer   string `json:"writer"`
	Role     Role   `json:"role"`
	Sequence uint64 `json:"sequence"`
	// Previous is the digest of the previous batch's stored value. In the first
	// batch it is the writer's genesis digest.
	Previous usher.Digest `json:"previous"`
	Sealed   time.Time    `json:"sealed"`
	First    time.Time    `json:"first"`
	Last     time.Time    `json:"last"`
	Lines    int          `json:"lines"`
	// Closed is true in the last batch of a writer that shut down cleanly.
	Closed bool `json:"closed,omitempty"`
	// Seen countersigns other writers' chains: it repeats the digests of their
	// newest stored batches, so that these can't be removed unnoticed.
	Seen []wire.RecordHead `json:"seen,omitempty"`
	// Counts are the numbers of refusals without a line of their own, by kind.
	Counts map[usher.RefusalKind]int64 `json:"counts,omitempty"`
}

// Batch is a decoded batch.
type Batch struct {
	Header
	Decisions []usher.Decision
	// Digest is the SHA-256 of the stored value.
	Digest usher.Digest
}

// GenesisDigest returns the Previous digest of a writer's first batch.
func GenesisDigest(writer string) usher.Digest {
	return usher.DigestOf([]byte(FormatName + "/" + writer))
}

// FormatError reports a stored value that is not a valid batch or index.
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

// Unwrap returns the underlying error, or nil.
func (e *FormatError) Unwrap() error { return e.Cause }

// VersionError reports a stored value of an unsupported format version.
type VersionError struct{ Version int }

// Error implements error.
func (e *VersionError) Error() string {
	return "record format version " + strconv.Itoa(e.Version) + " is not known; versions up to " +
		strconv.Itoa(FormatVersion) + " are"
}

// The codecs are shared: EncodeAll and DecodeAll are safe for concurrent use. The
// encoder has one worker and a small window, which limits its memory to a few
// megabytes, as much as an instance can spare.
var (
	encoder = sync.OnceValue(func() *zstd.Encoder {
		writer, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(1<<20), zstd.WithEncoderLevel(zstd.SpeedFastest))
		if err != nil {
			panic(err)
		}
		return writer
	})
	decoder = sync.OnceValue(func() *zstd.Decoder {
		reader, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(0), zstd.WithDecoderMaxMemory(maxDecompressedBytes))
		if err != nil {
			panic(err)
		}
		return reader
	})
)

// encodeJSON marshals a value of a type whose marshalling can't fail.
func encodeJSON(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return encoded
}

// compress returns the compressed value in a slice without spare capacity. The
// encoder allocates for the worst case, and a batch may stay in memory for a whole
// outage of the store.
func compress(raw []byte) []byte {
	buffer := compressBuffers.Get().(*[]byte)
	*buffer = encoder().EncodeAll(raw, (*buffer)[:0])
	compressed := append(make([]byte, 0, len(*buffer)), *buffer...)
	compressBuffers.Put(buffer)
	return compressed
}

// compressBuffers holds the reusable output buffers of compress.
var compressBuffers = sync.Pool{New: func() any { return new([]byte) }}

func decompress(value []byte) ([]byte, error) {
	raw, err := decoder().DecodeAll(value, nil)
	if err != nil {
		return nil, &FormatError{Reason: "not a complete zstd frame", Cause: err}
	}
	return raw, nil
}

// encodeLine returns a decision as a JSON line.
func encodeLine(decision *usher.Decision) []byte { return append(encodeJSON(decision), '\n') }

// encodeBatch returns the stored value of a batch. Every line in lines ends in a
// line feed.
func encodeBatch(header *Header, lines []byte) []byte {
	first := encodeJSON(header)
	raw := make([]byte, 0, len(first)+1+len(lines))
	raw = append(raw, first...)
	raw = append(raw, '\n')
	return compress(append(raw, lines...))
}

// Encode returns the stored value of a batch. It sets the header's format,
// version and number of lines.
func Encode(header Header, decisions []usher.Decision) []byte {
	header.Format, header.Version, header.Lines = FormatName, FormatVersion, len(decisions)
	var lines []byte
	for i := range decisions {
		lines = append(lines, encodeLine(&decisions[i])...)
	}
	return encodeBatch(&header, lines)
}

// Decode decodes a stored batch of any supported version.
func Decode(value []byte) (*Batch, error) {
	raw, err := decompress(value)
	if err != nil {
		return nil, err
	}
	first, rest, _ := bytes.Cut(raw, []byte{'\n'})
	batch := &Batch{Digest: usher.DigestOf(value)}
	if err := decodeHeader(first, &batch.Header); err != nil {
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

func decodeHeader(line []byte, header *Header) error {
	if len(line) > maxHeaderBytes {
		return &FormatError{Reason: "the header is too long"}
	}
	if err := json.Unmarshal(line, header); err != nil {
		return &FormatError{Reason: "header", Cause: err}
	}
	if header.Format != FormatName {
		return &FormatError{Reason: "the format is " + strconv.Quote(header.Format)}
	}
	if header.Version < 1 || header.Version > FormatVersion {
		return &VersionError{Version: header.Version}
	}
	return nil
}
