package httpresponse

import "bytes"

// What FramingScanner looks for at the beginning of lines, in any case. maxLineBytes is the length
// of the longest.
var (
	http10                = []byte("HTTP/1.0 ")
	transferEncodingField = []byte("transfer-encoding:")
	contentLengthField    = []byte("content-length:")
	maxLineBytes          = len(transferEncodingField)
)

// FramingScanner reads the heads of a response as its bytes arrive, because net/http's parser
// drops a Transfer-Encoding in HTTP/1.0, and a Content-Length beside one, without an error. The
// framing of such responses is faulty (RFC 9112, sections 6.1 and 6.3), and their bodies may be
// anything.
//
// It scans interim responses and the one that follows them, and no body. The zero value scans
// the next response.
type FramingScanner struct {
	// line is the beginning of the current line.
	line []byte
	// hasStatus is set behind the status line, isHTTP10 and isInterim are what that says, and
	// hasEncoding and hasLength what the fields say.
	hasStatus, isHTTP10, isInterim, hasEncoding, hasLength bool
	// done is set behind the last head.
	done bool
}

// Scan takes the next bytes of the connection, which may end anywhere. It returns an
// *InvalidError at the end of a head whose framing is faulty.
func (s *FramingScanner) Scan(read []byte) error {
	for len(read) > 0 && !s.done {
		text, rest, ended := bytes.Cut(read, []byte("\n"))
		s.line = append(s.line, text[:min(len(text), maxLineBytes-len(s.line))]...)
		if !ended {
			return nil
		}
		if err := s.endLine(bytes.TrimSuffix(s.line, []byte("\r"))); err != nil {
			return err
		}
		s.line, read = s.line[:0], rest
	}
	return nil
}

func (s *FramingScanner) endLine(line []byte) error {
	switch {
	case !s.hasStatus:
		_, status, _ := bytes.Cut(line, []byte(" "))
		s.hasStatus = true
		s.isHTTP10 = bytes.HasPrefix(line, http10)
		s.isInterim = bytes.HasPrefix(bytes.TrimLeft(status, " "), []byte("1"))
	case len(line) == 0:
		return s.endHead()
	case hasPrefixFold(line, transferEncodingField):
		s.hasEncoding = true
	case hasPrefixFold(line, contentLengthField):
		s.hasLength = true
	}
	return nil
}

func hasPrefixFold(line, prefix []byte) bool {
	return len(line) >= len(prefix) && bytes.EqualFold(line[:len(prefix)], prefix)
}

func (s *FramingScanner) endHead() error {
	switch {
	case s.hasEncoding && s.isHTTP10:
		return &InvalidError{Reason: "a transfer encoding in HTTP/1.0"}
	case s.hasEncoding && s.hasLength:
		return &InvalidError{Reason: "a length beside a transfer encoding"}
	}
	*s = FramingScanner{line: s.line, done: !s.isInterim}
	return nil
}
