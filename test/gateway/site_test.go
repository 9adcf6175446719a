package gateway_test

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"filbertusher/internal/standin/fleet"
	"filbertusher/internal/standin/store"
	"filbertusher/pkg/usher"
)

var binaries fleet.Binaries

func TestMain(m *testing.M) { os.Exit(fleet.RunTests(&binaries, m.Run)) }

// patience ends what hangs; no verdict depends on it otherwise.
const patience = 10 * time.Second

// site is a small deployment: the platform's store, replicas of a model and of
// a plain service, and gateways as processes of their own.
type site struct {
	t        *testing.T
	ip       string
	memory   *store.Memory
	store    *httptest.Server
	version  int
	routes   []map[string]any
	keys     []string
	quota    float64
	revokeMS int
	// busyQuota is the rate and burst of a second workspace, if there is one, whose
	// credential is "busy".
	busyQuota float64
	// storeVia is where gateways reach the store, if not directly.
	storeVia string
}

type gateway struct {
	*fleet.Process
	config    string
	callers   string
	readiness string
	metrics   string
	// keep is the transport of callers that keep their connection; others open a
	// new one for each call.
	keep *http.Transport
}

func newSite(t *testing.T) *site {
	t.Helper()
	s := &site{t: t, ip: newIP(), memory: store.NewMemory(), keys: []string{"key"}, revokeMS: 2000}
	server := store.New(s.memory, store.Budget{ReadsPerSecond: 2000, WritesPerSecond: 400}, 0)
	s.store = httptest.NewServer(server.Handler())
	t.Cleanup(s.store.Close)
	s.routes = []map[string]any{
		{"name": "order", "hostname": "site.example", "path_prefix": "/order/", "route_type": "unsafe", "timeout_ms": 4000, "target_latency_ms": 500, "priority": 2, "service": "desk", "max_attempts": 1},
		{"name": "check", "hostname": "site.example", "path_prefix": "/check/", "route_type": "safe", "timeout_ms": 4000, "target_latency_ms": 500, "priority": 2, "service": "desk", "max_attempts": 2},
		{"name": "plan", "hostname": "site.example", "path_prefix": "/plan/", "route_type": "streaming", "timeout_ms": 15000, "target_latency_ms": 500, "priority": 0, "service": "model", "max_attempts": 2, "stream_resume": true, "gap_aim_ms": 300},
		{"name": "question", "hostname": "site.example", "path_prefix": "/question/", "route_type": "streaming", "timeout_ms": 15000, "target_latency_ms": 500, "priority": 1, "service": "model", "max_attempts": 1, "gap_aim_ms": 300},
	}
	s.configure()
	return s
}

// configure writes the next version of the configuration, as the operator does.
func (s *site) configure() {
	s.version += 3
	tenants := []map[string]any{{"name": "school", "api_keys": s.keys, "unit": "tokens", "plain_tokens": 200, "rate_per_s": s.quota, "burst": s.quota}}
	if s.busyQuota > 0 {
		tenants = append(tenants, map[string]any{"name": "busy", "api_keys": []string{"busy"}, "unit": "tokens", "plain_tokens": 200, "rate_per_s": s.busyQuota, "burst": s.busyQuota})
	}
	s.write("config/main", map[string]any{
		"version": s.version, "routes": s.routes,
		"services": []map[string]any{
			{"name": "model", "max_connections": 100, "engine": map[string]any{"slots": 4, "stride": 5}},
			{"name": "desk", "max_connections": 100},
			{"name": "desk2", "max_connections": 100},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenants,
	})
}

func (s *site) write(key usher.ObjectKey, spec any) {
	s.t.Helper()
	encoded, err := json.Marshal(spec)
	if err != nil {
		s.t.Fatal(err)
	}
	current, _ := s.memory.Get(key)
	if _, written := s.memory.Write(key, current.Version, encoded, false); !written {
		s.t.Fatalf("%s was changed by somebody else", key)
	}
}

// register puts a replica into the store.
func (s *site) register(r *replica, state string) {
	s.write(usher.ObjectKey("servers/"+r.id), map[string]any{
		"service": r.service, "address": cmp.Or(r.via, r.address()), "zone": "z1", "version": "v1", "slots": cap(r.places),
		"state": state, "cold_remaining_ms": 0, "sequence": 1, "born": 1700000000000,
	})
}

func (s *site) deregister(r *replica) {
	key := usher.ObjectKey("servers/" + r.id)
	current, _ := s.memory.Get(key)
	s.memory.Write(key, current.Version, nil, true)
}

// fault sets a fault of the store.
func (s *site) fault(faults store.Faults) {
	s.t.Helper()
	encoded, err := json.Marshal(faults)
	if err != nil {
		s.t.Fatal(err)
	}
	request, err := http.NewRequest(http.MethodPut, s.store.URL+"/control/faults", bytes.NewReader(encoded))
	if err != nil {
		s.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		s.t.Fatal(err)
	}
	_ = response.Body.Close()
}

// sites counts the sites of this process.
var sites atomic.Uint32

// newIP returns a loopback address that no other site has, here or in another
// test process, so that their gateways don't take each other's ports.
func newIP() string {
	const hosts = 250
	return fmt.Sprintf("127.%d.%d.3", 2+os.Getpid()%hosts, sites.Add(1)%hosts)
}

// freeAddresses returns addresses that nobody listens on, all different.
func (s *site) freeAddresses(n int) []string {
	s.t.Helper()
	var addresses []string
	for range n {
		listener, err := net.Listen("tcp", s.ip+":0")
		if err != nil {
			s.t.Fatal(err)
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses
}

// settings returns the settings file of a gateway, as the platform writes it.
func (s *site) settings(name string, addresses [3]string, seeds string) string {
	return fmt.Sprintf(`node_name = %q
role = "gateway"
ip = %q
zone = "z1"
seeds = [%s]
bootstrap = true
a_field_that_nobody_knows = { yet = true }
[listen]
frontend = %q
readiness = %q
control_plane = %q
[limits]
memory_mb = 200
max_fds = 4000
[bounds]
grace_s = 6
strict_revocation = true
revoke_ms = %d
retry_budget_ratio = 0.2
retry_budget_extra = 50
budget_window_s = 10
quota_window_s = 8
quota_overage = 0.1
quota_slack = 1000
[platform]
address = %q
form = "objects"
writes_per_s = 400
`, name, s.ip, seeds, addresses[0], addresses[1], addresses[2], s.revokeMS, cmp.Or(s.storeVia, s.store.Listener.Addr().String()))
}

func (s *site) gateway(name string) *gateway {
	s.t.Helper()
	g := s.prepare(name)
	s.start(g)
	return g
}

// prepare writes the settings of a gateway.
func (s *site) prepare(name string) *gateway {
	s.t.Helper()
	addresses := s.freeAddresses(4)
	g := &gateway{config: filepath.Join(s.t.TempDir(), name+".toml"), callers: addresses[0], readiness: addresses[1], metrics: addresses[3]}
	if err := os.WriteFile(g.config, []byte(s.settings(name, [3]string(addresses), "")), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return g
}

func (s *site) start(g *gateway) {
	s.t.Helper()
	if err := s.launch(g); err != nil {
		s.t.Fatal(err)
	}
	for end := time.Now().Add(patience); g.ready() != http.StatusOK; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("the gateway is not ready after %v: %s", patience, g.Log())
		}
	}
}

// launch starts the process and does not wait until it is ready.
func (s *site) launch(g *gateway) error {
	_, port, err := net.SplitHostPort(g.metrics)
	if err != nil {
		return err
	}
	g.Process, err = fleet.Start("gateway", binaries.Product, "gateway", "--config", g.config, "--metrics-port", port)
	if err != nil {
		return err
	}
	s.t.Cleanup(g.Process.Kill)
	return nil
}

// ready returns what the balancer is told.
func (g *gateway) ready() int {
	response, err := http.Get("http://" + g.readiness + "/v1/readyz")
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func (s *site) until(what string, holds func() bool) {
	s.t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("waited in vain until %s", what)
		}
	}
}

// reply is what a caller got.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
	// closes says that the instance announced to close the connection.
	closes bool
}

// call sends a request as a caller of the platform does.
func (g *gateway) call(ctx context.Context, method, path, id string, header ...string) reply {
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader(`{"a": "request"}`)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+g.callers+path, body)
	if err != nil {
		return reply{err: err}
	}
	request.Host = "site.example"
	request.Header.Set("X-Filbertusher-Attempt-Id", id)
	request.Header.Set("X-Filbertusher-Deadline-Ms", "4000")
	request.Header.Set("X-Filbertusher-Credential", "key")
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	transport := g.keep
	if transport == nil {
		transport = &http.Transport{DisableKeepAlives: true, DisableCompression: true}
		defer transport.CloseIdleConnections()
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(text), err: err, closes: response.Close}
}
