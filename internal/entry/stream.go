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
	// doneEvent ends a complete stream in the chat completions protocol.
	doneEvent = "data: [DONE]\n\n"
	// callerReadGrace is how long after the deadline a caller may take to read
	// a stream, and how long it may take for each part of another response.
	callerReadGrace = 5 * time.Second
)

// streamWriter writes a streamed response to the caller. The header is sent with
// the first event, so that a stream that fails earlier can still get an HTTP
// error status. Events that are available together are flushed together.
type streamWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	id         usher.RequestID
	deadline   time.Time
	digest     hash.Hash
	buffer     []byte
	written    int64
	headerSent bool
}

func newStreamWriter(w http.ResponseWriter, req *request) *streamWriter {
	return &streamWriter{
		w: w, controller: http.NewResponseController(w), id: req.ID,
		deadline: req.Deadline, digest: sha256.New(),
	}
}

func (s *streamWriter) sendHeader() {
	s.headerSent = true
	// Without a deadline, a caller that stops reading would block the handler
	// forever.
	_ = s.controller.SetWriteDeadline(s.deadline.Add(callerReadGrace))
	header := s.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set(headerRequestID, string(s.id))
	s.w.WriteHeader(http.StatusOK)
}

// close clears the write deadline, which net/http would otherwise apply to the
// next request on the connection.
func (s *streamWriter) close() {
	if s.headerSent {
		_ = s.controller.SetWriteDeadline(time.Time{})
	}
}

// writeEvents writes events and returns the one that ends the stream, or a zero
// event if there is none.
func (s *streamWriter) writeEvents(events []wire.Event) wire.Event {
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

// appendData appends the data of an event. Each line of multi-line data becomes
// a data field of its own, as the event stream format requires.
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
	if !s.headerSent {
		s.sendHeader()
	}
	_, _ = s.w.Write(data)
}

func (s *streamWriter) flush() { _ = s.controller.Flush() }

func (s *streamWriter) sum() usher.Digest { return usher.Digest(hex.EncodeToString(s.digest.Sum(nil))) }

// abort sends an error event and aborts the connection, without doneEvent. It
// panics with http.ErrAbortHandler and does not return.
func (s *streamWriter) abort(refusal *usher.Refusal) {
	encoded, err := json.Marshal(errorBody{Error: refusal})
	if err == nil {
		s.write([]byte("event: error\ndata: " + string(encoded) + "\n\n"))
		s.flush()
	}
	panic(http.ErrAbortHandler)
}
