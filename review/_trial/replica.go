package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// replica is a model replica or a plain service's replica. It runs as many requests at
// once as it has slots, and the others wait.
type replica struct {
	deployment *deployment
	id         string
	service    string
	slots      int
	listener   net.Listener
	// run answers a request that has a slot.
	run func(w http.ResponseWriter, request *http.Request, id string)
	// shed, if it is set, is asked before a request gets a slot. True means that the
	// replica rejects the request, and seconds how long it wants no others, if not "".
	shed func(request *http.Request) (rejects bool, seconds string)

	places chan struct{}
	mu     sync.Mutex
	runs   map[string]int
	ends   map[string]string
}

func (d *deployment) startReplica(id, service string, slots int, run func(http.ResponseWriter, *http.Request, string)) (*replica, error) {
	listener, err := net.Listen("tcp", d.ip+".3:0")
	if err != nil {
		return nil, err
	}
	r := &replica{deployment: d, id: id, service: service, slots: slots, listener: listener, run: run, places: make(chan struct{}, slots), runs: map[string]int{}, ends: map[string]string{}}
	go func() { _ = http.Serve(listener, r) }()
	born := time.Now().UnixMilli()
	register := func(sequence int) {
		d.write("servers/"+id, object{
			"service": service, "address": listener.Addr().String(), "zone": "zone-bern", "version": "v1", "slots": slots,
			"state": "ready", "cold_remaining_ms": 0, "sequence": sequence, "born": born,
		})
	}
	register(1)
	go func() {
		for n := 2; ; n++ {
			time.Sleep(1200 * time.Millisecond)
			register(n)
		}
	}()
	return r, nil
}

func (r *replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Filbertusher-Attempt-Id")
	if request.URL.Path == "/healthz" {
		w.Header().Set("X-Filbertusher-Instance-Id", r.id)
		return
	}
	w.Header().Set("X-Filbertusher-Attempt-Id", id)
	if request.Header.Get("X-Filbertusher-Expect-Instance") != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	if r.shed != nil {
		if rejects, seconds := r.shed(request); rejects {
			w.Header().Set("X-Filbertusher-Not-Executed", "1")
			if seconds != "" {
				w.Header().Set("Retry-After", seconds)
			}
			w.WriteHeader(http.StatusServiceUnavailable)
			r.deployment.record.add("replica %s rejects %s", r.id, id)
			return
		}
	}
	select {
	case r.places <- struct{}{}:
	case <-request.Context().Done():
		return
	}
	defer func() { <-r.places }()
	r.mu.Lock()
	r.runs[id]++
	r.mu.Unlock()
	r.deployment.record.add("replica %s runs %s", r.id, id)
	w.Header().Set("X-Filbertusher-Response-Seal", r.id+"."+id)
	r.run(w, request, id)
	end := "answered"
	if request.Context().Err() != nil {
		end = "its connection was closed while it worked"
	}
	r.mu.Lock()
	r.ends[id] = end
	r.mu.Unlock()
	r.deployment.record.add("replica %s ends %s: %s", r.id, id, end)
}

func (r *replica) ran(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id] > 0
}

// answerAfter answers with a short body.
func answerAfter(wait time.Duration) func(http.ResponseWriter, *http.Request, string) {
	return func(w http.ResponseWriter, request *http.Request, id string) {
		select {
		case <-time.After(wait):
		case <-request.Context().Done():
			return
		}
		fmt.Fprintf(w, "answer to %s", id)
	}
}

// stream sends the number of events that events returns, one each interval.
func stream(interval time.Duration, events func(request *http.Request) int) func(http.ResponseWriter, *http.Request, string) {
	return func(w http.ResponseWriter, request *http.Request, id string) {
		w.Header().Set("Content-Type", "text/event-stream")
		first, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
		for n := first + 1; n <= events(request); n++ {
			select {
			case <-time.After(interval):
			case <-request.Context().Done():
				return
			}
			fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n)
			_ = http.NewResponseController(w).Flush()
		}
	}
}

// client is a connection of a client. id is that of the last request.
type client struct {
	net.Conn
	reader *bufio.Reader
	record *record
	id     string
}

func (d *deployment) dialClient(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{Conn: conn, reader: bufio.NewReader(conn), record: d.record}, nil
}

// send writes a request. header holds further lines that end with CRLF.
func (c *client) send(method, path, id string, deadline time.Duration, header string, body []byte) error {
	c.note(method, path, id, len(body))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Filbertusher-Attempt-Id: %s\r\nX-Filbertusher-Deadline-Ms: %d\r\nContent-Length: %d\r\n%s\r\n",
		method, path, siteHost, id, deadline.Milliseconds(), len(body), header)
	_ = c.SetDeadline(time.Now().Add(deadline + 2*time.Second))
	if _, err := io.WriteString(c, head); err != nil {
		return err
	}
	if len(body) == 0 {
		return nil
	}
	_, err := c.Write(body)
	return err
}

// answer is what a client received. err is set if the answer is not complete.
type answer struct {
	status int
	seal   string
	body   string
	closes bool
	err    error
}

func (c *client) receive(method string) answer {
	got := c.readAnswer(method)
	c.record.add("client got for %s: %v", c.id, got)
	return got
}

// note records that a request is sent.
func (c *client) note(method, path, id string, bytes int) {
	c.id = id
	c.record.add("client sends %s: %s %s, %d bytes of body", id, method, path, bytes)
}

func (c *client) readAnswer(method string) answer {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, seal: response.Header.Get("X-Filbertusher-Response-Seal"), body: string(body), closes: response.Close, err: err}
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("status %d, %d bytes, then no end: %v", a.status, len(a.body), a.err)
	}
	return fmt.Sprintf("status %d, %d bytes, complete", a.status, len(a.body))
}
