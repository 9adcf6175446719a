package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// star sends OPTIONS requests whose target, "*", no path_prefix begins. Without trouble the
// target is a path that no route has.
func star(r *rig) {
	var mu sync.Mutex
	ran := map[string]int{}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	r.must(err)
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			id := q.Header.Get("X-Filbertusher-Attempt-Id")
			mu.Lock()
			ran[id]++
			mu.Unlock()
			r.note("replica runs %s: %s %s", id, q.Method, q.RequestURI)
			w.Header().Set("X-Filbertusher-Attempt-Id", id)
			w.Header().Set("X-Filbertusher-Response-Seal", "seal-of-"+id)
			fmt.Fprintf(w, "answer to %s", id)
		}))
	}()
	r.register("i-1", "desk", listener.Addr().String(), 6, time.Now().UnixMilli())
	gateway := r.startGateway("edge-1", "127.0.56.1")
	time.Sleep(time.Second)
	target := "/nowhere/"
	if r.trouble {
		target = "*"
	}
	broken := 0
	for i := range 5 {
		for _, line := range []string{"GET /check/a", "OPTIONS " + target} {
			id := fmt.Sprintf("%04x%d", i, len(line))
			raw := line + " HTTP/1.1\r\nHost: site.example\r\nX-Filbertusher-Attempt-Id: " + id +
				"\r\nX-Filbertusher-Deadline-Ms: 1000\r\nX-Filbertusher-Credential: key\r\n\r\n"
			response, body, err := r.ask(gateway.frontend, raw)
			if err != nil {
				r.note("client: %s (%s): %v", line, id, err)
				continue
			}
			mu.Lock()
			runs := ran[id]
			mu.Unlock()
			seal := response.Header.Get("X-Filbertusher-Response-Seal")
			r.note("client: %s (%s): status %d, seal %q, %d bytes, runs %d", line, id, response.StatusCode, seal, len(body), runs)
			if response.StatusCode/100 == 2 && (seal == "" || runs == 0) {
				broken++
				r.note("MIXED: a success without the replica's seal")
			}
		}
	}
	if broken > 0 {
		r.end(exitBroken)
	}
	r.end(exitHeld)
}
