package entry

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"hash"
	"net/http"
	"time"

	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

const (
	// doneEvent ends a whole stream in the chat completions protocol.
	doneEvent = "data: [DONE]\n\n"
	// readGrace is how long after its deadline a caller may take to read what
	// was written for it.
	readGrace = 5 * time.Second
)

// streamWriter writes a streamed answer to the caller. The header is sent with
// the first event, so that a stream that fails before it can still be refused
// with a status. Events that wait together are flushed together.
type streamWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	id         usher.RequestID
	deadline   time.Time
	digest     hash.Hash
	buffer     []byte
	written    int64
	begun      bool
}

func newStreamWriter(w http.ResponseWriter, accepted *request) *streamWriter {
	return &streamWriter{
		w: w, controller: http.NewResponseController(w), id: accepted.ID,
		deadline: accepted.Deadline, digest: sha256.New(),
	}
}

func (s *streamWriter) begin() {
	s.begun = true
	// A caller that stops to read must not hold the handler for ever.
	_ = s.controller.SetWriteDeadline(s.deadline.Add(readGrace))
	header := s.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set(headerRequestID, string(s.id))
	s.w.WriteHeader(http.StatusOK)
}

// close takes the deadline back, which net/http would keep for the caller's
// next request on the connection.
func (s *streamWriter) close() {
	if s.begun {
		_ = s.controller.SetWriteDeadline(time.Time{})
	}
}

// take writes events and returns the one that ends the stream, if it is there.
func (s *streamWriter) take(events []wire.Event) wire.Event {
	s.buffer = s.buffer[:0]
	var end wire.Event
	for i := range events {
		if events[i].End != wire.EndNone {
			end = events[i]
			break
		}
		s.digest.Write(events[i].Data)
		s.written += int64(len(events[i].Data))
		s.buffer = append(s.buffer, "data: "...)
		s.buffer = appendData(s.buffer, events[i].Data)
		s.buffer = append(s.buffer, "\n\n"...)
	}
	if len(s.buffer) > 0 {
		s.write(s.buffer)
	}
	return end
}

// appendData appends the data of an event. Data of several lines is written as
// several data fields, as the event stream format asks for.
func appendData(buffer, data []byte) []byte {
	for {
		line, rest, more := bytes.Cut(data, []byte{'\n'})
		buffer = append(buffer, line...)
		if !more {
			return buffer
		}
		buffer = append(buffer, "\ndata: "...)
		data = rest
	}
}

func (s *streamWriter) write(data []byte) {
	if !s.begun {
		s.begin()
	}
	_, _ = s.w.Write(data)
}

func (s *streamWriter) flush() { _ = s.controller.Flush() }

func (s *streamWriter) sum() usher.Digest { return usher.Digest(hex.EncodeToString(s.digest.Sum(nil))) }

// abort ends the connection without the mark of a whole answer.
func (s *streamWriter) abort(refusal *usher.Refusal) {
	encoded, err := json.Marshal(errorBody{Error: refusal})
	if err == nil {
		s.write([]byte("event: error\ndata: " + string(encoded) + "\n\n"))
		s.flush()
	}
	panic(http.ErrAbortHandler)
}
