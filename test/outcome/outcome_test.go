// Package outcome_test runs orders that may run only once through separate
// processes while processes, links and the store fail. The ordering service's
// own count of executions is the judge.
package outcome_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"filbertusher/internal/config"
	"filbertusher/internal/journal"
	"filbertusher/internal/standin/fault"
	"filbertusher/internal/standin/fleet"
	"filbertusher/internal/standin/store"
	"filbertusher/pkg/usher"
)

var binaries fleet.Binaries

func TestMain(m *testing.M) { os.Exit(fleet.RunTests(&binaries, m.Run)) }

const (
	// testTimeout ends a test that hangs; no verdict depends on it otherwise.
	testTimeout = 2 * time.Minute
	// pollDelay is the pause between two looks at a counter.
	pollDelay = 5 * time.Millisecond
)

// TestScripts runs each script against processes of its own with a proxy on
// every link, also between the companions and the store.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		t.Parallel()
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		s := &script{ctx: ctx, proxies: fault.New(), orders: make(map[string]*order), names: make(map[string]string), tickets: make(map[string]string)}
		defer s.close()
		defer s.tell(t)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return s.run(t, d)
		})
		s.judge(t)
	})
}

// script is the state of one running script.
type script struct {
	ctx     context.Context
	whole   *fleet.Whole
	proxies *fault.Proxies
	orders  map[string]*order
	// names maps what a script calls a process to its name, tickets what it
	// calls a ticket to the ticket.
	names   map[string]string
	tickets map[string]string
	started int
}

// order is a caller's request that runs beside the script.
type order struct {
	key    string
	cancel context.CancelFunc
	done   chan struct{}
	result string
}

// tell shows what every process logged when the script failed.
func (s *script) tell(t *testing.T) {
	if !t.Failed() || s.whole == nil {
		return
	}
	for _, member := range s.whole.Members() {
		t.Logf("%s:\n%s", member.Name, member.Log())
	}
}

func (s *script) close() {
	for _, o := range s.orders {
		o.cancel()
		<-o.done
	}
	if s.whole != nil {
		s.whole.Close()
	}
	s.proxies.Close()
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	commands := map[string]func(*testing.T, *datadriven.TestData) (string, error){
		"start": s.start, "order": s.order, "ticket": s.ticket, "result": s.result, "hangup": s.hangup,
		"process": s.process, "holder": s.holder, "restart": s.restart, "link": s.link, "store": s.store,
		"either": s.either, "delay": s.delay, "executions": s.executions, "logged": s.logged,
	}
	command, ok := commands[d.Cmd]
	if !ok {
		d.Fatalf(t, "unknown command %s", d.Cmd)
	}
	out, err := command(t, d)
	if err != nil {
		d.Fatalf(t, "%s: %v", d.Cmd, err)
	}
	if out != "" {
		out += "\n"
	}
	return out
}

// start: "start desks=N [entries=N]".
func (s *script) start(t *testing.T, d *datadriven.TestData) (string, error) {
	plan := fleet.Plan{Entries: 2, Via: s.proxies.Via}
	d.MaybeScanArgs(t, "entries", &plan.Entries)
	d.ScanArgs(t, "desks", &plan.Desks)
	if d.HasArg("companion") {
		for _, arg := range d.CmdArgs {
			if arg.Key == "companion" {
				plan.CompanionArgs = append(plan.CompanionArgs, arg.Vals...)
			}
		}
	}
	whole, err := fleet.NewWhole(s.ctx, binaries, plan)
	s.whole = whole
	return "", err
}

// order: "order NAME key=K|ticket=T [entry=N] [body=B] [workspace=W] [timeout=S]".
func (s *script) order(t *testing.T, d *datadriven.TestData) (string, error) {
	var key, ticket, body, workspace, timeout string
	entry := 0
	d.MaybeScanArgs(t, "key", &key)
	d.MaybeScanArgs(t, "ticket", &ticket)
	d.MaybeScanArgs(t, "body", &body)
	d.MaybeScanArgs(t, "workspace", &workspace)
	d.MaybeScanArgs(t, "timeout", &timeout)
	d.MaybeScanArgs(t, "entry", &entry)
	if ticket != "" {
		key = s.tickets[ticket]
	}
	if body == "" {
		body = "order " + key
	}
	ctx, cancel := context.WithCancel(s.ctx)
	o := &order{key: key, cancel: cancel, done: make(chan struct{})}
	request, err := s.request(ctx, entry, "/v1/services/orders/orders", body, workspace)
	if err != nil {
		return "", err
	}
	request.Header.Set("Idempotency-Key", key)
	if timeout != "" {
		request.Header.Set("Filbertusher-Timeout", timeout)
	}
	s.orders[d.CmdArgs[0].Key] = o
	go o.run(request, body)
	return "", nil
}

func (s *script) request(ctx context.Context, entry int, path, body, workspace string) (*http.Request, error) {
	if workspace == "" {
		workspace = string(fleet.Regenfass)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.whole.Entries[entry].Address+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+fleet.TokenOf(usher.WorkspaceName(workspace)))
	return request, nil
}

func (o *order) run(request *http.Request, body string) {
	defer close(o.done)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		o.result = "connection lost before the answer"
		return
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		o.result = "answer cut"
		return
	}
	o.result = verdict(response.StatusCode, answer, body)
}

// verdict says in words what a caller got.
func verdict(status int, answer []byte, body string) string {
	var refusal struct{ Error *usher.Refusal }
	if json.Unmarshal(answer, &refusal) == nil && refusal.Error != nil {
		text := strconv.Itoa(status) + " " + string(refusal.Error.Kind) + ", " + string(refusal.Error.Outcome)
		if refusal.Error.Attempt != "" {
			text += ", attempt " + string(refusal.Error.Attempt)
		}
		return text
	}
	var booking struct{ Order string }
	if json.Unmarshal(answer, &booking) != nil || booking.Order != body {
		return "DAMAGED " + string(answer)
	}
	return "booked"
}

// ticket: "ticket NAME [entry=N] [workspace=W]".
func (s *script) ticket(t *testing.T, d *datadriven.TestData) (string, error) {
	entry, workspace := 0, ""
	d.MaybeScanArgs(t, "entry", &entry)
	d.MaybeScanArgs(t, "workspace", &workspace)
	request, err := s.request(s.ctx, entry, "/v1/tickets", `{"service":"orders"}`, workspace)
	if err != nil {
		return "", err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	var issued struct{ Ticket string }
	if err := json.NewDecoder(response.Body).Decode(&issued); err != nil || issued.Ticket == "" {
		return "status " + strconv.Itoa(response.StatusCode), err
	}
	s.tickets[d.CmdArgs[0].Key] = issued.Ticket
	return "issued", nil
}

// result: "result NAME" waits for the end of an order.
func (s *script) result(_ *testing.T, d *datadriven.TestData) (string, error) {
	o := s.orders[d.CmdArgs[0].Key]
	select {
	case <-o.done:
		return o.result, nil
	case <-s.ctx.Done():
		return "", s.ctx.Err()
	}
}

// either: "either NAME", with the results that are allowed as input, a line
// each, for an order whose result depends on how far a process had come when it
// was frozen or killed. Any other result is printed.
func (s *script) either(t *testing.T, d *datadriven.TestData) (string, error) {
	result, err := s.result(t, d)
	for allowed := range strings.Lines(d.Input) {
		if result == strings.TrimSpace(allowed) {
			return "", err
		}
	}
	return result, err
}

// hangup: "hangup NAME" ends the caller's connection.
func (s *script) hangup(_ *testing.T, d *datadriven.TestData) (string, error) {
	s.orders[d.CmdArgs[0].Key].cancel()
	return "", nil
}

// find returns a process by its name or by what the script calls it.
func (s *script) find(name string) (*fleet.Member, error) {
	if called, ok := s.names[name]; ok {
		name = called
	}
	members := s.whole.Members()
	for i := len(members) - 1; i >= 0; i-- {
		if members[i].Name == name {
			return members[i], nil
		}
	}
	return nil, fmt.Errorf("no process is called %s", name)
}

// process: "process kill|freeze|wake|stop NAME". A frozen process is awaited
// to have stopped.
func (s *script) process(_ *testing.T, d *datadriven.TestData) (string, error) {
	member, err := s.find(d.CmdArgs[1].Key)
	if err != nil {
		return "", err
	}
	switch d.CmdArgs[0].Key {
	case "kill":
		member.Kill()
	case "freeze":
		member.Signal(syscall.SIGSTOP)
	case "wake":
		member.Signal(syscall.SIGCONT)
	case "stop":
		return "", member.Stop()
	}
	return "", nil
}

// holder: "holder NAME key=K" calls the companion that holds the key's slot,
// and the links to it, NAME.
func (s *script) holder(t *testing.T, d *datadriven.TestData) (string, error) {
	var key string
	d.ScanArgs(t, "key", &key)
	slot := journal.HashKey(fleet.Regenfass, usher.IdempotencyKey(key)).Slot()
	object, err := s.whole.Client.Get(s.ctx, journal.Prefix+usher.ObjectKey(fmt.Sprintf("%s/%d/head", fleet.Orders, slot)))
	if err != nil {
		return "", err
	}
	var head struct{ Holder journal.Holder }
	if err := json.Unmarshal(object.Value, &head); err != nil {
		return "", err
	}
	name := d.CmdArgs[0].Key
	s.names[name] = "companion-" + string(head.Holder.Endpoint)
	s.names["store-of-"+name] = "store-of-" + string(head.Holder.Endpoint)
	s.names["desk-of-"+name] = strings.Replace(string(head.Holder.Endpoint), "orders", "desk", 1)
	return "", nil
}

// restart: "restart NAME" starts a new incarnation of a companion at a new
// address and declares it.
func (s *script) restart(_ *testing.T, d *datadriven.TestData) (string, error) {
	name := s.names[d.CmdArgs[0].Key]
	endpoint := usher.EndpointName(strings.TrimPrefix(name, "companion-"))
	number, err := strconv.Atoi(strings.TrimPrefix(string(endpoint), "orders-"))
	if err != nil {
		return "", err
	}
	declared := usher.Endpoint{Name: endpoint, Service: fleet.Orders, AvailabilityZone: fleet.Zone, Fencing: usher.FencingIgnored}
	member, err := s.whole.Companion(s.whole.Store.Address, declared, s.whole.Desks[number].Address, usher.ServicePlain)
	if err != nil {
		return "", err
	}
	s.started++
	if declared.Companion, err = s.proxies.Via(name+"-"+strconv.Itoa(s.started), member.Address); err != nil {
		return "", err
	}
	version, err := s.whole.Put(s.ctx, config.KindEndpoint, string(endpoint), declared)
	if err != nil {
		return "", err
	}
	for _, entry := range s.whole.Entries {
		if _, err := entry.Await(s.ctx, "configInForce", "version="+strconv.FormatUint(uint64(version), 10)); err != nil {
			return "", err
		}
	}
	return "", nil
}

// link: "link cut|down|up|heal NAME" or "link lose NAME upstream|downstream",
// which drops all data in one direction.
func (s *script) link(_ *testing.T, d *datadriven.TestData) (string, error) {
	name := d.CmdArgs[1].Key
	if called, ok := s.names[name]; ok {
		name = called
	}
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
	toxic := fault.Toxic{Type: "timeout", Stream: fault.Direction(d.CmdArgs[2].Key), Attributes: map[string]int{"timeout": 0}}
	return "", s.proxies.Add(name, toxic)
}

// store: "store" with faults of the object API as JSON input.
func (s *script) store(_ *testing.T, d *datadriven.TestData) (string, error) {
	var faults store.Faults
	if err := json.Unmarshal([]byte(d.Input), &faults); err != nil {
		return "", err
	}
	return "", s.whole.Store.Control(s.ctx, "faults", faults)
}

// delay: "delay 200ms" sets how long each desk takes for an order.
func (s *script) delay(_ *testing.T, d *datadriven.TestData) (string, error) {
	for _, desk := range s.whole.Desks {
		if err := desk.Control(s.ctx, "delay", d.CmdArgs[0].Key); err != nil {
			return "", err
		}
	}
	return "", nil
}

// count sums the executions of each key over all desks.
func (s *script) count() (map[string]int, error) {
	total := make(map[string]int)
	for _, desk := range s.whole.Desks {
		var seen map[string]int
		if err := desk.Inspect(s.ctx, "executions", &seen); err != nil {
			return nil, err
		}
		for key, count := range seen {
			total[key] += count
		}
	}
	return total, nil
}

// executions: "executions K=N ..." waits until the keys ran that often.
func (s *script) executions(_ *testing.T, d *datadriven.TestData) (string, error) {
	for {
		seen, err := s.count()
		if err != nil {
			return "", err
		}
		reached := true
		for _, arg := range d.CmdArgs {
			key := arg.Key
			if ticket, ok := s.tickets[key]; ok {
				key = ticket
			}
			reached = reached && strconv.Itoa(seen[key]) == arg.Vals[0]
		}
		if reached {
			return "", nil
		}
		select {
		case <-time.After(pollDelay):
		case <-s.ctx.Done():
			return "", fmt.Errorf("executions are %v: %w", seen, s.ctx.Err())
		}
	}
}

// logged: "logged NAME EVENT" waits until a process has logged an event.
func (s *script) logged(_ *testing.T, d *datadriven.TestData) (string, error) {
	member, err := s.find(d.CmdArgs[0].Key)
	if err != nil {
		return "", err
	}
	_, err = member.Await(s.ctx, d.CmdArgs[1].Key)
	return "", err
}

// judge checks at the end of each script that no key ran twice, and that none
// ran whose caller was only ever told "not run".
func (s *script) judge(t *testing.T) {
	seen, err := s.count()
	if err != nil {
		t.Fatal(err)
	}
	for key, count := range seen {
		// Two workspaces use a key that begins with "shared".
		if count > 1 && !strings.HasPrefix(key, "shared") {
			t.Errorf("key %s ran %d times", key, count)
		}
	}
	told := make(map[string]bool)
	for _, o := range s.orders {
		<-o.done
		onlyNotRun, known := told[o.key]
		told[o.key] = (onlyNotRun || !known) && strings.HasSuffix(o.result, ", not run")
	}
	for _, o := range s.orders {
		if o.result == "booked" && seen[o.key] != 1 && !strings.HasPrefix(o.key, "shared") {
			t.Errorf("order with key %s was told booked and ran %d times", o.key, seen[o.key])
		}
	}
	for key, onlyNotRun := range told {
		if onlyNotRun && seen[key] > 0 {
			t.Errorf("key %s ran and its caller was told not run", key)
		}
	}
}

// TestTransportDoesNotRepeat proves that a connection which breaks after an
// order was received does not make the HTTP library send the order again: it
// does that by itself for requests with an Idempotency-Key.
func TestTransportDoesNotRepeat(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	proxies := fault.New()
	defer proxies.Close()
	whole, err := fleet.NewWhole(ctx, binaries, fleet.Plan{Entries: 1, Desks: 1, Via: proxies.Via})
	if err != nil {
		t.Fatal(err)
	}
	defer whole.Close()
	send := func(key string) string {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+whole.Entries[0].Address+"/v1/services/orders/orders", bytes.NewReader([]byte("pump")))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer "+fleet.TokenOf(fleet.Regenfass))
		request.Header.Set("Idempotency-Key", key)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		answer, err := io.ReadAll(response.Body)
		if err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Fatal(err)
		}
		return verdict(response.StatusCode, answer, "pump")
	}
	// The first order opens the connection that the second one reuses.
	if got := send("first"); got != "booked" {
		t.Fatalf("first order: %s", got)
	}
	// The second one runs, and its connection breaks before the first byte of
	// the answer.
	if err := whole.Desks[0].Control(ctx, "delay", "1s"); err != nil {
		t.Fatal(err)
	}
	second := make(chan string, 1)
	go func() { second <- send("second") }()
	running := &script{ctx: ctx, whole: whole}
	for count := 0; count == 0; {
		total, err := running.count()
		if err != nil {
			t.Fatal(err)
		}
		count = total["second"]
	}
	if err := proxies.Cut("desk-0"); err != nil {
		t.Fatal(err)
	}
	if got, want := <-second, "502 endpointFailed, unknown"; got != want {
		t.Errorf("second order: %s, want %s", got, want)
	}
	var seen map[string]int
	if err := whole.Desks[0].Inspect(ctx, "executions", &seen); err != nil {
		t.Fatal(err)
	}
	if seen["second"] != 1 {
		t.Errorf("the second order ran %d times", seen["second"])
	}
}
