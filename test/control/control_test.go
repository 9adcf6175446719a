// Package control_test runs processes of the product behind proxies and checks
// how configuration changes reach them when processes, links and the store fail.
// The scripts in testdata list the failures and the expected results.
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
	// testTimeout ends a test that hangs. The results depend on it in no other way.
	testTimeout = 3 * time.Minute
	// pollDelay is the interval between two polls of a process.
	pollDelay = 20 * time.Millisecond
)

var binaries fleet.Binaries

func TestMain(m *testing.M) { os.Exit(fleet.RunTests(&binaries, m.Run)) }

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		t.Parallel()
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		s := &script{ctx: ctx, proxies: fault.New(), processes: make(map[string]*fleet.Member), zones: make(map[string]string), dir: t.TempDir()}
		defer s.close()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return s.run(t, d) })
		s.checkMonotonic(t)
	})
}

// script is the state of one running script.
type script struct {
	ctx     context.Context
	cluster *fleet.Cluster
	proxies *fault.Proxies
	dir     string
	// processes maps names to the processes that must receive the configuration.
	// Killed and stopped processes are removed.
	processes map[string]*fleet.Member
	// zones maps each zone to the address of its proxy in front of the store.
	zones map[string]string
}

func (s *script) close() {
	if s.cluster != nil {
		s.cluster.Close()
	}
	s.proxies.Close()
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	directives := map[string]func(*datadriven.TestData) (string, error){
		"start": s.start, "entry": s.entry, "put": s.put, "process": s.process, "link": s.link, "faults": s.faults,
		"reset": s.reset, "inForce": s.inForce, "cli": s.cli, "race": s.race, "watchers": s.watchers, "tiers": s.tiers, "awaitLog": s.awaitLog, "ready": s.ready, "instances": s.instances,
	}
	directive, ok := directives[d.Cmd]
	if !ok {
		d.Fatalf(t, "unknown directive %s", d.Cmd)
	}
	out, err := directive(d)
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

func argValue(d *datadriven.TestData, name, defaultValue string) string {
	for _, cmdArg := range d.CmdArgs {
		if cmdArg.Key == name && len(cmdArg.Vals) > 0 {
			return cmdArg.Vals[0]
		}
	}
	return defaultValue
}

// start implements "start companions=N zones=(a,b) [entries=N]", which starts
// companions c0, c1, ... and entries e0, e1, ..., assigned to the zones in turn,
// and waits until each has the configuration in force. Each zone reaches the store
// through its own proxy, store-ZONE.
func (s *script) start(d *datadriven.TestData) (string, error) {
	var err error
	if s.cluster, err = fleet.New(binaries, "--list-lag", "100ms"); err != nil {
		return "", err
	}
	var zones []string
	for _, cmdArg := range d.CmdArgs {
		if cmdArg.Key == "zones" {
			zones = cmdArg.Vals
		}
	}
	for _, zone := range zones {
		if s.zones[zone], err = s.proxies.StartProxy("store-"+zone, s.cluster.Store.Address); err != nil {
			return "", err
		}
	}
	if _, err := s.cluster.Put(s.ctx, config.KindService, "desk", usher.Service{Name: "desk", Kind: usher.ServicePlain, Idempotent: true}); err != nil {
		return "", err
	}
	companions, _ := strconv.Atoi(argValue(d, "companions", "0"))
	for i := range companions {
		if err := s.startCompanion(fmt.Sprint("c", i), zones[i%len(zones)]); err != nil {
			return "", err
		}
	}
	entries, _ := strconv.Atoi(argValue(d, "entries", "0"))
	for i := range entries {
		if err := s.startEntry(fmt.Sprint("e", i), zones[i%len(zones)]); err != nil {
			return "", err
		}
	}
	return s.inForce(d)
}

func (s *script) startCompanion(name, zone string, args ...string) error {
	endpoint := usher.Endpoint{Name: usher.EndpointName(name), Service: "desk", AvailabilityZone: usher.AvailabilityZone(zone), Fencing: usher.FencingIgnored}
	member, err := s.cluster.Companion(s.zones[zone], endpoint, "127.0.0.1:9", usher.ServicePlain, args...)
	if err != nil {
		return err
	}
	s.processes[name] = member
	endpoint.Companion = member.Address
	_, err = s.cluster.Put(s.ctx, config.KindEndpoint, name, endpoint)
	return err
}

func (s *script) startEntry(name, zone string, args ...string) error {
	member, err := s.cluster.Entry(name, s.zones[zone], usher.AvailabilityZone(zone), args...)
	if err == nil {
		s.processes[name] = member
	}
	return err
}

// entry implements "entry NAME zone=a [peers=c0]", which starts an additional
// entry.
func (s *script) entry(d *datadriven.TestData) (string, error) {
	var args []string
	if peer := argValue(d, "peers", ""); peer != "" {
		args = []string{"--peers", s.processes[peer].Address}
	}
	return "", s.startEntry(d.CmdArgs[0].Key, argValue(d, "zone", "a"), args...)
}

// put implements "put NAME rank=N [author=A]", which declares a tier.
func (s *script) put(d *datadriven.TestData) (string, error) {
	rank, _ := strconv.Atoi(argValue(d, "rank", "0"))
	name := d.CmdArgs[0].Key
	_, err := operator.New(s.cluster.Client, argValue(d, "author", "ann")).Put(s.ctx, config.KindTier, name,
		usher.Tier{Name: usher.TierName(name), Rank: usher.Rank(rank), Deadline: usher.Duration(time.Second)})
	return "", err
}

// process implements "process NAME freeze|resume|kill|stop". stop is a graceful stop
// that prints the exit status.
func (s *script) process(d *datadriven.TestData) (string, error) {
	name := d.CmdArgs[0].Key
	member := s.processes[name]
	switch d.CmdArgs[1].Key {
	case "freeze":
		return "", member.Freeze()
	case "resume":
		member.Resume()
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

// link implements "link store-ZONE down|up", which cuts a zone off from the store
// or reconnects it.
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
	return "", s.cluster.Store.PutControl(s.ctx, "faults", faults)
}

// instances implements "instances leaving=NAME", which sets the platform's list of
// instances, in which one instance is marked as leaving.
func (s *script) instances(d *datadriven.TestData) (string, error) {
	var list []store.Instance
	for name, member := range s.processes {
		list = append(list, store.Instance{Address: member.Address, Leaving: name == argValue(d, "leaving", "")})
	}
	return "", s.cluster.Store.PutControl(s.ctx, "instances", list)
}

// reset implements "reset [everything]", which makes the store lose its history, or
// also all objects.
func (s *script) reset(d *datadriven.TestData) (string, error) {
	url := "http://" + s.cluster.Store.Address + "/control/forget?everything=" + strconv.FormatBool(d.HasArg("everything"))
	response, err := http.Post(url, "", nil)
	if err != nil {
		return "", err
	}
	return "", response.Body.Close()
}

// inForce implements "inForce [except=NAME]", which waits until every process but
// NAME has the accepted version in force.
func (s *script) inForce(d *datadriven.TestData) (string, error) {
	for name, member := range s.processes {
		if name == argValue(d, "except", "") {
			continue
		}
		for {
			head, _, err := config.LoadHead(s.ctx, s.cluster.Client)
			if err != nil {
				return "", err
			}
			state, err := fetchState(s.ctx, member)
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
	return fmt.Sprintf("%s has version %d in force, but the accepted version is %d", e.Process, e.Version, e.Accepted)
}

type processState struct {
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

func fetchState(ctx context.Context, member *fleet.Member) (processState, error) {
	var found processState
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

// watchers implements "watchers max=N", which waits until at least one and at most
// N processes watch the store.
func (s *script) watchers(d *datadriven.TestData) (string, error) {
	limit, _ := strconv.Atoi(argValue(d, "max", "0"))
	for {
		count := 0
		for _, member := range s.processes {
			if state, err := fetchState(s.ctx, member); err == nil && state.Config.WatchesStore {
				count++
			}
		}
		if count > 0 && count <= limit {
			return fmt.Sprint("at most ", limit, " of ", len(s.processes)), nil
		}
		if s.ctx.Err() != nil {
			return "", s.ctx.Err()
		}
		time.Sleep(pollDelay)
	}
}

// tiers prints the accepted tiers with their ranks.
func (s *script) tiers(*datadriven.TestData) (string, error) {
	current, err := operator.New(s.cluster.Client, "").Current(s.ctx)
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

// awaitLog implements "awaitLog NAME EVENT", which waits until a process has logged
// an event, or with the name "any", until any process has.
func (s *script) awaitLog(d *datadriven.TestData) (string, error) {
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

// ready implements "ready NAME", which waits until the process has logged that it
// is ready.
func (s *script) ready(d *datadriven.TestData) (string, error) {
	return "", s.processes[d.CmdArgs[0].Key].AwaitReady(s.ctx)
}

// checkMonotonic checks that every version that a process put in force was higher
// than the one before.
func (s *script) checkMonotonic(t *testing.T) {
	for _, member := range s.cluster.Members() {
		highest := 0
		for _, line := range strings.Split(member.Log(), "\n") {
			if fleet.Field(line, "event") != "configInForce" {
				continue
			}
			version, _ := strconv.Atoi(fleet.Field(line, "version"))
			if version <= highest {
				t.Errorf("%s went from version %d to version %d, want a higher one", member.Name, highest, version)
			}
			highest = version
		}
	}
}
