// Package httpresponse checks responses that net/http has parsed. Its parser accepts more than
// RFC 9110 and RFC 9112 allow, so that a broken response can look like a sound one. Whatever
// reads responses of endpoints or of the store with net/http verifies them here.
package httpresponse

import (
	"fmt"
	"net/http"
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
// valid.
func Verify(response *http.Response) error {
	return verifyStatus(response.StatusCode)
}

// verifyStatus rejects codes that are not in the valid range, and the change to another
// protocol, for which no request asks.
func verifyStatus(status int) error {
	if status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return &InvalidError{Reason: fmt.Sprintf("status %03d", status)}
	}
	return nil
}
