package bench

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"filbertusher/internal/standin/engine"
	"filbertusher/internal/standin/fleet"
)

// target is one way to the engines: direct, through forwarders, or through the
// product. Requests go to its addresses in turn.
type target struct {
	name      string
	addresses []string
	next      atomic.Uint64
	client    *http.Client
}

// maxIdle bounds the connections that a client keeps open to one address.
const maxIdle = 4096

func newTarget(name string, addresses ...string) *target {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdle, DisableCompression: true}
	return &target{name: name, addresses: addresses, client: &http.Client{Transport: transport}}
}

// requestIDs numbers the requests that the engines see directly.
var requestIDs atomic.Uint64

func (t *target) request(ctx context.Context, body []byte) (*http.Request, error) {
	address := t.addresses[t.next.Add(1)%uint64(len(t.addresses))]
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+fleet.TokenOf(fleet.Regenfass))
	request.Header.Set(engine.HeaderRequestID, "bench-"+strconv.FormatUint(requestIDs.Add(1), 10))
	return request, nil
}

// sample is what a caller saw of one answer.
type sample struct {
	first time.Duration
	total time.Duration
	// gaps are the times between the events of a stream.
	gaps []time.Duration
}

// AnswerError is returned for an answer other than a whole one.
type AnswerError struct {
	Target string
	Status int
	Body   string
}

// Error implements error.
func (e *AnswerError) Error() string {
	return "target " + e.Target + " answered " + strconv.Itoa(e.Status) + " " + e.Body
}

// ask sends one request and reads its answer to the end.
func (t *target) ask(ctx context.Context, body []byte, stream bool) (sample, error) {
	request, err := t.request(ctx, body)
	if err != nil {
		return sample{}, err
	}
	started := time.Now()
	response, err := t.client.Do(request)
	if err != nil {
		return sample{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		answer, _ := io.ReadAll(response.Body)
		return sample{}, &AnswerError{Target: t.name, Status: response.StatusCode, Body: string(answer)}
	}
	if stream {
		return t.readStream(response.Body, started)
	}
	// The first byte of a whole answer comes with its header.
	seen := sample{first: time.Since(started)}
	_, err = io.Copy(io.Discard, response.Body)
	seen.total = time.Since(started)
	return seen, err
}

func (t *target) readStream(body io.Reader, started time.Time) (sample, error) {
	var seen sample
	last := started
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		line := scanner.Bytes()
		if !bytes.HasPrefix(line, []byte("data: ")) {
			continue
		}
		if string(line) == "data: [DONE]" {
			seen.total = time.Since(started)
			return seen, nil
		}
		now := time.Now()
		if seen.first == 0 {
			seen.first = now.Sub(started)
		} else {
			seen.gaps = append(seen.gaps, now.Sub(last))
		}
		last = now
	}
	return seen, &AnswerError{Target: t.name, Status: http.StatusOK, Body: "cut stream"}
}

// chat returns the body of a question of about size bytes.
func chat(size, tokens int, stream bool) []byte {
	prompt := strings.Repeat("a question of some length ", size/26+1)[:size]
	encoded, _ := json.Marshal(engine.ChatRequest{
		Model: string(fleet.Model), MaxTokens: tokens, Stream: stream,
		Messages: []engine.Message{{Role: "user", Content: prompt}},
	})
	return encoded
}
