package path_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"filbertusher/internal/config"
	"filbertusher/internal/standin/engine"
	"filbertusher/internal/standin/fault"
	"filbertusher/internal/standin/fleet"
	"filbertusher/pkg/usher"
)

// pollDelay is the pause between two polls of a process's counters.
const pollDelay = 5 * time.Millisecond

// TestFaults runs each script against its own processes, with a fault-injecting
// proxy on every link. A script states which requests callers send, which faults
// occur meanwhile, and what the callers must receive.
func TestFaults(t *testing.T) {
	datadriven.Walk(t, "testdata/faults", func(t *testing.T, path string) {
		t.Parallel()
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		s := &script{ctx: ctx, proxies: fault.New(), requests: make(map[string]*callerRequest)}
		defer s.close()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return s.run(t, d)
		})
	})
}

// script is the state of a running script. requests holds the requests by the
// names that the script gives them.
type script struct {
	ctx      context.Context
	cluster  *fleet.Deployment
	proxies  *fault.Proxies
	requests map[string]*callerRequest
}

// callerRequest is a request that runs concurrently with the script. events counts
// the stream events received so far. result is set when done is closed.
type callerRequest struct {
	prompt string
	tokens int
	stream bool
	events atomic.Int64
	cancel context.CancelFunc
	done   chan struct{}
	result string
}

func (s *script) close() {
	for _, r := range s.requests {
		r.cancel()
		<-r.done
	}
	if s.cluster != nil {
		s.cluster.Close()
	}
	s.proxies.Close()
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	directives := map[string]func(*testing.T, *datadriven.TestData) (string, error){
		"start": s.start, "chat": s.chat, "order": s.order, "await": s.awaitEvents, "result": s.awaitResult,
		"disconnect": s.disconnect, "process": s.signalProcess, "link": s.changeLink, "await-totals": s.awaitTotals, "configure": s.configure, "executions": s.countExecutions, "restart": s.restartCompanion,
	}
	directive, ok := directives[d.Cmd]
	if !ok {
		d.Fatalf(t, "unknown directive %s", d.Cmd)
	}
	out, err := directive(t, d)
	if err != nil {
		d.Fatalf(t, "%s: %v", d.Cmd, err)
	}
	if out == "" {
		return ""
	}
	return out + "\n"
}

// start implements "start engines=N [entries=N] [desks=N] [step=5ms]", where desks
// is the number of ordering services and step the duration of an engine's decode
// step.
func (s *script) start(t *testing.T, d *datadriven.TestData) (string, error) {
	plan := fleet.Plan{Entries: 1, Proxy: s.proxies.StartProxy}
	engines, step := 0, "5ms"
	d.MaybeScanArgs(t, "engines", &engines)
	d.MaybeScanArgs(t, "entries", &plan.Entries)
	d.MaybeScanArgs(t, "desks", &plan.OrderServices)
	d.MaybeScanArgs(t, "step", &step)
	for range engines {
		plan.Engines = append(plan.Engines, []string{"--decode-step", step})
	}
	cluster, err := fleet.Deploy(s.ctx, binaries, plan)
	s.cluster = cluster
	return "", err
}

// chat implements "chat NAME tokens=N [stream] [entry=N] [timeout=10s]", which
// sends a chat completions request without waiting for the response.
func (s *script) chat(t *testing.T, d *datadriven.TestData) (string, error) {
	name := d.CmdArgs[0].Key
	r := &callerRequest{prompt: "question " + name, stream: d.HasArg("stream"), done: make(chan struct{})}
	d.ScanArgs(t, "tokens", &r.tokens)
	body, err := json.Marshal(engine.ChatRequest{
		Model: string(fleet.Model), MaxTokens: r.tokens, Stream: r.stream,
		Messages: []engine.Message{{Role: "user", Content: r.prompt}},
	})
	if err != nil {
		return "", err
	}
	request, err := s.newRequest(t, d, r, "/v1/chat/completions", body)
	if err != nil {
		return "", err
	}
	s.requests[name] = r
	go r.send(request, r.checkChat)
	return "", nil
}

// order implements "order NAME key=K [entry=N] [timeout=10s]", which sends an order
// with an idempotency key to the ordering service.
func (s *script) order(t *testing.T, d *datadriven.TestData) (string, error) {
	var key string
	d.ScanArgs(t, "key", &key)
	r := &callerRequest{prompt: "order " + key, done: make(chan struct{})}
	request, err := s.newRequest(t, d, r, "/v1/services/orders/orders", []byte(r.prompt))
	if err != nil {
		return "", err
	}
	request.Header.Set("Idempotency-Key", key)
	s.requests[d.CmdArgs[0].Key] = r
	go r.send(request, r.checkOrder)
	return "", nil
}

func (s *script) newRequest(t *testing.T, d *datadriven.TestData, r *callerRequest, path string, body []byte) (*http.Request, error) {
	entry := 0
	d.MaybeScanArgs(t, "entry", &entry)
	ctx, cancel := context.WithCancel(s.ctx)
	r.cancel = cancel
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.cluster.Entries[entry].Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+fleet.TokenOf(fleet.Regenfass))
	request.Header.Set("Content-Type", "application/json")
	if d.HasArg("timeout") {
		var timeout string
		d.ScanArgs(t, "timeout", &timeout)
		request.Header.Set("Filbertusher-Timeout", timeout)
	}
	return request, nil
}

// send sends the request and sets the result: "whole" for a complete and correct
// response, or else what is wrong with it.
func (r *callerRequest) send(request *http.Request, check func(*http.Response) string) {
	defer close(r.done)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		r.result = "connection lost before the answer"
		return
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		body, _ := io.ReadAll(response.Body)
		r.result = strconv.Itoa(response.StatusCode) + " " + describeRefusal(body)
		return
	}
	r.result = check(response)
}

func describeRefusal(body []byte) string {
	var parsed struct{ Error usher.Refusal }
	if err := json.Unmarshal(body, &parsed); err != nil {
		return "malformed error response " + string(body)
	}
	return string(parsed.Error.Kind) + ", " + string(parsed.Error.Outcome)
}

// chatResponse is the part of a response or stream event that contains the text.
type chatResponse struct {
	Choices []struct {
		Message engine.Message
		Delta   engine.Message
	}
}

func (r *callerRequest) checkChat(response *http.Response) string {
	if r.stream {
		return r.checkStream(response.Body)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return "response incomplete"
	}
	var parsed chatResponse
	if err := json.Unmarshal(body, &parsed); err != nil || len(parsed.Choices) != 1 {
		return "CORRUPTED " + string(body)
	}
	return r.checkText(parsed.Choices[0].Message.Content)
}

func (r *callerRequest) checkText(text string) string {
	prompt := engine.ChatRequest{Messages: []engine.Message{{Role: "user", Content: r.prompt}}}
	if text != engine.AnswerText(prompt.Prompt(), r.tokens) {
		return "CORRUPTED " + text
	}
	return "whole"
}

func (r *callerRequest) checkStream(body io.Reader) string {
	var text strings.Builder
	failed := ""
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return r.checkText(text.String())
		}
		var event chatResponse
		if err := json.Unmarshal([]byte(data), &event); err != nil || len(event.Choices) != 1 {
			failed = " with " + describeRefusal([]byte(data))
			continue
		}
		text.WriteString(event.Choices[0].Delta.Content)
		r.events.Add(1)
	}
	if scanner.Err() == nil {
		return "ended cleanly without [DONE]" + failed
	}
	return "aborted" + failed
}

func (r *callerRequest) checkOrder(response *http.Response) string {
	var booking struct{ Order string }
	if err := json.NewDecoder(response.Body).Decode(&booking); err != nil {
		return "response incomplete"
	}
	if booking.Order != r.prompt {
		return "CORRUPTED " + booking.Order
	}
	return "whole"
}

// awaitEvents implements "await NAME events=N", which waits until the caller has
// received that many events.
func (s *script) awaitEvents(t *testing.T, d *datadriven.TestData) (string, error) {
	var events int
	d.ScanArgs(t, "events", &events)
	r := s.requests[d.CmdArgs[0].Key]
	return "", s.poll(func() (bool, error) {
		select {
		case <-r.done:
			if r.events.Load() < int64(events) {
				return false, fmt.Errorf("the request ended before that: %s", r.result)
			}
		default:
		}
		return r.events.Load() >= int64(events), nil
	})
}

func (s *script) poll(ready func() (bool, error)) error {
	for {
		ok, err := ready()
		if ok || err != nil {
			return err
		}
		select {
		case <-time.After(pollDelay):
		case <-s.ctx.Done():
			return s.ctx.Err()
		}
	}
}

// awaitResult implements "result NAME", which waits for the end of a request and
// prints its result.
func (s *script) awaitResult(_ *testing.T, d *datadriven.TestData) (string, error) {
	r := s.requests[d.CmdArgs[0].Key]
	select {
	case <-r.done:
		return r.result, nil
	case <-s.ctx.Done():
		return "", s.ctx.Err()
	}
}

// disconnect implements "disconnect NAME", which closes the caller's connection.
func (s *script) disconnect(_ *testing.T, d *datadriven.TestData) (string, error) {
	s.requests[d.CmdArgs[0].Key].cancel()
	return "", nil
}

// configure implements "configure idempotent=true|false", which changes the model
// service and waits until every entry applies the change.
func (s *script) configure(t *testing.T, d *datadriven.TestData) (string, error) {
	var idempotent bool
	d.ScanArgs(t, "idempotent", &idempotent)
	service := usher.Service{Name: fleet.Advice, Kind: usher.ServiceModel, Model: fleet.Model, Idempotent: idempotent}
	version, err := s.cluster.Put(s.ctx, config.KindService, string(fleet.Advice), service)
	if err != nil {
		return "", err
	}
	for _, entry := range s.cluster.Entries {
		if _, err := entry.Await(s.ctx, "configInForce", fmt.Sprintf("version=%d", version)); err != nil {
			return "", err
		}
	}
	return "", nil
}

// countExecutions implements "executions", which prints how many requests all
// engines together have begun to run.
func (s *script) countExecutions(*testing.T, *datadriven.TestData) (string, error) {
	sum := 0
	for _, member := range s.cluster.Engines {
		var totals engine.Totals
		if err := member.GetControl(s.ctx, "totals", &totals); err != nil {
			return "", err
		}
		sum += int(totals.Executions)
	}
	return strconv.Itoa(sum), nil
}

// servingCompanion returns the name of the companion whose engine has begun to run
// a request.
func (s *script) servingCompanion() (string, error) {
	name := ""
	err := s.poll(func() (bool, error) {
		for i, member := range s.cluster.Engines {
			var totals engine.Totals
			if err := member.GetControl(s.ctx, "totals", &totals); err != nil {
				return false, err
			}
			if totals.Executions > 0 {
				name = s.cluster.Companions[i].Name
			}
		}
		return name != "", nil
	})
	return name, err
}

// restartCompanion implements "restart N", which kills the companion of engine N
// and starts another one that is reached at the same address.
func (s *script) restartCompanion(_ *testing.T, d *datadriven.TestData) (string, error) {
	number, err := strconv.Atoi(d.CmdArgs[0].Key)
	if err != nil {
		return "", err
	}
	old := s.cluster.Companions[number]
	old.Kill()
	backend, err := s.proxies.Address(s.cluster.Engines[number].Name)
	if err != nil {
		return "", err
	}
	endpoint := usher.Endpoint{Name: usher.EndpointName("advice-" + strconv.Itoa(number)), AvailabilityZone: fleet.Zone}
	companion, err := s.cluster.Companion(s.cluster.Store.Address, endpoint, backend, usher.ServiceModel)
	if err != nil {
		return "", err
	}
	s.cluster.Companions[number] = companion
	return "", s.proxies.Redirect(old.Name, companion.Address)
}

// signalProcess implements "process kill|freeze|resume NAME". The name "serving"
// stands for the companion whose engine has begun to run a request.
func (s *script) signalProcess(_ *testing.T, d *datadriven.TestData) (string, error) {
	name := d.CmdArgs[1].Key
	if name == "serving" {
		var err error
		if name, err = s.servingCompanion(); err != nil {
			return "", err
		}
	}
	for _, member := range s.cluster.Members() {
		if member.Name != name {
			continue
		}
		switch d.CmdArgs[0].Key {
		case "kill":
			member.Kill()
		case "freeze":
			return "", member.Freeze()
		case "resume":
			member.Resume()
		}
		return "", nil
	}
	return "", fmt.Errorf("there is no process %s", name)
}

// changeLink implements "link cut|down|up|heal NAME" and "link toxic NAME type=T
// stream=upstream|downstream [attribute=N ...]". cut closes every connection, down
// also refuses new ones until up, and toxic adds a fault of toxiproxy until heal.
func (s *script) changeLink(_ *testing.T, d *datadriven.TestData) (string, error) {
	name := d.CmdArgs[1].Key
	switch d.CmdArgs[0].Key {
	case "cut":
		return "", s.proxies.CloseConnections(name)
	case "down":
		return "", s.proxies.Down(name)
	case "up":
		return "", s.proxies.Up(name)
	case "heal":
		return "", s.proxies.RemoveToxics(s.ctx, name)
	}
	toxic := fault.Toxic{Attributes: make(map[string]int)}
	for _, arg := range d.CmdArgs[2:] {
		switch arg.Key {
		case "type":
			toxic.Type = arg.Vals[0]
		case "stream":
			toxic.Stream = fault.Direction(arg.Vals[0])
		default:
			value, err := strconv.Atoi(arg.Vals[0])
			if err != nil {
				return "", err
			}
			toxic.Attributes[arg.Key] = value
		}
	}
	return "", s.proxies.AddToxic(name, toxic)
}

// awaitTotals implements two directives. "await-totals engine=N counter=value ..."
// waits until the counters of an engine have these values. "await-totals desk=N
// key=value ..." waits until an ordering service has executed the orders with these
// keys that many times.
func (s *script) awaitTotals(_ *testing.T, d *datadriven.TestData) (string, error) {
	number, err := strconv.Atoi(d.CmdArgs[0].Vals[0])
	if err != nil {
		return "", err
	}
	members, path := s.cluster.Engines, "totals"
	if d.CmdArgs[0].Key == "desk" {
		members, path = s.cluster.OrderServices, "executions"
	}
	return "", s.poll(func() (bool, error) {
		var counters map[string]int
		if err := members[number].GetControl(s.ctx, path, &counters); err != nil {
			return false, err
		}
		for _, arg := range d.CmdArgs[1:] {
			if strconv.Itoa(counters[arg.Key]) != arg.Vals[0] {
				return false, nil
			}
		}
		return true, nil
	})
}
