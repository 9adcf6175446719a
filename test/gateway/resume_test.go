package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

func TestErrorOfNextReplicaDoesNotEndUpInStream(t *testing.T) {
	for _, status := range []int{
		http.StatusAccepted, http.StatusNoContent, http.StatusPartialContent, http.StatusFound, http.StatusBadRequest,
		http.StatusNotFound, http.StatusGone, http.StatusTooManyRequests, http.StatusInternalServerError, http.StatusBadGateway,
		http.StatusServiceUnavailable, http.StatusGatewayTimeout,
	} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			for i := range 2 {
				r := newReplica(t, fmt.Sprint("m", i), "model", 4, 8)
				r.update(func() { r.abortAfter, r.resumeStatus = 3, status })
				c.register(r, "ready")
			}
			g := c.startGateway("g1")
			for i := range 3 {
				got := g.call(t.Context(), http.MethodPost, "/plan/a", fmt.Sprint("p", i))
				if got.status != http.StatusOK {
					continue
				}
				if strings.Contains(got.body, errorText) || strings.Contains(got.body, "HTTP/1.1") {
					t.Errorf("an error in the stream: %q", got.body)
				}
				if got.err == nil {
					t.Errorf("a stream that broke off looks complete: %q", got.body)
				}
			}
		})
	}
}
