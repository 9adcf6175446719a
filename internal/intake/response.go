package intake

import (
	"bytes"
	"errors"
	"io"
	"strconv"
	"sync"

	"golang.org/x/sync/semaphore"
)

const (
	// responseChunkBytes is the size of the parts in which a long body is buffered.
	responseChunkBytes = 64 << 10
	// firstChunkBytes is the size of the first part, which is enough for most bodies.
	firstChunkBytes = 4 << 10
)

// ResponseTooLongError is returned for the body of a response that is not read to its end. It
// is longer than Limit, or there is no memory left for more if Limit is 0.
type ResponseTooLongError struct {
	// Limit is in bytes.
	Limit int64
}

// Error implements error.
func (e *ResponseTooLongError) Error() string {
	if e.Limit == 0 {
		return "a response that is longer than the memory left"
	}
	return "a response that is longer than " + strconv.FormatInt(e.Limit, 10) + " bytes"
}

// Responses buffers the bodies of responses within a bound on the memory that all of them
// use together. The first parts of each, which suffice for most, are not counted. Parts are
// reused: what was given up and is not collected yet would be memory beyond the bound. It is
// safe for concurrent use.
type Responses struct {
	memory   *semaphore.Weighted
	maxBytes int64
	chunks   sync.Pool
	// budget is charged for what bodies use besides their first parts. It may be nil.
	budget *Budget
}

// NewResponses returns a Responses that lets all bodies together use size bytes besides their
// first parts, and each be maxBytes long.
func NewResponses(size, maxBytes int64) *Responses {
	return &Responses{
		memory: semaphore.NewWeighted(size), maxBytes: maxBytes,
		chunks: sync.Pool{New: func() any { return new([responseChunkBytes]byte) }},
	}
}

// ChargeTo charges what bodies use to a budget, besides the first 4 KiB of each. It has to be
// called before the first Read.
func (r *Responses) ChargeTo(budget *Budget) { r.budget = budget }

// ResponseBody is a body that was read to its end.
type ResponseBody struct {
	responses *Responses
	first     []byte
	chunks    []*[responseChunkBytes]byte
	length    int
}

// Read reads a body to its end. Errors are *ResponseTooLongError and those of body.
func (r *Responses) Read(body io.Reader) (*ResponseBody, error) {
	read := &ResponseBody{responses: r, first: make([]byte, firstChunkBytes)}
	part := read.first
	for {
		n, err := body.Read(part)
		read.length += n
		part = part[n:]
		if errors.Is(err, io.EOF) {
			return read, nil
		}
		if err == nil && len(part) == 0 {
			part, err = read.grow()
		}
		if err != nil {
			read.Release()
			return nil, err
		}
	}
}

// grow adds a part and returns it.
func (b *ResponseBody) grow() ([]byte, error) {
	if int64(b.length) >= b.responses.maxBytes {
		return nil, &ResponseTooLongError{Limit: b.responses.maxBytes}
	}
	if len(b.chunks) > 0 && !b.responses.memory.TryAcquire(responseChunkBytes) {
		return nil, &ResponseTooLongError{}
	}
	if b.responses.budget != nil {
		b.responses.budget.Take(responseChunkBytes)
	}
	chunk := b.responses.chunks.Get().(*[responseChunkBytes]byte)
	b.chunks = append(b.chunks, chunk)
	return chunk[:], nil
}

// Len returns the length of the body in bytes.
func (b *ResponseBody) Len() int { return b.length }

// Copy returns the body in memory that is not counted.
func (b *ResponseBody) Copy() []byte {
	copied := bytes.NewBuffer(make([]byte, 0, b.length))
	// A bytes.Buffer returns no error.
	_, _ = b.WriteTo(copied)
	return copied.Bytes()
}

// WriteTo implements io.WriterTo.
func (b *ResponseBody) WriteTo(w io.Writer) (written int64, err error) {
	write := func(part []byte) {
		if err == nil {
			var n int
			n, err = w.Write(part[:min(len(part), b.length-int(written))])
			written += int64(n)
		}
	}
	write(b.first)
	for _, chunk := range b.chunks {
		write(chunk[:])
	}
	return written, err
}

// Release returns the memory. It may be called on nil and more than once; the body must not
// be used after that.
func (b *ResponseBody) Release() {
	if b == nil {
		return
	}
	for _, chunk := range b.chunks {
		b.responses.chunks.Put(chunk)
	}
	if b.responses.budget != nil && len(b.chunks) > 0 {
		b.responses.budget.Give(int64(len(b.chunks)) * responseChunkBytes)
	}
	b.responses.memory.Release(int64(max(0, len(b.chunks)-1)) * responseChunkBytes)
	b.chunks, b.first, b.length = nil, nil, 0
}
