package endpoint_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"filbertusher/internal/endpoint"
	"filbertusher/internal/standin/engine"
	"filbertusher/pkg/usher"
)

// An engine that checks fencing tokens refuses requests of a replaced
// incarnation. Guards against reporting such a request as possibly run, or
// returning the refusal to the caller as a response.
func TestFencedRequestDidNotRun(t *testing.T) {
	simulated := engine.New(engine.Options{
		Speed:          engine.Speed{PrefillChunk: 512, MaxBatch: 4},
		FencingChecked: true, Models: []string{"m"},
	}, func() {})
	go simulated.Run(t.Context().Done())
	server := httptest.NewServer(simulated.Handler())
	defer server.Close()
	model := endpoint.NewModelClient(strings.TrimPrefix(server.URL, "http://"), server.Client(), 64<<20)
	call := func(stream string) *usher.Call {
		body := `{"model":"m","max_tokens":1,"messages":[{"role":"user","content":"x"}]` + stream + `}`
		return &usher.Call{Method: http.MethodPost, Path: "/v1/chat/completions", Body: []byte(body)}
	}
	if _, err := model.Call(t.Context(), "newer", 2, call("")); err != nil {
		t.Fatal(err)
	}
	_, errBuffered := model.Call(t.Context(), "buffered", 1, call(""))
	_, _, errStream := model.Stream(t.Context(), "stream", 1, call(`,"stream":true`))
	for what, err := range map[string]error{"buffered": errBuffered, "stream": errStream} {
		var backend *usher.BackendError
		var fenced *endpoint.FencedError
		if !errors.As(err, &backend) || backend.Reached || !errors.As(err, &fenced) {
			t.Errorf("%s: got %v, want a FencedError with Reached unset", what, err)
		}
	}
}
