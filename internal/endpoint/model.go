package endpoint

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"iter"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/tmaxmax/go-sse"

	"filbertusher/internal/intake"
	"filbertusher/pkg/usher"
)

// doneMarker is the data of the event that ends a complete stream.
const doneMarker = "[DONE]"

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// ModelClient is a client of a model engine.
type ModelClient struct{ client }

var _ usher.Backend = (*ModelClient)(nil)

// NewModelClient returns a client of the engine at address, an IP address and port.
// All bodies of responses together may use responseMemory bytes.
func NewModelClient(address string, httpClient *http.Client, responseMemory int64) *ModelClient {
	return &ModelClient{client{base: "http://" + address, http: httpClient, responses: intake.NewResponses(responseMemory, maxResponseBytes)}}
}

// Call implements usher.Backend. It also reads the usage from the response. If the
// connection breaks before the response is complete, the engine may have received
// the request, so Call fetches its events and builds the response from them.
func (m *ModelClient) Call(ctx context.Context, id usher.RequestID, fence usher.FencingToken, call *usher.Call) (*usher.Response, error) {
	answer, err := rejectFenced(m.client.Call(ctx, id, fence, call))
	var broken *usher.BackendError
	if errors.As(err, &broken) && broken.Reached {
		answer, err = m.recoverResponse(ctx, id, err)
	}
	if err == nil && answer.Succeeded() {
		answer.Usage = readUsage(answer.Body)
	}
	return answer, err
}

// usageReport is the part of a response that reports token counts.
type usageReport struct {
	Usage struct {
		PromptTokens     usher.Tokens `json:"prompt_tokens"`
		CompletionTokens usher.Tokens `json:"completion_tokens"`
		CachedTokens     usher.Tokens `json:"cached_tokens"`
	} `json:"usage"`
}

// readUsage returns the zero value for a response that reports no usage.
func readUsage(body []byte) usher.Usage {
	var report usageReport
	if err := json.Unmarshal(body, &report); err != nil {
		return usher.Usage{}
	}
	return usher.Usage{
		PromptTokens: report.Usage.PromptTokens,
		CachedTokens: report.Usage.CachedTokens,
		AnswerTokens: report.Usage.CompletionTokens,
	}
}

// Stream implements usher.Backend.
func (m *ModelClient) Stream(ctx context.Context, id usher.RequestID, fence usher.FencingToken, call *usher.Call) (usher.EventStream, *usher.Response, error) {
	response, err := m.send(ctx, id, fence, call)
	if err != nil {
		return nil, nil, err
	}
	if !isEventStream(response) {
		answer, err := rejectFenced(m.readResponse(response))
		return nil, answer, err
	}
	return newEventStream(response.Body), nil, nil
}

// Resume implements usher.Backend.
func (m *ModelClient) Resume(ctx context.Context, id usher.RequestID, from uint64) (usher.EventStream, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, m.requestURL(id)+"/events", nil)
	if err != nil {
		return nil, &usher.BackendError{Operation: "resume", Cause: err}
	}
	if from > 0 {
		request.Header.Set(headerLastEventID, strconv.FormatUint(from-1, 10))
	}
	response, err := m.do(request, id, "resume")
	if err != nil {
		return nil, err
	}
	if !isEventStream(response) {
		_ = response.Body.Close()
		return nil, &usher.BackendError{Operation: "resume", Reached: true, Cause: &StatusError{Status: response.StatusCode}}
	}
	return newEventStream(response.Body), nil
}

// Cancel implements usher.Backend. An engine that does not know the request has
// nothing to cancel, which is not an error.
func (m *ModelClient) Cancel(ctx context.Context, id usher.RequestID) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, m.requestURL(id), nil)
	if err != nil {
		return &usher.BackendError{Operation: "cancel", Cause: err}
	}
	response, err := m.do(request, id, "cancel")
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode >= http.StatusInternalServerError || response.StatusCode == http.StatusTooManyRequests {
		return &usher.BackendError{Operation: "cancel", Reached: true, Cause: &StatusError{Status: response.StatusCode}}
	}
	return nil
}

func (m *ModelClient) requestURL(id usher.RequestID) string {
	return m.base + "/v1/requests/" + url.PathEscape(string(id))
}

func isEventStream(response *http.Response) bool {
	return response.StatusCode == http.StatusOK &&
		strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}

// eventStream reads a text/event-stream body.
type eventStream struct {
	body io.ReadCloser
	next func() (sse.Event, error, bool)
	stop func()
}

func newEventStream(body io.ReadCloser) *eventStream {
	next, stop := iter.Pull2(sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}))
	return &eventStream{body: body, next: next, stop: stop}
}

// Next implements usher.EventStream. A body that ends before the end marker is a
// broken stream, even if the connection was closed normally.
func (s *eventStream) Next() (usher.StreamEvent, error) {
	event, err, ok := s.next()
	if !ok {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return usher.StreamEvent{}, &usher.BackendError{Operation: "read stream", Reached: true, Cause: err}
	}
	if event.Data == doneMarker {
		return usher.StreamEvent{}, io.EOF
	}
	offset, err := strconv.ParseUint(event.LastEventID, 10, 64)
	if err != nil {
		return usher.StreamEvent{}, &usher.BackendError{Operation: "read stream", Reached: true, Cause: err}
	}
	return usher.StreamEvent{Offset: offset, Data: []byte(event.Data)}, nil
}

// Close implements usher.EventStream.
func (s *eventStream) Close() error {
	err := s.body.Close()
	s.stop()
	return err
}
