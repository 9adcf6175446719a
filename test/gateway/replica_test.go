package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"
)

// replica is a stand-in for a replica of the platform: it speaks its headers,
// runs a number of requests at once in the order of arrival, and refuses what
// is beyond its queue.
type replica struct {
	id      string
	service string
	// via is where gateways reach it, if not directly.
	via    string
	events int
	places chan struct{}
	queue  int
	server *httptest.Server

	mu sync.Mutex
	// behaviour of the requests to come.
	pace     time.Duration
	work     time.Duration
	failures int
	resets   int
	cutAfter int
	// pause is how long a stream stands still after its second event.
	pause time.Duration
	// poison is the path of requests that crash the replica for good.
	poison  string
	runs    map[string]int
	headers []http.Header
	began   []began
	waiting int
	left    int
}

// began is when a request of a workspace began to run.
type began struct {
	at        time.Time
	workspace string
}

func newReplica(t *testing.T, id, service string, slots, events int) *replica {
	t.Helper()
	r := &replica{
		id: id, service: service, events: events, places: make(chan struct{}, slots), queue: slots,
		runs: make(map[string]int), pace: time.Millisecond, work: time.Millisecond, cutAfter: -1,
	}
	r.server = httptest.NewServer(r)
	t.Cleanup(func() {
		r.server.CloseClientConnections()
		r.server.Close()
	})
	return r
}

func (r *replica) address() string { return r.server.Listener.Addr().String() }

func (r *replica) set(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

// ran returns how often the request began to run here.
func (r *replica) ran(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

func (r *replica) total() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, runs := range r.runs {
		n += runs
	}
	return n
}

func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Filbertusher-Attempt-Id")
	w.Header().Set("X-Filbertusher-Attempt-Id", id)
	if expected := q.Header.Get("X-Filbertusher-Expect-Instance"); expected != r.id {
		w.Header().Set("X-Filbertusher-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !r.enter(q) {
		w.Header().Set("X-Filbertusher-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-r.places }()
	r.run(w, q, id)
}

// enter waits for a place, unless too many wait.
func (r *replica) enter(q *http.Request) bool {
	r.mu.Lock()
	full := r.waiting >= r.queue
	r.waiting++
	r.mu.Unlock()
	defer r.set(func() { r.waiting-- })
	if full {
		return false
	}
	select {
	case r.places <- struct{}{}:
		return true
	case <-q.Context().Done():
		return false
	}
}

func (r *replica) run(w http.ResponseWriter, q *http.Request, id string) {
	r.mu.Lock()
	r.runs[id]++
	r.headers = append(r.headers, q.Header.Clone())
	r.began = append(r.began, began{time.Now(), q.Header.Get("X-Filbertusher-Tenant-Id")})
	fails, resets := r.failures > 0, r.resets > 0
	if fails {
		r.failures--
	}
	if resets {
		r.resets--
	}
	work, pace, cut := r.work, r.pace, r.cutAfter
	poisoned := r.poison != "" && q.URL.Path == r.poison
	r.mu.Unlock()
	if poisoned {
		r.crash(w)
		return
	}
	select {
	case <-time.After(work):
	case <-q.Context().Done():
		r.set(func() { r.left++ })
		return
	}
	w.Header().Set("X-Filbertusher-Response-Seal", "seal-"+id)
	switch {
	case resets:
		r.reset(w)
	case fails:
		w.WriteHeader(http.StatusInternalServerError)
	case r.events > 0:
		r.stream(w, q, id, pace, cut)
	default:
		_, _ = fmt.Fprintf(w, "answer to %s %s", id, q.URL.RequestURI())
	}
}

// crash ends the replica: nobody listens any more, and all connections break.
func (r *replica) crash(w http.ResponseWriter) {
	_ = r.server.Listener.Close()
	r.reset(w)
	r.server.CloseClientConnections()
}

// reset breaks the connection off without an answer.
func (r *replica) reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

func (r *replica) stream(w http.ResponseWriter, q *http.Request, id string, pace time.Duration, cut int) {
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	for i := from + 1; i <= r.events; i++ {
		if cut >= 0 && i > cut {
			// Half an event, and then nothing.
			_, _ = fmt.Fprintf(w, "id: %d\ndata: ", i)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", i, id, i)
		_ = http.NewResponseController(w).Flush()
		wait := pace
		if i == 2 {
			r.set(func() { wait += r.pause })
		}
		select {
		case <-time.After(wait):
		case <-q.Context().Done():
			r.set(func() { r.left++ })
			return
		}
	}
}

// wholeStream is what a caller should get of a stream.
func (r *replica) wholeStream(id string) string {
	text := ""
	for i := 1; i <= r.events; i++ {
		text += fmt.Sprintf("id: %d\ndata: %s-%d\n\n", i, id, i)
	}
	return text
}
