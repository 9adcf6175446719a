package ledger

import "filbertusher/pkg/usher"

// Unfinished returns the headers of at most most requests that wait or run,
// for the report of a drain that ran out of time.
func (l *Ledger) Unfinished(most int) []usher.RequestHeader {
	l.mu.Lock()
	defer l.mu.Unlock()
	var headers []usher.RequestHeader
	for _, entry := range l.entries {
		if len(headers) < most && (entry.state == StateWaiting || entry.state == StateDispatched) {
			headers = append(headers, entry.Header)
		}
	}
	return headers
}
