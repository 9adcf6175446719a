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

// target is one of the compared ways to reach the engines: directly, through
// forwarders, or through the product. Requests go to its addresses in turn.
type target struct {
	name      string
	addresses []string
	next      atomic.Uint64
	client    *http.Client
}

// maxIdleConns is the maximum number of idle connections that a client keeps open
// to one address.
const maxIdleConns = 4096

func newTarget(name string, addresses ...string) *target {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true}
	return &target{name: name, addresses: addresses, client: &http.Client{Transport: transport}}
}

// requestIDs is the counter for the IDs of requests. Without the product in between,
// an engine answers a repeated ID with the response to the earlier request.
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

// sample holds the latencies of one response, from the time when its request was
// sent. firstByte is the time to the first event if it is a stream.
type sample struct {
	firstByte time.Duration
	total     time.Duration
	// gaps holds the times between consecutive events of a stream.
	gaps []time.Duration
}

// UnexpectedResponseError is returned for a response that is not a complete success.
type UnexpectedResponseError struct {
	Target string
	Status int
	Body   string
}

// Error implements error.
func (e *UnexpectedResponseError) Error() string {
	return "target " + e.Target + " responded with status " + strconv.Itoa(e.Status) + " " + e.Body
}

// send sends one request and reads its response to the end.
func (t *target) send(ctx context.Context, body []byte, stream bool) (sample, error) {
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
		responseBody, _ := io.ReadAll(response.Body)
		return sample{}, &UnexpectedResponseError{Target: t.name, Status: response.StatusCode, Body: string(responseBody)}
	}
	if stream {
		return t.readStream(response.Body, started)
	}
	// Without streaming, the first byte of the response is that of its header.
	measured := sample{firstByte: time.Since(started)}
	_, err = io.Copy(io.Discard, response.Body)
	measured.total = time.Since(started)
	return measured, err
}

func (t *target) readStream(body io.Reader, started time.Time) (sample, error) {
	var measured sample
	last := started
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		line := scanner.Bytes()
		if !bytes.HasPrefix(line, []byte("data: ")) {
			continue
		}
		if string(line) == "data: [DONE]" {
			measured.total = time.Since(started)
			return measured, nil
		}
		now := time.Now()
		if measured.firstByte == 0 {
			measured.firstByte = now.Sub(started)
		} else {
			measured.gaps = append(measured.gaps, now.Sub(last))
		}
		last = now
	}
	return measured, &UnexpectedResponseError{Target: t.name, Status: http.StatusOK, Body: "the stream ended without [DONE]"}
}

// chat returns the body of a chat completions request with a prompt of the given
// size in bytes.
func chat(size, tokens int, stream bool) []byte {
	prompt := strings.Repeat("a question of some length ", size/26+1)[:size]
	encoded, _ := json.Marshal(engine.ChatRequest{
		Model: string(fleet.Model), MaxTokens: tokens, Stream: stream,
		Messages: []engine.Message{{Role: "user", Content: prompt}},
	})
	return encoded
}
