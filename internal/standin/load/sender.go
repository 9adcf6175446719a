package load

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
	"filbertusher/pkg/usher"
)

// Sender sends one request and returns what came of it. Baselines are senders
// of their own, which choose an engine and speak to it directly.
type Sender interface {
	Send(ctx context.Context, arrival *Arrival) Answer
}

// Answer is what a caller saw.
type Answer struct {
	Status     int
	Text       string
	FirstToken time.Duration
	Total      time.Duration
	Refusal    *usher.Refusal
	// Whole is set when the answer had its mark of completeness.
	Whole bool
}

func newClient() *http.Client {
	const connections = 512
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections, DisableCompression: true}}
}

// entries sends to the product's entries in turn, as the platform's balancer
// does.
type entries struct {
	client    *http.Client
	addresses []string
	next      atomic.Uint64
}

// callerGrace is how much longer than the deadline a caller waits, so that the
// product can answer for itself.
const callerGrace = 2 * time.Second

// NewEntries returns a sender to the product.
func NewEntries(addresses []string) Sender {
	return &entries{client: newClient(), addresses: addresses}
}

// Send implements Sender.
func (e *entries) Send(ctx context.Context, arrival *Arrival) Answer {
	address := e.addresses[e.next.Add(1)%uint64(len(e.addresses))]
	ctx, cancel := context.WithTimeout(ctx, arrival.Class.Deadline+callerGrace)
	defer cancel()
	headers := map[string]string{
		"Authorization":        "Bearer " + fleet.TokenOf(arrival.Workspace),
		"Filbertusher-Tier":    string(arrival.Class.Tier),
		"Filbertusher-Timeout": arrival.Class.Deadline.String(),
	}
	return exchange(ctx, e.client, address, arrival, headers)
}

// exchange posts a chat completions request and reads its answer.
func exchange(ctx context.Context, client *http.Client, address string, arrival *Arrival, headers map[string]string) (answer Answer) {
	body, err := json.Marshal(&arrival.Chat)
	if err != nil {
		return Answer{}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return Answer{}
	}
	request.Header.Set("Content-Type", "application/json")
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	started := time.Now()
	defer func() { answer.Total = time.Since(started) }()
	response, err := client.Do(request)
	if err != nil {
		return Answer{}
	}
	defer response.Body.Close()
	answer.Status = response.StatusCode
	switch {
	case response.StatusCode != http.StatusOK:
		answer.Refusal = readRefusal(response.Body)
	case arrival.Chat.Stream:
		readStream(response.Body, started, &answer)
	default:
		readWhole(response.Body, started, &answer)
	}
	return answer
}

type refusalBody struct {
	Error *usher.Refusal `json:"error"`
}

func readRefusal(body io.Reader) *usher.Refusal {
	var refusal refusalBody
	if json.NewDecoder(body).Decode(&refusal) != nil {
		return nil
	}
	return refusal.Error
}

// chunk is the part of an event or of a whole answer that is checked.
type chunk struct {
	Choices []struct {
		Delta   engine.Message `json:"delta"`
		Message engine.Message `json:"message"`
	} `json:"choices"`
}

func readStream(body io.Reader, started time.Time, answer *Answer) {
	var text strings.Builder
	failed := false
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		line := scanner.Text()
		failed = failed || line == "event: error"
		data, ok := strings.CutPrefix(line, "data: ")
		switch {
		case !ok:
		case failed:
			answer.Refusal = readRefusal(strings.NewReader(data))
		case data == "[DONE]":
			answer.Whole = true
		default:
			if answer.FirstToken == 0 {
				answer.FirstToken = time.Since(started)
			}
			var event chunk
			if json.Unmarshal([]byte(data), &event) == nil && len(event.Choices) > 0 {
				text.WriteString(event.Choices[0].Delta.Content)
			}
		}
	}
	answer.Text = text.String()
}

func readWhole(body io.Reader, started time.Time, answer *Answer) {
	var whole chunk
	if json.NewDecoder(body).Decode(&whole) != nil || len(whole.Choices) == 0 {
		return
	}
	answer.FirstToken = time.Since(started)
	answer.Text = whole.Choices[0].Message.Content
	answer.Whole = true
}

// result checks an answer against what the engine computes for the prompt.
func result(run Run, arrival *Arrival, sent time.Duration, answer *Answer) *Result {
	r := &Result{
		Run: run, Sent: sent, Workspace: arrival.Workspace,
		Tier: arrival.Class.Tier, Rank: arrival.Class.Rank, Class: arrival.Class.Name,
		PromptTokens: arrival.Prompt, AnswerTokens: usher.Tokens(arrival.Chat.MaxTokens),
		Status: answer.Status, FirstToken: answer.FirstToken, Total: answer.Total, Deadline: arrival.Class.Deadline,
		Outcome: usher.OutcomeUnknown,
	}
	if answer.Refusal != nil {
		r.Outcome, r.Refusal = answer.Refusal.Outcome, answer.Refusal.Kind
		return r
	}
	if !answer.Whole {
		return r
	}
	r.Outcome = usher.OutcomeRan
	r.Damaged = answer.Text != engine.Text(arrival.Chat.Prompt(), arrival.Chat.MaxTokens)
	r.OnTime = !r.Damaged && answer.Total <= arrival.Class.Deadline
	return r
}

// balancer is a baseline: it forwards to engines directly, which admit what
// comes first in first out.
type balancer struct {
	client  *http.Client
	engines []string
	choose  func() int
	next    atomic.Uint64
}

// NewRoundRobin returns the baseline that takes the engines in turn.
func NewRoundRobin(engines []string) Sender {
	b := &balancer{client: newClient(), engines: engines}
	var turn atomic.Uint64
	b.choose = func() int { return int(turn.Add(1) % uint64(len(engines))) }
	return b
}

// reportInterval is how often the least-load baseline reads load reports.
const reportInterval = 500 * time.Millisecond

// NewLeastLoad returns the baseline that takes the engine with the least
// reported load; the reports are as old as the engines make them.
func NewLeastLoad(ctx context.Context, engines []string) Sender {
	b := &balancer{client: newClient(), engines: engines}
	loads := make([]atomic.Int64, len(engines))
	var turn atomic.Uint64
	go func() {
		for ctx.Err() == nil {
			for i, address := range engines {
				loads[i].Store(b.report(ctx, address))
			}
			time.Sleep(reportInterval)
		}
	}()
	b.choose = func() int {
		// Ties are broken in turn, or the first engine would get every tie.
		start := int(turn.Add(1) % uint64(len(engines)))
		best := start
		for i := range engines {
			at := (start + i) % len(engines)
			if loads[at].Load() < loads[best].Load() {
				best = at
			}
		}
		return best
	}
	return b
}

func (b *balancer) report(ctx context.Context, address string) int64 {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/load", nil)
	if err != nil {
		return 0
	}
	response, err := b.client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	var report engine.Load
	_ = json.NewDecoder(response.Body).Decode(&report)
	return int64(report.Running + report.Waiting)
}

// Send implements Sender. A request whose deadline passes is cancelled in the
// engine, so that the baseline does not decode for callers that are gone.
func (b *balancer) Send(ctx context.Context, arrival *Arrival) Answer {
	address := b.engines[b.choose()]
	id := "baseline-" + strconv.FormatUint(b.next.Add(1), 10)
	limit, cancel := context.WithTimeout(ctx, arrival.Class.Deadline)
	defer cancel()
	answer := exchange(limit, b.client, address, arrival, map[string]string{engine.HeaderRequestID: id})
	if !answer.Whole {
		b.cancel(ctx, address, id)
	}
	return answer
}

func (b *balancer) cancel(ctx context.Context, address, id string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+address+"/v1/requests/"+id, nil)
	if err != nil {
		return
	}
	if response, err := b.client.Do(request); err == nil {
		_ = response.Body.Close()
	}
}
