// Package outcome_test sends orders, which must be executed at most once, through
// real processes while processes, links and the store fail. It checks what callers
// were told against the executions that the ordering services counted.
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
	// testTimeout ends a test that hangs. The results depend on it in no other way.
	testTimeout = 2 * time.Minute
	// pollDelay is the interval between two polls of a counter.
	pollDelay = 5 * time.Millisecond
)

// TestScripts runs each script against its own set of processes, with a proxy on
// every link, including those between the companions and the store.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		t.Parallel()
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		s := &script{ctx: ctx, proxies: fault.New(), orders: make(map[string]*order), aliases: make(map[string]string), tickets: make(map[string]string)}
		defer s.close()
		defer s.logProcesses(t)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return s.run(t, d)
		})
		s.checkOutcomes(t)
	})
}

// script is the state of one running script. restarts counts the companions that
// the directive restart has started, to give their proxies unique names.
type script struct {
	ctx     context.Context
	cluster *fleet.Deployment
	proxies *fault.Proxies
	orders  map[string]*order
	// aliases maps the names that a script gives to processes and links to their
	// real names, tickets the names that it gives to tickets to the tickets.
	aliases  map[string]string
	tickets  map[string]string
	restarts int
}

// order is a request that is sent concurrently with the script.
type order struct {
	key    string
	cancel context.CancelFunc
	done   chan struct{}
	result string
}

// logProcesses prints the logs of all processes if the script failed.
func (s *script) logProcesses(t *testing.T) {
	if !t.Failed() || s.cluster == nil {
		return
	}
	for _, member := range s.cluster.Members() {
		t.Logf("%s:\n%s", member.Name, member.Log())
	}
}

func (s *script) close() {
	for _, o := range s.orders {
		o.cancel()
		<-o.done
	}
	if s.cluster != nil {
		s.cluster.Close()
	}
	s.proxies.Close()
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	directives := map[string]func(*testing.T, *datadriven.TestData) (string, error){
		"start": s.start, "order": s.order, "ticket": s.ticket, "result": s.result, "disconnect": s.disconnect,
		"process": s.process, "holder": s.holder, "restart": s.restart, "link": s.link, "store": s.store,
		"oneOf": s.oneOf, "delay": s.delay, "executions": s.executions, "awaitLog": s.awaitLog,
	}
	directive, ok := directives[d.Cmd]
	if !ok {
		d.Fatalf(t, "unknown directive %s", d.Cmd)
	}
	out, err := directive(t, d)
	if err != nil {
		d.Fatalf(t, "%s: %v", d.Cmd, err)
	}
	if out != "" {
		out += "\n"
	}
	return out
}

// start implements "start desks=N [entries=N] [companion=FLAG ...]", which starts N
// ordering services, called desks, with a companion each, and the entries.
func (s *script) start(t *testing.T, d *datadriven.TestData) (string, error) {
	plan := fleet.Plan{Entries: 2, Proxy: s.proxies.StartProxy}
	d.MaybeScanArgs(t, "entries", &plan.Entries)
	d.ScanArgs(t, "desks", &plan.OrderServices)
	if d.HasArg("companion") {
		for _, arg := range d.CmdArgs {
			if arg.Key == "companion" {
				plan.CompanionArgs = append(plan.CompanionArgs, arg.Vals...)
			}
		}
	}
	cluster, err := fleet.Deploy(s.ctx, binaries, plan)
	s.cluster = cluster
	return "", err
}

// order implements "order NAME key=K|ticket=T [entry=N] [body=B] [workspace=W]
// [timeout=S]", which sends an order and does not wait for the response.
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
	request, err := s.newRequest(ctx, entry, "/v1/services/orders/orders", body, workspace)
	if err != nil {
		return "", err
	}
	request.Header.Set("Idempotency-Key", key)
	if timeout != "" {
		request.Header.Set("Filbertusher-Timeout", timeout)
	}
	s.orders[d.CmdArgs[0].Key] = o
	go o.send(request, body)
	return "", nil
}

func (s *script) newRequest(ctx context.Context, entry int, path, body, workspace string) (*http.Request, error) {
	if workspace == "" {
		workspace = string(fleet.Regenfass)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.cluster.Entries[entry].Address+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+fleet.TokenOf(usher.WorkspaceName(workspace)))
	return request, nil
}

func (o *order) send(request *http.Request, body string) {
	defer close(o.done)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		o.result = "connection lost before the answer"
		return
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		o.result = "answer cut"
		return
	}
	o.result = resultText(response.StatusCode, responseBody, body)
}

// resultText describes a response as scripts compare it.
func resultText(status int, responseBody []byte, orderBody string) string {
	var refusal struct{ Error *usher.Refusal }
	if json.Unmarshal(responseBody, &refusal) == nil && refusal.Error != nil {
		text := strconv.Itoa(status) + " " + string(refusal.Error.Kind) + ", " + string(refusal.Error.Outcome)
		if refusal.Error.Attempt != "" {
			text += ", attempt " + string(refusal.Error.Attempt)
		}
		return text
	}
	var booking struct{ Order string }
	if json.Unmarshal(responseBody, &booking) != nil || booking.Order != orderBody {
		return "DAMAGED " + string(responseBody)
	}
	return "booked"
}

// ticket implements "ticket NAME [entry=N] [workspace=W]", which requests a ticket
// for an order.
func (s *script) ticket(t *testing.T, d *datadriven.TestData) (string, error) {
	entry, workspace := 0, ""
	d.MaybeScanArgs(t, "entry", &entry)
	d.MaybeScanArgs(t, "workspace", &workspace)
	request, err := s.newRequest(s.ctx, entry, "/v1/tickets", `{"service":"orders"}`, workspace)
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

// result implements "result NAME", which waits until an order has ended and prints
// its result.
func (s *script) result(_ *testing.T, d *datadriven.TestData) (string, error) {
	o := s.orders[d.CmdArgs[0].Key]
	select {
	case <-o.done:
		return o.result, nil
	case <-s.ctx.Done():
		return "", s.ctx.Err()
	}
}

// oneOf implements "oneOf NAME", which takes the allowed results as input, one per
// line, for an order whose result depends on how far a process had got when it was
// frozen or killed. Any other result is printed, and so fails the script.
func (s *script) oneOf(t *testing.T, d *datadriven.TestData) (string, error) {
	result, err := s.result(t, d)
	for allowed := range strings.Lines(d.Input) {
		if result == strings.TrimSpace(allowed) {
			return "", err
		}
	}
	return result, err
}

// disconnect implements "disconnect NAME", which closes the connection of an
// order's caller.
func (s *script) disconnect(_ *testing.T, d *datadriven.TestData) (string, error) {
	s.orders[d.CmdArgs[0].Key].cancel()
	return "", nil
}

// findProcess returns the newest process with a name or alias.
func (s *script) findProcess(name string) (*fleet.Member, error) {
	if realName, ok := s.aliases[name]; ok {
		name = realName
	}
	members := s.cluster.Members()
	for i := len(members) - 1; i >= 0; i-- {
		if members[i].Name == name {
			return members[i], nil
		}
	}
	return nil, fmt.Errorf("there is no process with name %s", name)
}

// process implements "process kill|freeze|resume|stop NAME". stop is a graceful stop
// that waits until the process has exited.
func (s *script) process(_ *testing.T, d *datadriven.TestData) (string, error) {
	member, err := s.findProcess(d.CmdArgs[1].Key)
	if err != nil {
		return "", err
	}
	switch d.CmdArgs[0].Key {
	case "kill":
		member.Kill()
	case "freeze":
		return "", member.Freeze()
	case "resume":
		member.Resume()
	case "stop":
		return "", member.Stop()
	}
	return "", nil
}

// holder implements "holder NAME key=K", which makes NAME the alias of the
// companion that holds the key's slot, and store-of-NAME and desk-of-NAME those of
// its links.
func (s *script) holder(t *testing.T, d *datadriven.TestData) (string, error) {
	var key string
	d.ScanArgs(t, "key", &key)
	slot := journal.HashKey(fleet.Regenfass, usher.IdempotencyKey(key)).Slot()
	object, err := s.cluster.Client.Get(s.ctx, journal.Prefix+usher.ObjectKey(fmt.Sprintf("%s/%d/head", fleet.Orders, slot)))
	if err != nil {
		return "", err
	}
	var head struct{ Holder journal.Holder }
	if err := json.Unmarshal(object.Value, &head); err != nil {
		return "", err
	}
	name := d.CmdArgs[0].Key
	s.aliases[name] = "companion-" + string(head.Holder.Endpoint)
	s.aliases["store-of-"+name] = "store-of-" + string(head.Holder.Endpoint)
	s.aliases["desk-of-"+name] = strings.Replace(string(head.Holder.Endpoint), "orders", "desk", 1)
	return "", nil
}

// restart implements "restart NAME", which starts a new incarnation of a companion
// at a new address, declares it and waits until every entry has that configuration.
func (s *script) restart(_ *testing.T, d *datadriven.TestData) (string, error) {
	name := s.aliases[d.CmdArgs[0].Key]
	endpoint := usher.EndpointName(strings.TrimPrefix(name, "companion-"))
	number, err := strconv.Atoi(strings.TrimPrefix(string(endpoint), "orders-"))
	if err != nil {
		return "", err
	}
	declared := usher.Endpoint{Name: endpoint, Service: fleet.Orders, AvailabilityZone: fleet.Zone, Fencing: usher.FencingIgnored}
	member, err := s.cluster.Companion(s.cluster.Store.Address, declared, s.cluster.OrderServices[number].Address, usher.ServicePlain)
	if err != nil {
		return "", err
	}
	s.restarts++
	if declared.Companion, err = s.proxies.StartProxy(name+"-"+strconv.Itoa(s.restarts), member.Address); err != nil {
		return "", err
	}
	version, err := s.cluster.Put(s.ctx, config.KindEndpoint, string(endpoint), declared)
	if err != nil {
		return "", err
	}
	for _, entry := range s.cluster.Entries {
		if _, err := entry.Await(s.ctx, "configInForce", "version="+strconv.FormatUint(uint64(version), 10)); err != nil {
			return "", err
		}
	}
	return "", nil
}

// link implements "link cut|down|up|heal NAME" or "link drop NAME
// upstream|downstream", which drops all data in one direction.
func (s *script) link(_ *testing.T, d *datadriven.TestData) (string, error) {
	name := d.CmdArgs[1].Key
	if realName, ok := s.aliases[name]; ok {
		name = realName
	}
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
	toxic := fault.Toxic{Type: "timeout", Stream: fault.Direction(d.CmdArgs[2].Key), Attributes: map[string]int{"timeout": 0}}
	return "", s.proxies.AddToxic(name, toxic)
}

// store implements "store", which sets the faults of the object API, given as JSON
// input.
func (s *script) store(_ *testing.T, d *datadriven.TestData) (string, error) {
	var faults store.Faults
	if err := json.Unmarshal([]byte(d.Input), &faults); err != nil {
		return "", err
	}
	return "", s.cluster.Store.PutControl(s.ctx, "faults", faults)
}

// delay implements "delay 200ms", which sets how long each ordering service takes
// for an order.
func (s *script) delay(_ *testing.T, d *datadriven.TestData) (string, error) {
	for _, desk := range s.cluster.OrderServices {
		if err := desk.PutControl(s.ctx, "delay", d.CmdArgs[0].Key); err != nil {
			return "", err
		}
	}
	return "", nil
}

// countExecutions returns the executions of each key over all ordering services.
func (s *script) countExecutions() (map[string]int, error) {
	total := make(map[string]int)
	for _, desk := range s.cluster.OrderServices {
		var seen map[string]int
		if err := desk.GetControl(s.ctx, "executions", &seen); err != nil {
			return nil, err
		}
		for key, count := range seen {
			total[key] += count
		}
	}
	return total, nil
}

// executions implements "executions K=N ...", which waits until each key K has been
// executed exactly N times.
func (s *script) executions(_ *testing.T, d *datadriven.TestData) (string, error) {
	for {
		seen, err := s.countExecutions()
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

// awaitLog implements "awaitLog NAME EVENT", which waits until a process has logged
// an event.
func (s *script) awaitLog(_ *testing.T, d *datadriven.TestData) (string, error) {
	member, err := s.findProcess(d.CmdArgs[0].Key)
	if err != nil {
		return "", err
	}
	_, err = member.Await(s.ctx, d.CmdArgs[1].Key)
	return "", err
}

// checkOutcomes checks at the end of each script that no key was executed twice,
// that each booked order was executed, and that no key was executed whose callers
// were only ever told "not run".
func (s *script) checkOutcomes(t *testing.T) {
	seen, err := s.countExecutions()
	if err != nil {
		t.Fatal(err)
	}
	for key, count := range seen {
		// A key that begins with "shared" is used by two workspaces, so it is two keys.
		if count > 1 && !strings.HasPrefix(key, "shared") {
			t.Errorf("key %s was executed %d times", key, count)
		}
	}
	toldOnlyNotRun := make(map[string]bool)
	for _, o := range s.orders {
		<-o.done
		onlyNotRun, known := toldOnlyNotRun[o.key]
		toldOnlyNotRun[o.key] = (onlyNotRun || !known) && strings.HasSuffix(o.result, ", not run")
	}
	for _, o := range s.orders {
		if o.result == "booked" && seen[o.key] != 1 && !strings.HasPrefix(o.key, "shared") {
			t.Errorf("the caller of key %s was told booked, but the order was executed %d times", o.key, seen[o.key])
		}
	}
	for key, onlyNotRun := range toldOnlyNotRun {
		if onlyNotRun && seen[key] > 0 {
			t.Errorf("key %s was executed, but its callers were told not run", key)
		}
	}
}

// TestTransportDoesNotRetry guards against retries by net/http. By default its
// transport resends a request with an Idempotency-Key if a reused connection breaks
// before the response, and an order that was already received would run twice.
func TestTransportDoesNotRetry(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	proxies := fault.New()
	defer proxies.Close()
	cluster, err := fleet.Deploy(ctx, binaries, fleet.Plan{Entries: 1, OrderServices: 1, Proxy: proxies.StartProxy})
	if err != nil {
		t.Fatal(err)
	}
	defer cluster.Close()
	send := func(key string) string {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+cluster.Entries[0].Address+"/v1/services/orders/orders", bytes.NewReader([]byte("pump")))
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
		responseBody, err := io.ReadAll(response.Body)
		if err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Fatal(err)
		}
		return resultText(response.StatusCode, responseBody, "pump")
	}
	// The first order opens the connection that the second order reuses.
	if got := send("first"); got != "booked" {
		t.Fatalf("first order: %s", got)
	}
	// The connection breaks while the second order runs, before the first byte of
	// the response.
	if err := cluster.OrderServices[0].PutControl(ctx, "delay", "1s"); err != nil {
		t.Fatal(err)
	}
	second := make(chan string, 1)
	go func() { second <- send("second") }()
	counter := &script{ctx: ctx, cluster: cluster}
	for count := 0; count == 0; {
		total, err := counter.countExecutions()
		if err != nil {
			t.Fatal(err)
		}
		count = total["second"]
	}
	if err := proxies.CloseConnections("desk-0"); err != nil {
		t.Fatal(err)
	}
	if got, want := <-second, "502 endpointFailed, unknown"; got != want {
		t.Errorf("second order: got %s, want %s", got, want)
	}
	var seen map[string]int
	if err := cluster.OrderServices[0].GetControl(ctx, "executions", &seen); err != nil {
		t.Fatal(err)
	}
	if seen["second"] != 1 {
		t.Errorf("the second order was executed %d times, want once", seen["second"])
	}
}
