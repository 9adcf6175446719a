// Package intake reads the bodies of callers' requests, and those of endpoints' responses,
// within bounds on the memory that all of them use together.
package intake

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
)

const (
	// unreservedBytes is the size up to which bodies wait for no others, as most requests
	// are smaller.
	unreservedBytes = 16 << 10
	// firstBufferBytes is the size of the first buffer of a body without a length that is
	// longer than unreservedBytes.
	firstBufferBytes = 64 << 10
	// maxSlackDivisor gives the part of a body that its buffer may be larger.
	maxSlackDivisor = 4
)

// Intake bounds the memory of bodies. It is safe for concurrent use.
type Intake struct {
	budget *Budget
	// factor is what a body is charged, in its lengths.
	factor int64
}

// New returns an intake that lets all long bodies together use size bytes.
func New(size int64) *Intake {
	return &Intake{budget: newBudget(size+size/3+ordinaryBytes, size), factor: 1}
}

// NewWithin returns an intake whose bodies draw on a budget. factor is what a long body takes
// until it is released, in its lengths.
func NewWithin(budget *Budget, factor int64) *Intake { return &Intake{budget: budget, factor: factor} }

// Hold returns the holding of a client that never gives way.
func (i *Intake) Hold() *Holding { return i.budget.Hold(nil) }

// Body is a body that was read completely.
type Body struct {
	Bytes    []byte
	holding  *Holding
	factor   int64
	reserved int64
}

// Release returns the memory. It may be called on nil and more than once; Bytes must not be
// used after that.
func (b *Body) Release() {
	if b == nil {
		return
	}
	b.holding.Shrink(b.reserved)
	b.reserved = 0
}

// Read reads a body to its end. length is its length, or -1 if that is not known; reader has
// to fail after limit bytes, as http.MaxBytesReader does. A long body waits until there is
// memory for all of it, in the order of arrival, and nothing is read meanwhile, so that its
// caller stops sending.
//
// Errors are *NoMemoryError and those of reader.
func (i *Intake) Read(ctx context.Context, reader io.Reader, length, limit int64) (*Body, error) {
	return i.ReadFor(ctx, i.Hold(), reader, length, limit)
}

// ReadFor is Read for a client whose holding the body is charged to.
func (i *Intake) ReadFor(ctx context.Context, holding *Holding, reader io.Reader, length, limit int64) (*Body, error) {
	body := &Body{holding: holding, factor: i.factor}
	err := body.read(ctx, reader, length, limit)
	if err == nil {
		err = holding.Finish()
	} else if holding.HasGivenWay() {
		err = &NoMemoryError{}
	}
	if err != nil {
		body.Release()
		return nil, err
	}
	return body, nil
}

func (b *Body) read(ctx context.Context, reader io.Reader, length, limit int64) error {
	if length < 0 {
		return b.readUnknownLength(ctx, reader, limit)
	}
	if err := b.reserve(ctx, length); err != nil {
		return err
	}
	b.Bytes = make([]byte, length)
	_, err := io.ReadFull(reader, b.Bytes)
	return err
}

// readUnknownLength reserves limit bytes only once the body is longer than most.
func (b *Body) readUnknownLength(ctx context.Context, reader io.Reader, limit int64) error {
	if err := b.reserve(ctx, min(limit, unreservedBytes)); err != nil {
		return err
	}
	begin, err := io.ReadAll(io.LimitReader(reader, unreservedBytes+1))
	b.Bytes = begin
	if err != nil || len(begin) <= unreservedBytes {
		return err
	}
	if err := b.reserve(ctx, limit-unreservedBytes); err != nil {
		return err
	}
	if err := b.readRest(reader, limit); err != nil {
		return err
	}
	if cap(b.Bytes)-len(b.Bytes) > len(b.Bytes)/maxSlackDivisor {
		b.Bytes = bytes.Clone(b.Bytes)
	}
	if excess := b.reserved - b.factor*int64(cap(b.Bytes)); excess > 0 {
		b.holding.Shrink(excess)
		b.reserved -= excess
	}
	return nil
}

// readRest reads the rest of a body into a buffer that doubles in size. A limit that many
// bodies reach part of would be memory that is cleared and not used.
func (b *Body) readRest(reader io.Reader, limit int64) error {
	b.Bytes = append(make([]byte, 0, min(limit+1, firstBufferBytes)), b.Bytes...)
	for {
		if len(b.Bytes) == cap(b.Bytes) {
			// The byte above limit is where reader fails.
			b.Bytes = append(make([]byte, 0, min(limit+1, 2*int64(cap(b.Bytes)))), b.Bytes...)
		}
		n, err := reader.Read(b.Bytes[len(b.Bytes):cap(b.Bytes)])
		b.Bytes = b.Bytes[:len(b.Bytes)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
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

// reserve waits for memory for n bytes of the body. A body that is larger than all of it waits
// for all of it.
func (b *Body) reserve(ctx context.Context, n int64) error {
	if n > unreservedBytes {
		n *= b.factor
	}
	if err := b.holding.Grow(ctx, n); err != nil {
		return err
	}
	b.reserved += n
	return nil
}
