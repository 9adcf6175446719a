package telemetry

import (
	"bytes"
	"io"
	"sync"

	"github.com/rs/zerolog"
)

// lineWriter turns the flat JSON object that zerolog writes for an event into
// one line of key=value pairs:
//
//	{"level":"info","listen":"127.0.0.1:80","time":"...","message":"listening"}
//	time=... level=info event=listening listen=127.0.0.1:80
//
// It is on the path of every request, so it copies bytes without decoding them: a
// string that needs quotes keeps its JSON form, including the escapes. line and
// fields are buffers that are reused for every event.
type lineWriter struct {
	out io.Writer

	mu     sync.Mutex
	line   []byte
	fields []byte
}

// Write implements io.Writer. The logger calls it once for each event.
func (w *lineWriter) Write(event []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var timestamp, level, message []byte
	w.fields = w.fields[:0]
	rest := event
	for {
		var key, value []byte
		if key, value, rest = nextPair(rest); key == nil {
			break
		}
		switch string(key) {
		case zerolog.TimestampFieldName:
			timestamp = value
		case zerolog.LevelFieldName:
			level = value
		case zerolog.MessageFieldName:
			message = value
		default:
			w.fields = append(w.fields, ' ')
			w.fields = appendPair(w.fields, string(key), value)
		}
	}
	w.line = appendPair(w.line[:0], "time", timestamp)
	w.line = appendPair(append(w.line, ' '), "level", level)
	w.line = appendPair(append(w.line, ' '), "event", message)
	w.line = append(w.line, w.fields...)
	w.line = append(w.line, '\n')
	if _, err := w.out.Write(w.line); err != nil {
		return 0, err
	}
	return len(event), nil
}

func appendPair(line []byte, key string, value []byte) []byte {
	line = append(line, key...)
	line = append(line, '=')
	return append(line, unquote(value)...)
}

// unquote removes the quotes of a JSON string that contains no space, equals sign
// or escape. Other values are returned unchanged.
func unquote(value []byte) []byte {
	if len(value) < 2 || value[0] != '"' {
		return value
	}
	unquoted := value[1 : len(value)-1]
	if bytes.ContainsAny(unquoted, " =\\") {
		return value
	}
	return unquoted
}

// nextPair returns the next key and raw value of a flat JSON object, and what
// follows them. The key is nil at the end of the object.
func nextPair(rest []byte) (key, value, after []byte) {
	start := bytes.IndexByte(rest, '"')
	if start < 0 {
		return nil, nil, nil
	}
	end := start + stringLength(rest[start:])
	colon := bytes.IndexByte(rest[end:], ':')
	if colon < 0 {
		return nil, nil, nil
	}
	valueStart := end + colon + 1
	length := valueLength(rest[valueStart:])
	return rest[start+1 : end-1], rest[valueStart : valueStart+length], rest[valueStart+length:]
}

// stringLength returns the length in bytes, quotes included, of the JSON string at
// the start of text.
func stringLength(text []byte) int {
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(text)
}

// valueLength returns the length in bytes of the JSON value at the start of text.
func valueLength(text []byte) int {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i += stringLength(text[i:]) - 1
		case '{', '[':
			depth++
		case '}', ']':
			if depth == 0 {
				return i
			}
			depth--
		case ',':
			if depth == 0 {
				return i
			}
		}
	}
	return len(text)
}
