// Package httpresponse checks responses that net/http has parsed. Its parser accepts more than
// RFC 9110 and RFC 9112 allow, so that a broken response can look like a sound one. Whatever
// reads responses of endpoints or of the store with net/http verifies them here.
package httpresponse

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"golang.org/x/net/http/httpguts"
)

// The range of valid status codes (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// InvalidError means that what was received is not a valid response.
type InvalidError struct{ Reason string }

// Error implements error.
func (e *InvalidError) Error() string { return "no valid answer was received: " + e.Reason }

// Verify returns an *InvalidError unless the head of a response, which may be an interim one, is
// valid. It also lets reads of the body fail with an *InvalidError if the trailer is invalid.
func Verify(response *http.Response) error {
	if err := verifyStatusLine(response); err != nil {
		return err
	}
	if len(response.TransferEncoding) > 0 {
		response.Body = &chunkedBody{ReadCloser: response.Body, response: response}
	}
	return verifyNames(response.Header)
}

// verifyStatusLine rejects codes that are not in the valid range and the change to another
// protocol, for which no request asks. A later minor version is read as HTTP/1.1 (RFC 9110,
// section 2.5), and a reason phrase has no control bytes (RFC 9112, section 4).
func verifyStatusLine(response *http.Response) error {
	status := response.StatusCode
	switch {
	case response.ProtoMajor != 1:
		return &InvalidError{Reason: "version " + response.Proto}
	case status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols:
		return &InvalidError{Reason: fmt.Sprintf("status %03d", status)}
	case !httpguts.ValidHeaderFieldValue(response.Status):
		return &InvalidError{Reason: "a status line with " + strconv.Quote(response.Status)}
	}
	return nil
}

// verifyNames rejects names of fields that are not tokens (RFC 9110, section 5.1). The parser
// accepts blanks, also before the colon, where they hide fields such as Transfer-Encoding. It
// checks the values itself.
func verifyNames(fields http.Header) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return &InvalidError{Reason: "a field with the name " + strconv.Quote(name)}
		}
	}
	return nil
}

// chunkedBody is a body that may have a trailer. The parser has read that when the body returns
// io.EOF.
type chunkedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *chunkedBody) Read(buf []byte) (int, error) {
	n, err := b.ReadCloser.Read(buf)
	if errors.Is(err, io.EOF) {
		if invalid := verifyNames(b.response.Trailer); invalid != nil {
			err = invalid
		}
	}
	return n, err
}
