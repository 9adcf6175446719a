package endpoint_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"filbertusher/internal/endpoint"
	"filbertusher/pkg/usher"
)

// The events of a response whose connection broke are fetched as often after an attempt
// that made progress as before.
func TestRecoverAfterProgress(t *testing.T) {
	event := func(offset int) string {
		return fmt.Sprintf("id: %d\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"x\"},\"finish_reason\":\"stop\"}]}\n\n", offset)
	}
	const refused = ""
	for name, fetches := range map[string][]string{
		"before progress": {refused, refused, event(0) + event(1) + "id: 2\ndata: [DONE]\n\n"},
		"after progress":  {event(0), refused, refused, event(1) + "id: 2\ndata: [DONE]\n\n"},
		"twice":           {refused, refused, event(0), refused, refused, event(1) + "id: 2\ndata: [DONE]\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodPost || len(fetches) == 0 {
					panic(http.ErrAbortHandler)
				}
				fetched := fetches[0]
				fetches = fetches[1:]
				if fetched == refused {
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = w.Write([]byte(fetched))
			}))
			defer server.Close()
			model := endpoint.NewModelClient(strings.TrimPrefix(server.URL, "http://"), server.Client(), 64<<20)
			response, err := model.Call(t.Context(), "r", 1, &usher.Call{Method: http.MethodPost, Path: "/v1/chat/completions", Body: []byte("{}")})
			if err != nil {
				t.Fatal(err)
			}
			if !strings.Contains(string(response.Body), `"xx"`) {
				t.Errorf("got %s", response.Body)
			}
		})
	}
}
