package admission

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"filbertusher/pkg/usher"
)

// Guards against requests that go on to wait after the end of their entry, if no slot
// becomes free until then.
func TestWaitingRequestIsRefusedAtTheEndOfItsEntry(t *testing.T) {
	c := New("engine", Options{MaxRunning: 1, MaxWaiting: 9})
	deadline := time.Now().Add(time.Hour)
	running, err := c.Admit(t.Context(), newHeader("running", 0, "a", 10, 10, deadline))
	if err != nil {
		t.Fatal(err)
	}
	defer running.Release()
	refused := make(chan error, 1)
	go func() {
		_, err := c.Admit(t.Context(), newHeader("waiting", 0, "a", 10, 10, deadline))
		refused <- err
	}()
	for c.Report().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	c.EndWork("a", 50*time.Millisecond)
	var refusal *usher.Refusal
	select {
	case err := <-refused:
		errors.As(err, &refusal)
	case <-time.After(time.Minute):
	}
	want := usher.NewRefusal(usher.RefusalLeaving, "the endpoint can't end the request before the instance stops").WithRetryAfter(time.Second)
	if diff := cmp.Diff(want, refusal); diff != "" {
		t.Error(diff)
	}
}
