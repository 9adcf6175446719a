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

// Sender sends one request and returns its response. There is one implementation
// for the product and one for the baselines, which choose an engine and send the
// request to it directly.
type Sender interface {
	Send(ctx context.Context, arrival *Arrival) Response
}

// Response is the response to a request, as the client saw it. FirstToken and Total
// are measured from the time when the request was sent.
type Response struct {
	Status     int
	Text       string
	FirstToken time.Duration
	Total      time.Duration
	Refusal    *usher.Refusal
	// Complete is set if the response is complete: a stream ended with [DONE], or a
	// body that was not streamed could be decoded.
	Complete bool
}

func newClient() *http.Client {
	const connections = 512
	// Idle connections are kept open, up to this number for each address.
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections, DisableCompression: true}}
}

// entrySender sends requests to the product's entries in turn, as the platform's
// load balancer does.
type entrySender struct {
	client    *http.Client
	addresses []string
	next      atomic.Uint64
}

// callerGrace is how long past its deadline a request is awaited, so that the
// product can report the missed deadline itself.
const callerGrace = 2 * time.Second

// NewEntrySender returns a sender to the product's entries.
func NewEntrySender(addresses []string) Sender {
	return &entrySender{client: newClient(), addresses: addresses}
}

// Send implements Sender.
func (e *entrySender) Send(ctx context.Context, arrival *Arrival) Response {
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

// exchange posts a chat completions request and reads its response.
func exchange(ctx context.Context, client *http.Client, address string, arrival *Arrival, headers map[string]string) (response Response) {
	body, err := json.Marshal(&arrival.Chat)
	if err != nil {
		return Response{}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return Response{}
	}
	request.Header.Set("Content-Type", "application/json")
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	started := time.Now()
	defer func() { response.Total = time.Since(started) }()
	httpResponse, err := client.Do(request)
	if err != nil {
		return Response{}
	}
	defer httpResponse.Body.Close()
	response.Status = httpResponse.StatusCode
	switch {
	case httpResponse.StatusCode != http.StatusOK:
		response.Refusal = readRefusal(httpResponse.Body)
	case arrival.Chat.Stream:
		readStream(httpResponse.Body, started, &response)
	default:
		readBody(httpResponse.Body, started, &response)
	}
	return response
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

// completionBody holds the fields that are read from a stream event (Delta) or from
// a complete response body (Message).
type completionBody struct {
	Choices []struct {
		Delta   engine.Message `json:"delta"`
		Message engine.Message `json:"message"`
	} `json:"choices"`
}

func readStream(body io.Reader, started time.Time, response *Response) {
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
			response.Refusal = readRefusal(strings.NewReader(data))
		case data == "[DONE]":
			response.Complete = true
		default:
			if response.FirstToken == 0 {
				response.FirstToken = time.Since(started)
			}
			var event completionBody
			if json.Unmarshal([]byte(data), &event) == nil && len(event.Choices) > 0 {
				text.WriteString(event.Choices[0].Delta.Content)
			}
		}
	}
	response.Text = text.String()
}

func readBody(body io.Reader, started time.Time, response *Response) {
	var completion completionBody
	if json.NewDecoder(body).Decode(&completion) != nil || len(completion.Choices) == 0 {
		return
	}
	response.FirstToken = time.Since(started)
	response.Text = completion.Choices[0].Message.Content
	response.Complete = true
}

// newResult returns the result of a request. It compares the text of the response
// with the text that the simulated engine computes for the prompt.
func newResult(run Run, arrival *Arrival, sent time.Duration, response *Response) *Result {
	r := &Result{
		Run: run, Sent: sent, Workspace: arrival.Workspace,
		Tier: arrival.Class.Tier, Rank: arrival.Class.Rank, Class: arrival.Class.Name,
		PromptTokens: arrival.PromptTokens, AnswerTokens: usher.Tokens(arrival.Chat.MaxTokens),
		Status: response.Status, FirstToken: response.FirstToken, Total: response.Total, Deadline: arrival.Class.Deadline,
		Outcome: usher.OutcomeUnknown,
	}
	if response.Refusal != nil {
		r.Outcome, r.Refusal = response.Refusal.Outcome, response.Refusal.Kind
		return r
	}
	if !response.Complete {
		return r
	}
	r.Outcome = usher.OutcomeRan
	r.Damaged = response.Text != engine.AnswerText(arrival.Chat.Prompt(), arrival.Chat.MaxTokens)
	r.OnTime = !r.Damaged && response.Total <= arrival.Class.Deadline
	return r
}

// baselineSender is a baseline policy: it sends requests to the engines directly,
// which admit them in first-in, first-out order.
type baselineSender struct {
	client       *http.Client
	engines      []string
	chooseEngine func() int
	requestIDs   atomic.Uint64
}

// NewRoundRobinSender returns the baseline that sends to the engines in turn.
func NewRoundRobinSender(engines []string) Sender {
	s := &baselineSender{client: newClient(), engines: engines}
	var turn atomic.Uint64
	s.chooseEngine = func() int { return int(turn.Add(1) % uint64(len(engines))) }
	return s
}

// reportInterval is the time between two reads of the engines' load reports by the
// least-load baseline.
const reportInterval = 500 * time.Millisecond

// NewLeastLoadSender returns the baseline that sends to the engine with the lowest
// reported load. The reports lag by as much as the engines are configured to.
func NewLeastLoadSender(ctx context.Context, engines []string) Sender {
	s := &baselineSender{client: newClient(), engines: engines}
	loads := make([]atomic.Int64, len(engines))
	var turn atomic.Uint64
	go func() {
		for ctx.Err() == nil {
			for i, address := range engines {
				loads[i].Store(s.readLoad(ctx, address))
			}
			time.Sleep(reportInterval)
		}
	}()
	s.chooseEngine = func() int {
		// Start at a different engine each time, so that the first engine is not
		// chosen in every tie.
		first := int(turn.Add(1) % uint64(len(engines)))
		leastLoaded := first
		for i := range engines {
			at := (first + i) % len(engines)
			if loads[at].Load() < loads[leastLoaded].Load() {
				leastLoaded = at
			}
		}
		return leastLoaded
	}
	return s
}

func (s *baselineSender) readLoad(ctx context.Context, address string) int64 {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/load", nil)
	if err != nil {
		return 0
	}
	httpResponse, err := s.client.Do(request)
	if err != nil {
		return 0
	}
	defer httpResponse.Body.Close()
	var report engine.Load
	_ = json.NewDecoder(httpResponse.Body).Decode(&report)
	return int64(report.Running + report.Waiting)
}

// Send implements Sender. A request that exceeds its deadline is cancelled in the
// engine, so that the baseline spends no work on requests that nobody waits for.
func (s *baselineSender) Send(ctx context.Context, arrival *Arrival) Response {
	address := s.engines[s.chooseEngine()]
	id := "baseline-" + strconv.FormatUint(s.requestIDs.Add(1), 10)
	deadlineCtx, cancel := context.WithTimeout(ctx, arrival.Class.Deadline)
	defer cancel()
	response := exchange(deadlineCtx, s.client, address, arrival, map[string]string{engine.HeaderRequestID: id})
	if !response.Complete {
		s.cancel(ctx, address, id)
	}
	return response
}

func (s *baselineSender) cancel(ctx context.Context, address, id string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+address+"/v1/requests/"+id, nil)
	if err != nil {
		return
	}
	if httpResponse, err := s.client.Do(request); err == nil {
		_ = httpResponse.Body.Close()
	}
}
