package endpoint

import (
	"context"
	"net/http"

	"filbertusher/pkg/usher"
)

var _ usher.CacheTransfer = (*ModelClient)(nil)

// ExportCache implements usher.CacheTransfer.
func (m *ModelClient) ExportCache(ctx context.Context, id usher.RequestID) ([]byte, error) {
	answer, err := m.client.Call(ctx, id, 0, &usher.Call{Method: http.MethodGet, Path: "/kv/" + string(id)})
	if err != nil {
		return nil, err
	}
	if !answer.Succeeded() {
		return nil, &usher.BackendError{Operation: "export", Reached: true, Cause: &StatusError{Status: answer.Status}}
	}
	return answer.Body, nil
}

// ImportCache implements usher.CacheTransfer.
func (m *ModelClient) ImportCache(ctx context.Context, cache []byte) error {
	answer, err := m.client.Call(ctx, "", 0, &usher.Call{Method: http.MethodPut, Path: "/kv", ContentType: "application/json", Body: cache})
	if err == nil && !answer.Succeeded() {
		err = &usher.BackendError{Operation: "import", Reached: true, Cause: &StatusError{Status: answer.Status}}
	}
	return err
}
