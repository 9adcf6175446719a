package ledger

import "filbertusher/pkg/usher"

// Unfinished returns the headers of at most limit requests that are waiting or
// dispatched, for the report of a drain that timed out.
func (l *Ledger) Unfinished(limit int) []usher.RequestHeader {
	l.mu.Lock()
	defer l.mu.Unlock()
	var headers []usher.RequestHeader
	for _, request := range l.requests {
		if len(headers) < limit && (request.state == StateWaiting || request.state == StateDispatched) {
			headers = append(headers, request.Header)
		}
	}
	return headers
}
