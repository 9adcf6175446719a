// Package control_test runs processes of the product behind proxies and checks
// what becomes of the configuration when processes, links and the store fail.
// The scripts in testdata say what happens and what must hold then.
package control_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"filbertusher/internal/config"
	"filbertusher/internal/operator"
	"filbertusher/internal/standin/fault"
	"filbertusher/internal/standin/fleet"
	"filbertusher/internal/standin/store"
	"filbertusher/pkg/usher"
)

const (
	// testTimeout ends a test that hangs; no verdict depends on it otherwise.
	testTimeout = 3 * time.Minute
	// pollDelay is the pause between two looks at a process.
	pollDelay = 20 * time.Millisecond
)

var binaries fleet.Binaries

func TestMain(m *testing.M) { os.Exit(fleet.RunTests(&binaries, m.Run)) }

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		t.Parallel()
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		s := &script{ctx: ctx, proxies: fault.New(), processes: make(map[string]*fleet.Member), zones: make(map[string]string), folder: t.TempDir()}
		defer s.close()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return s.run(t, d) })
		s.checkMonotonic(t)
	})
}

// script is the state of one running script.
type script struct {
	ctx     context.Context
	fleet   *fleet.Fleet
	proxies *fault.Proxies
	folder  string
	// processes are those that are expected to follow the configuration.
	processes map[string]*fleet.Member
	// zones maps each zone to the store's address as the zone sees it.
	zones map[string]string
}

func (s *script) close() {
	if s.fleet != nil {
		s.fleet.Close()
	}
	s.proxies.Close()
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	commands := map[string]func(*datadriven.TestData) (string, error){
		"start": s.start, "entry": s.entry, "put": s.put, "process": s.process, "link": s.link, "faults": s.faults,
		"forget": s.forget, "inForce": s.inForce, "cli": s.cli, "race": s.race, "watching": s.watching, "tiers": s.tiers, "await": s.await, "ready": s.ready, "instances": s.instances,
	}
	command, ok := commands[d.Cmd]
	if !ok {
		d.Fatalf(t, "unknown command %s", d.Cmd)
	}
	out, err := command(d)
	if err != nil {
		for name, member := range s.processes {
			t.Log(name, "\n", member.Log())
		}
		d.Fatalf(t, "%s: %v", d.Cmd, err)
	}
	if out == "" {
		return ""
	}
	return strings.TrimSuffix(out, "\n") + "\n"
}

func arg(d *datadriven.TestData, name, initial string) string {
	for _, one := range d.CmdArgs {
		if one.Key == name && len(one.Vals) > 0 {
			return one.Vals[0]
		}
	}
	return initial
}

// start: "start companions=N zones=(a,b) [entries=N]". Companions are spread
// over the zones in turn; each zone has its own way to the store.
func (s *script) start(d *datadriven.TestData) (string, error) {
	var err error
	if s.fleet, err = fleet.New(binaries, "--list-lag", "100ms"); err != nil {
		return "", err
	}
	var zones []string
	for _, one := range d.CmdArgs {
		if one.Key == "zones" {
			zones = one.Vals
		}
	}
	for _, zone := range zones {
		if s.zones[zone], err = s.proxies.Via("store-"+zone, s.fleet.Store.Address); err != nil {
			return "", err
		}
	}
	if _, err := s.fleet.Put(s.ctx, config.KindService, "desk", usher.Service{Name: "desk", Kind: usher.ServicePlain, Idempotent: true}); err != nil {
		return "", err
	}
	companions, _ := strconv.Atoi(arg(d, "companions", "0"))
	for i := range companions {
		if err := s.startCompanion(fmt.Sprint("c", i), zones[i%len(zones)]); err != nil {
			return "", err
		}
	}
	entries, _ := strconv.Atoi(arg(d, "entries", "0"))
	for i := range entries {
		if err := s.startEntry(fmt.Sprint("e", i), zones[i%len(zones)]); err != nil {
			return "", err
		}
	}
	return s.inForce(d)
}

func (s *script) startCompanion(name, zone string, args ...string) error {
	endpoint := usher.Endpoint{Name: usher.EndpointName(name), Service: "desk", AvailabilityZone: usher.AvailabilityZone(zone), Fencing: usher.FencingIgnored}
	member, err := s.fleet.Companion(s.zones[zone], endpoint, "127.0.0.1:9", usher.ServicePlain, args...)
	if err != nil {
		return err
	}
	s.processes[name] = member
	endpoint.Companion = member.Address
	_, err = s.fleet.Put(s.ctx, config.KindEndpoint, name, endpoint)
	return err
}

func (s *script) startEntry(name, zone string, args ...string) error {
	member, err := s.fleet.Entry(name, s.zones[zone], usher.AvailabilityZone(zone), args...)
	if err == nil {
		s.processes[name] = member
	}
	return err
}

// entry: "entry NAME zone=a [peers=c0]" starts one more entry.
func (s *script) entry(d *datadriven.TestData) (string, error) {
	var args []string
	if peer := arg(d, "peers", ""); peer != "" {
		args = []string{"--peers", s.processes[peer].Address}
	}
	return "", s.startEntry(d.CmdArgs[0].Key, arg(d, "zone", "a"), args...)
}

// put: "put NAME rank=N [author=A]" declares a tier.
func (s *script) put(d *datadriven.TestData) (string, error) {
	rank, _ := strconv.Atoi(arg(d, "rank", "0"))
	name := d.CmdArgs[0].Key
	_, err := operator.New(s.fleet.Client, arg(d, "author", "ann")).Put(s.ctx, config.KindTier, name,
		usher.Tier{Name: usher.TierName(name), Rank: usher.Rank(rank), Deadline: usher.Duration(time.Second)})
	return "", err
}

// process: "process NAME freeze|thaw|kill|stop".
func (s *script) process(d *datadriven.TestData) (string, error) {
	name := d.CmdArgs[0].Key
	member := s.processes[name]
	switch d.CmdArgs[1].Key {
	case "freeze":
		member.Signal(syscall.SIGSTOP)
	case "thaw":
		member.Signal(syscall.SIGCONT)
	case "kill":
		member.Kill()
		delete(s.processes, name)
	case "stop":
		err := member.Stop()
		delete(s.processes, name)
		return fmt.Sprint("exit ", exitStatus(err)), nil
	}
	return "", nil
}

// link: "link store-a down|up".
func (s *script) link(d *datadriven.TestData) (string, error) {
	if d.CmdArgs[1].Key == "down" {
		return "", s.proxies.Down(d.CmdArgs[0].Key)
	}
	return "", s.proxies.Up(d.CmdArgs[0].Key)
}

func (s *script) faults(d *datadriven.TestData) (string, error) {
	var faults store.Faults
	if err := json.Unmarshal([]byte(d.Input), &faults); err != nil {
		return "", err
	}
	return "", s.fleet.Store.Control(s.ctx, "faults", faults)
}

// instances: "instances leaving=NAME" sets the platform's list, in which one
// instance is leaving.
func (s *script) instances(d *datadriven.TestData) (string, error) {
	var list []store.Instance
	for name, member := range s.processes {
		list = append(list, store.Instance{Address: member.Address, Leaving: name == arg(d, "leaving", "")})
	}
	return "", s.fleet.Store.Control(s.ctx, "instances", list)
}

// forget: "forget [everything]" makes the store lose its history or all.
func (s *script) forget(d *datadriven.TestData) (string, error) {
	url := "http://" + s.fleet.Store.Address + "/control/forget?everything=" + strconv.FormatBool(d.HasArg("everything"))
	response, err := http.Post(url, "", nil)
	if err != nil {
		return "", err
	}
	return "", response.Body.Close()
}

// inForce waits until every process, except for those named, has the accepted
// version in force. "inForce [except=NAME] [store=down]".
func (s *script) inForce(d *datadriven.TestData) (string, error) {
	for name, member := range s.processes {
		if name == arg(d, "except", "") {
			continue
		}
		for {
			head, _, err := config.LoadHead(s.ctx, s.fleet.Client)
			if err != nil {
				return "", err
			}
			state, err := dump(s.ctx, member)
			if err == nil && head.Version > 0 && state.Config.Version == head.Version && state.Config.Change == head.ID {
				break
			}
			if s.ctx.Err() != nil {
				return "", &notInForceError{Process: name, Version: state.Config.Version, Accepted: head.Version}
			}
			time.Sleep(pollDelay)
		}
	}
	return "everywhere", nil
}

type notInForceError struct {
	Process           string
	Version, Accepted usher.Version
}

func (e *notInForceError) Error() string {
	return fmt.Sprintf("%s has version %d in force; accepted is %d", e.Process, e.Version, e.Accepted)
}

type state struct {
	Ready  bool `json:"ready"`
	Config struct {
		Version      usher.Version   `json:"version"`
		Change       config.ChangeID `json:"change"`
		WatchesStore bool            `json:"watchesStore"`
	} `json:"config"`
	Companion struct {
		Load usher.LoadReport `json:"load"`
	} `json:"companion"`
}

func dump(ctx context.Context, member *fleet.Member) (state, error) {
	var found state
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+member.Admin+"/dump", nil)
	if err != nil {
		return found, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return found, err
	}
	defer response.Body.Close()
	return found, json.NewDecoder(response.Body).Decode(&found)
}

// watching waits until as many processes as given, or fewer, watch the store.
func (s *script) watching(d *datadriven.TestData) (string, error) {
	most, _ := strconv.Atoi(arg(d, "most", "0"))
	for {
		count := 0
		for _, member := range s.processes {
			if state, err := dump(s.ctx, member); err == nil && state.Config.WatchesStore {
				count++
			}
		}
		if count > 0 && count <= most {
			return fmt.Sprint("at most ", most, " of ", len(s.processes)), nil
		}
		if s.ctx.Err() != nil {
			return "", s.ctx.Err()
		}
		time.Sleep(pollDelay)
	}
}

// tiers lists the accepted tiers with their authors in the history.
func (s *script) tiers(*datadriven.TestData) (string, error) {
	current, err := operator.New(s.fleet.Client, "").Current(s.ctx)
	if err != nil {
		return "", err
	}
	var names []string
	for name, tier := range current.Tiers {
		names = append(names, fmt.Sprint(name, "=", tier.Rank))
	}
	sort.Strings(names)
	return strings.Join(names, " "), nil
}

// await: "await NAME event" waits for a line in a log; "any" waits for one of
// all processes.
func (s *script) await(d *datadriven.TestData) (string, error) {
	name, event := d.CmdArgs[0].Key, d.CmdArgs[1].Key
	if name != "any" {
		_, err := s.processes[name].Await(s.ctx, event)
		return "", err
	}
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	found := make(chan error, len(s.processes))
	for _, member := range s.processes {
		go func() {
			if _, err := member.Await(ctx, event); err == nil {
				found <- nil
			}
		}()
	}
	select {
	case <-found:
		return "", nil
	case <-s.ctx.Done():
		return "", s.ctx.Err()
	}
}

// ready: "ready NAME" waits until the process says so.
func (s *script) ready(d *datadriven.TestData) (string, error) {
	return "", s.processes[d.CmdArgs[0].Key].Ready(s.ctx)
}

// checkMonotonic says whether any process ever put a lower version in force
// after a higher one.
func (s *script) checkMonotonic(t *testing.T) {
	for _, member := range s.fleet.Members() {
		highest := 0
		for _, line := range strings.Split(member.Log(), "\n") {
			if fleet.Field(line, "event") != "configInForce" {
				continue
			}
			version, _ := strconv.Atoi(fleet.Field(line, "version"))
			if version <= highest {
				t.Errorf("%s went from version %d to %d", member.Name, highest, version)
			}
			highest = version
		}
	}
}
