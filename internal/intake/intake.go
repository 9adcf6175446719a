// Package intake reads the bodies of callers' requests, and those of endpoints' responses,
// within bounds on the memory that all of them use together.
package intake

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// unreservedBytes is the size up to which bodies need no reservation. Most requests are
	// smaller, and the memory of small ones is bounded by the number of connections.
	unreservedBytes = 16 << 10
	// maxWait is how long a body waits for memory. Callers abandon a request of which
	// nothing was read for a second.
	maxWait = 900 * time.Millisecond
)

// NoMemoryError is returned for a body that found no memory in time. Nothing of it was
// read, unless its length was not known.
type NoMemoryError struct {
	// Bytes is the size of the reservation.
	Bytes int64
}

// Error implements error.
func (e *NoMemoryError) Error() string {
	return "no memory for a body of " + strconv.FormatInt(e.Bytes, 10) + " bytes"
}

// Intake bounds the memory of bodies. It is safe for concurrent use.
type Intake struct {
	size   int64
	memory *semaphore.Weighted
}

// New returns an intake that lets all bodies together use size bytes.
func New(size int64) *Intake { return &Intake{size: size, memory: semaphore.NewWeighted(size)} }

// Body is a body that was read completely.
type Body struct {
	Bytes    []byte
	intake   *Intake
	reserved int64
}

// Release returns the memory. It may be called on nil and more than once; Bytes must not be
// used after that.
func (b *Body) Release() {
	if b == nil || b.reserved == 0 {
		return
	}
	b.intake.memory.Release(b.reserved)
	b.reserved = 0
}

// Read reads a body to its end. length is its length, or -1 if that is not known; reader has
// to fail after limit bytes, as http.MaxBytesReader does. A long body waits until there is
// memory for all of it, in the order of arrival, and nothing is read meanwhile, so that its
// caller stops sending.
//
// Errors are *NoMemoryError and those of reader.
func (i *Intake) Read(ctx context.Context, reader io.Reader, length, limit int64) (*Body, error) {
	body := &Body{intake: i}
	var err error
	switch {
	case length < 0:
		err = body.readUnknownLength(ctx, reader, limit)
	case length <= unreservedBytes:
		err = body.readLength(reader, length)
	default:
		if err = body.reserve(ctx, length); err == nil {
			err = body.readLength(reader, length)
		}
	}
	if err != nil {
		body.Release()
		return nil, err
	}
	return body, nil
}

func (b *Body) readLength(reader io.Reader, length int64) error {
	b.Bytes = make([]byte, length)
	_, err := io.ReadFull(reader, b.Bytes)
	return err
}

// readUnknownLength reserves limit bytes only once the body is longer than most.
func (b *Body) readUnknownLength(ctx context.Context, reader io.Reader, limit int64) error {
	begin, err := io.ReadAll(io.LimitReader(reader, unreservedBytes+1))
	b.Bytes = begin
	if err != nil || len(begin) <= unreservedBytes {
		return err
	}
	if err := b.reserve(ctx, limit); err != nil {
		return err
	}
	buffer := bytes.NewBuffer(make([]byte, 0, limit+bytes.MinRead))
	if _, err := buffer.ReadFrom(io.MultiReader(bytes.NewReader(begin), reader)); err != nil {
		return err
	}
	b.Bytes = bytes.Clone(buffer.Bytes())
	if excess := b.reserved - int64(len(b.Bytes)); excess > 0 {
		b.intake.memory.Release(excess)
		b.reserved -= excess
	}
	return nil
}

// Discard reads the rest of the body of a request that found no memory, so that a caller
// that sends all of it first gets the refusal. One that waits for a response before it sends
// the body gets it at once. The read deadline of the connection bounds the time.
func Discard(header http.Header, body io.Reader) {
	if header.Get("Expect") != "" {
		return
	}
	// After an error there is nobody to tell.
	_, _ = io.Copy(io.Discard, body)
}

// reserve waits for memory. A body that is larger than all of it waits for all of it.
func (b *Body) reserve(ctx context.Context, n int64) error {
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	n = min(n, b.intake.size)
	if b.intake.memory.Acquire(ctx, n) != nil {
		return &NoMemoryError{Bytes: n}
	}
	b.reserved = n
	return nil
}
