package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEvent bounds one event of a stream, in bytes.
const maxEvent = 1 << 20

// Event is one whole event of a stream, with the blank line that ends it.
type Event struct {
	Raw []byte
	// ID is the event's id, or the last one before it.
	ID string
}

// EventReader cuts a body into whole events.
type EventReader struct {
	reader *bufio.Reader
	lastID string
	raw    []byte
}

// NewEventReader returns a reader of the events in body.
func NewEventReader(body io.Reader) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(body, readBuffer)}
}

// Next returns the next event, which is valid until the next call. Errors are
// io.EOF at the end of a whole body, io.ErrUnexpectedEOF where the body ends
// inside an event, and those of the body.
func (e *EventReader) Next() (Event, error) {
	e.raw = e.raw[:0]
	start := 0
	for {
		part, err := e.reader.ReadSlice('\n')
		e.raw = append(e.raw, part...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(e.raw) > maxEvent {
				return Event{}, &GarbledError{Reason: "an event that is too long"}
			}
			continue
		case errors.Is(err, io.EOF) && len(e.raw) > 0:
			return Event{}, io.ErrUnexpectedEOF
		case err != nil:
			return Event{}, err
		}
		if len(e.raw) > maxEvent {
			return Event{}, &GarbledError{Reason: "an event that is too long"}
		}
		line := bytes.TrimRight(e.raw[start:], "\r\n")
		start = len(e.raw)
		if len(line) == 0 && len(bytes.TrimRight(e.raw, "\r\n")) > 0 {
			return Event{Raw: e.raw, ID: e.lastID}, nil
		}
		if id, found := bytes.CutPrefix(line, []byte("id:")); found {
			e.lastID = string(bytes.TrimSpace(id))
		}
	}
}

// Pending says whether more of the body has arrived already.
func (e *EventReader) Pending() bool { return e.reader.Buffered() > 0 }
