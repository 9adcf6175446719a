package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// reply is what a client got.
type reply struct {
	id     string
	sent   time.Time
	took   time.Duration
	status int
	body   string
	header http.Header
	err    error
}

func (r *reply) served() bool {
	return r.err == nil && r.status >= 200 && r.status < 300 && r.header.Get("X-Filbertusher-Response-Seal") != ""
}

// call sends one request of a client on a connection of its own.
func (w *world) call(g *gatewayProcess, method, target, key, body string, deadline time.Duration, header ...string) *reply {
	id := fmt.Sprintf("a%06x%010x", w.requests.Add(1), rand.Uint64()>>24)
	result := &reply{id: id, sent: time.Now()}
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	request, err := http.NewRequest(method, "http://"+g.callers+target, reader)
	if err != nil {
		result.err = err
		return result
	}
	request.Host = "shop.example"
	request.Header.Set("X-Filbertusher-Attempt-Id", id)
	request.Header.Set("X-Filbertusher-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	request.Header.Set("X-Filbertusher-Credential", key)
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := http.Client{Transport: transport, Timeout: deadline + 500*time.Millisecond}
	response, err := client.Do(request)
	if err != nil {
		result.err, result.took = err, time.Since(result.sent)
		return result
	}
	text, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	result.status, result.header, result.body, result.err, result.took = response.StatusCode, response.Header, string(text), err, time.Since(result.sent)
	return result
}

// traffic sends requests at an even rate to the gateways that pick returns until stop is
// closed, and returns all replies.
func (w *world) traffic(stop <-chan struct{}, interval time.Duration, send func() *reply) []*reply {
	var mu sync.Mutex
	var replies []*reply
	var pending sync.WaitGroup
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			pending.Wait()
			return replies
		case <-ticker.C:
			pending.Go(func() {
				if r := send(); r != nil {
					mu.Lock()
					replies = append(replies, r)
					mu.Unlock()
				}
			})
		}
	}
}

func (w *world) noteReply(what string, r *reply) {
	outcome := fmt.Sprint(r.status)
	if r.err != nil {
		outcome = "no whole answer (" + strings.SplitN(r.err.Error(), ": ", 2)[0] + ")"
	}
	w.note("client: %s %s sent at %.3f, after %d ms %s", what, r.id, r.sent.Sub(w.began).Seconds(), r.took.Milliseconds(), outcome)
}
