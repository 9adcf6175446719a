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
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"filbertusher/internal/config"
	"filbertusher/internal/standin/engine"
	"filbertusher/internal/standin/fault"
	"filbertusher/internal/standin/fleet"
	"filbertusher/pkg/usher"
)

// pollDelay is the pause between two looks at a stand-in's counters.
const pollDelay = 5 * time.Millisecond

// TestFaults runs each script against processes of its own with a proxy on
// every link. A script says what a caller asks, what fails meanwhile, and what
// the caller must see.
func TestFaults(t *testing.T) {
	datadriven.Walk(t, "testdata/faults", func(t *testing.T, path string) {
		t.Parallel()
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		s := &script{ctx: ctx, proxies: fault.New(), asked: make(map[string]*asked)}
		defer s.close()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return s.run(t, d)
		})
	})
}

// script is the state of one running script.
type script struct {
	ctx     context.Context
	whole   *fleet.Whole
	proxies *fault.Proxies
	asked   map[string]*asked
}

// asked is a caller's request that runs beside the script.
type asked struct {
	prompt string
	tokens int
	stream bool
	events atomic.Int64
	cancel context.CancelFunc
	done   chan struct{}
	result string
}

func (s *script) close() {
	for _, a := range s.asked {
		a.cancel()
		<-a.done
	}
	if s.whole != nil {
		s.whole.Close()
	}
	s.proxies.Close()
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	commands := map[string]func(*testing.T, *datadriven.TestData) (string, error){
		"start": s.start, "ask": s.ask, "order": s.order, "await": s.await, "result": s.result,
		"hangup": s.hangup, "process": s.process, "link": s.link, "totals": s.totals, "declare": s.declare, "executions": s.executions, "restart": s.restart,
	}
	command, ok := commands[d.Cmd]
	if !ok {
		d.Fatalf(t, "unknown command %s", d.Cmd)
	}
	out, err := command(t, d)
	if err != nil {
		d.Fatalf(t, "%s: %v", d.Cmd, err)
	}
	if out == "" {
		return ""
	}
	return out + "\n"
}

// start: "start engines=N [entries=N] [desks=N] [step=5ms]".
func (s *script) start(t *testing.T, d *datadriven.TestData) (string, error) {
	plan := fleet.Plan{Entries: 1, Via: s.proxies.Via}
	engines, step := 0, "5ms"
	d.MaybeScanArgs(t, "engines", &engines)
	d.MaybeScanArgs(t, "entries", &plan.Entries)
	d.MaybeScanArgs(t, "desks", &plan.Desks)
	d.MaybeScanArgs(t, "step", &step)
	for range engines {
		plan.Engines = append(plan.Engines, []string{"--decode-step", step})
	}
	whole, err := fleet.NewWhole(s.ctx, binaries, plan)
	s.whole = whole
	return "", err
}

// ask: "ask NAME tokens=N [stream] [entry=N] [timeout=10s]".
func (s *script) ask(t *testing.T, d *datadriven.TestData) (string, error) {
	name := d.CmdArgs[0].Key
	a := &asked{prompt: "question " + name, stream: d.HasArg("stream"), done: make(chan struct{})}
	d.ScanArgs(t, "tokens", &a.tokens)
	body, err := json.Marshal(engine.ChatRequest{
		Model: string(fleet.Model), MaxTokens: a.tokens, Stream: a.stream,
		Messages: []engine.Message{{Role: "user", Content: a.prompt}},
	})
	if err != nil {
		return "", err
	}
	request, err := s.request(t, d, a, "/v1/chat/completions", body)
	if err != nil {
		return "", err
	}
	s.asked[name] = a
	go a.run(request, a.checkChat)
	return "", nil
}

// order: "order NAME key=K [entry=N]" books at the ordering service.
func (s *script) order(t *testing.T, d *datadriven.TestData) (string, error) {
	var key string
	d.ScanArgs(t, "key", &key)
	a := &asked{prompt: "order " + key, done: make(chan struct{})}
	request, err := s.request(t, d, a, "/v1/services/orders/orders", []byte(a.prompt))
	if err != nil {
		return "", err
	}
	request.Header.Set("Idempotency-Key", key)
	s.asked[d.CmdArgs[0].Key] = a
	go a.run(request, a.checkOrder)
	return "", nil
}

func (s *script) request(t *testing.T, d *datadriven.TestData, a *asked, path string, body []byte) (*http.Request, error) {
	entry := 0
	d.MaybeScanArgs(t, "entry", &entry)
	ctx, cancel := context.WithCancel(s.ctx)
	a.cancel = cancel
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.whole.Entries[entry].Address+path, bytes.NewReader(body))
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

// run sends the request and judges what came of it.
func (a *asked) run(request *http.Request, check func(*http.Response) string) {
	defer close(a.done)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		a.result = "connection lost before the answer"
		return
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		body, _ := io.ReadAll(response.Body)
		a.result = strconv.Itoa(response.StatusCode) + " " + refusalIn(body)
		return
	}
	a.result = check(response)
}

func refusalIn(body []byte) string {
	var parsed struct{ Error usher.Refusal }
	if err := json.Unmarshal(body, &parsed); err != nil {
		return "unreadable error " + string(body)
	}
	return string(parsed.Error.Kind) + ", " + string(parsed.Error.Outcome)
}

// choices is the part of an answer or event that holds the text.
type choices struct {
	Choices []struct {
		Message engine.Message
		Delta   engine.Message
	}
}

func (a *asked) checkChat(response *http.Response) string {
	if a.stream {
		return a.checkStream(response.Body)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return "answer cut"
	}
	var parsed choices
	if err := json.Unmarshal(body, &parsed); err != nil || len(parsed.Choices) != 1 {
		return "DAMAGED " + string(body)
	}
	return a.judge(parsed.Choices[0].Message.Content)
}

func (a *asked) judge(text string) string {
	prompt := engine.ChatRequest{Messages: []engine.Message{{Role: "user", Content: a.prompt}}}
	if text != engine.Text(prompt.Prompt(), a.tokens) {
		return "DAMAGED " + text
	}
	return "whole"
}

func (a *asked) checkStream(body io.Reader) string {
	var text strings.Builder
	failed := ""
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return a.judge(text.String())
		}
		var event choices
		if err := json.Unmarshal([]byte(data), &event); err != nil || len(event.Choices) != 1 {
			failed = " with " + refusalIn([]byte(data))
			continue
		}
		text.WriteString(event.Choices[0].Delta.Content)
		a.events.Add(1)
	}
	if scanner.Err() == nil {
		return "ended like a whole answer" + failed
	}
	return "aborted" + failed
}

func (a *asked) checkOrder(response *http.Response) string {
	var booking struct{ Order string }
	if err := json.NewDecoder(response.Body).Decode(&booking); err != nil {
		return "answer cut"
	}
	if booking.Order != a.prompt {
		return "DAMAGED " + booking.Order
	}
	return "whole"
}

// await: "await NAME events=N" until the caller has received that many.
func (s *script) await(t *testing.T, d *datadriven.TestData) (string, error) {
	var events int
	d.ScanArgs(t, "events", &events)
	a := s.asked[d.CmdArgs[0].Key]
	return "", s.poll(func() (bool, error) {
		select {
		case <-a.done:
			if a.events.Load() < int64(events) {
				return false, fmt.Errorf("ended early: %s", a.result)
			}
		default:
		}
		return a.events.Load() >= int64(events), nil
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

// result: "result NAME" waits for the end of a request.
func (s *script) result(_ *testing.T, d *datadriven.TestData) (string, error) {
	a := s.asked[d.CmdArgs[0].Key]
	select {
	case <-a.done:
		return a.result, nil
	case <-s.ctx.Done():
		return "", s.ctx.Err()
	}
}

// hangup: "hangup NAME" ends the caller's connection.
func (s *script) hangup(_ *testing.T, d *datadriven.TestData) (string, error) {
	s.asked[d.CmdArgs[0].Key].cancel()
	return "", nil
}

// declare: "declare idempotent=true|false" changes the model service.
func (s *script) declare(t *testing.T, d *datadriven.TestData) (string, error) {
	var idempotent bool
	d.ScanArgs(t, "idempotent", &idempotent)
	service := usher.Service{Name: fleet.Advice, Kind: usher.ServiceModel, Model: fleet.Model, Idempotent: idempotent}
	version, err := s.whole.Put(s.ctx, config.KindService, string(fleet.Advice), service)
	if err != nil {
		return "", err
	}
	for _, entry := range s.whole.Entries {
		if _, err := entry.Await(s.ctx, "configInForce", fmt.Sprintf("version=%d", version)); err != nil {
			return "", err
		}
	}
	return "", nil
}

// executions prints how many requests the engines have begun to run.
func (s *script) executions(*testing.T, *datadriven.TestData) (string, error) {
	sum := 0
	for _, member := range s.whole.Engines {
		var seen engine.Totals
		if err := member.Inspect(s.ctx, "totals", &seen); err != nil {
			return "", err
		}
		sum += int(seen.Executions)
	}
	return strconv.Itoa(sum), nil
}

// serving returns the companion whose engine has begun to run a request.
func (s *script) serving() (string, error) {
	name := ""
	err := s.poll(func() (bool, error) {
		for i, member := range s.whole.Engines {
			var seen engine.Totals
			if err := member.Inspect(s.ctx, "totals", &seen); err != nil {
				return false, err
			}
			if seen.Executions > 0 {
				name = s.whole.Companions[i].Name
			}
		}
		return name != "", nil
	})
	return name, err
}

// restart: "restart N" kills the companion of engine N and starts another one,
// which is reached at the same address.
func (s *script) restart(_ *testing.T, d *datadriven.TestData) (string, error) {
	number, err := strconv.Atoi(d.CmdArgs[0].Key)
	if err != nil {
		return "", err
	}
	old := s.whole.Companions[number]
	old.Kill()
	backend, err := s.proxies.Address(s.whole.Engines[number].Name)
	if err != nil {
		return "", err
	}
	endpoint := usher.Endpoint{Name: usher.EndpointName("advice-" + strconv.Itoa(number)), AvailabilityZone: fleet.Zone}
	fresh, err := s.whole.Companion(s.whole.Store.Address, endpoint, backend, usher.ServiceModel)
	if err != nil {
		return "", err
	}
	s.whole.Companions[number] = fresh
	return "", s.proxies.Move(old.Name, fresh.Address)
}

// process: "process kill|freeze|wake NAME"; the name "serving" stands for the
// companion whose engine has begun to run a request.
func (s *script) process(_ *testing.T, d *datadriven.TestData) (string, error) {
	name := d.CmdArgs[1].Key
	if name == "serving" {
		var err error
		if name, err = s.serving(); err != nil {
			return "", err
		}
	}
	for _, member := range s.whole.Members() {
		if member.Name != name {
			continue
		}
		switch d.CmdArgs[0].Key {
		case "kill":
			member.Kill()
		case "freeze":
			member.Signal(syscall.SIGSTOP)
		case "wake":
			member.Signal(syscall.SIGCONT)
		}
		return "", nil
	}
	return "", fmt.Errorf("no process is called %s", name)
}

// link: "link cut|down|up|heal NAME" or "link toxic NAME type=T
// stream=upstream|downstream [attribute=N ...]".
func (s *script) link(_ *testing.T, d *datadriven.TestData) (string, error) {
	name := d.CmdArgs[1].Key
	switch d.CmdArgs[0].Key {
	case "cut":
		return "", s.proxies.Cut(name)
	case "down":
		return "", s.proxies.Down(name)
	case "up":
		return "", s.proxies.Up(name)
	case "heal":
		return "", s.proxies.Heal(s.ctx, name)
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
	return "", s.proxies.Add(name, toxic)
}

// totals: "totals engine=N name=value ..." waits until the engine's counters
// have these values, "totals desk=N key=value" until the desk's executions do.
func (s *script) totals(_ *testing.T, d *datadriven.TestData) (string, error) {
	number, err := strconv.Atoi(d.CmdArgs[0].Vals[0])
	if err != nil {
		return "", err
	}
	member, path := s.whole.Engines, "totals"
	if d.CmdArgs[0].Key == "desk" {
		member, path = s.whole.Desks, "executions"
	}
	return "", s.poll(func() (bool, error) {
		var seen map[string]int
		if err := member[number].Inspect(s.ctx, path, &seen); err != nil {
			return false, err
		}
		for _, arg := range d.CmdArgs[1:] {
			if strconv.Itoa(seen[arg.Key]) != arg.Vals[0] {
				return false, nil
			}
		}
		return true, nil
	})
}
