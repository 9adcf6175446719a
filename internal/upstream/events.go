package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"filbertusher/internal/httpresponse"
)

// maxEventBytes bounds one event of a stream. All streams of an instance may hold an
// event of that size at once.
const maxEventBytes = 256 << 10

// Event is one server-sent event. Raw holds the event as received, including the
// blank line that ends it.
type Event struct {
	Raw []byte
	// ID is the event's ID, or that of the last event with an ID.
	ID string
}

// EventReader splits a response body into server-sent events. raw holds the current
// event; the next one reuses it.
type EventReader struct {
	reader *bufio.Reader
	lastID string
	raw    []byte
	peeked *peekedEvent
}

// peekedEvent is the result of a read that was not returned by Next yet.
type peekedEvent struct {
	event Event
	err   error
}

// NewEventReader returns a reader of the events in body.
func NewEventReader(body io.Reader) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(body, readBufferBytes)}
}

// Next returns the next event, which is valid until the next call. Errors are
// io.EOF at the end of the body, io.ErrUnexpectedEOF if the body ends inside an
// event, and read errors of the body.
func (e *EventReader) Next() (Event, error) {
	if peeked := e.peeked; peeked != nil {
		e.peeked = nil
		return peeked.event, peeked.err
	}
	return e.read()
}

// Peek waits for the next event, which Next still returns, and returns the error of Next.
func (e *EventReader) Peek() error {
	if e.peeked == nil {
		event, err := e.read()
		e.peeked = &peekedEvent{event: event, err: err}
	}
	return e.peeked.err
}

func (e *EventReader) read() (Event, error) {
	e.raw = e.raw[:0]
	lineStart, hasContent := 0, false
	for {
		chunk, err := e.reader.ReadSlice('\n')
		e.raw = append(e.raw, chunk...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(e.raw) > maxEventBytes {
				return Event{}, &httpresponse.InvalidError{Reason: "an event that is too long"}
			}
			continue
		case errors.Is(err, io.EOF) && len(e.raw) > 0:
			return Event{}, io.ErrUnexpectedEOF
		case err != nil:
			return Event{}, err
		}
		if len(e.raw) > maxEventBytes {
			return Event{}, &httpresponse.InvalidError{Reason: "an event that is too long"}
		}
		line := bytes.TrimRight(e.raw[lineStart:], "\r\n")
		lineStart = len(e.raw)
		if len(line) == 0 && hasContent {
			return Event{Raw: e.raw, ID: e.lastID}, nil
		}
		hasContent = hasContent || len(line) > 0
		if id, found := bytes.CutPrefix(line, []byte("id:")); found {
			e.lastID = string(bytes.TrimSpace(id))
		}
	}
}

// Pending reports whether more of the body is already buffered.
func (e *EventReader) Pending() bool { return e.reader.Buffered() > 0 }
