package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"

	"filbertusher/internal/admin"
	"filbertusher/internal/config"
	"filbertusher/internal/operator"
	"filbertusher/pkg/usher"
	"filbertusher/platform"
)

// Binaries holds the paths of the programs: the scheduler, which the measuring
// packages call the product, and the program that simulates outside systems.
type Binaries struct {
	Scheduler string
	Standin   string
}

// Member is a process of the cluster with the addresses that it logged.
type Member struct {
	*Process
	// Address is the address for peers and callers, Admin the one for operators.
	Address string
	Admin   string
}

// Cluster is a set of processes that use the same object store. Client accesses the
// store directly.
type Cluster struct {
	Binaries
	Store  *Member
	Client *platform.Client

	mu      sync.Mutex
	members []*Member
}

// New starts an object store. Further processes are started by the methods of the
// cluster.
func New(binaries Binaries, storeArgs ...string) (*Cluster, error) {
	c := &Cluster{Binaries: binaries}
	store, err := c.startStandin("store", append([]string{"store"}, storeArgs...)...)
	if err != nil {
		return nil, err
	}
	c.Store = store
	c.Client = platform.NewClientAt(store.Address)
	return c, nil
}

func (c *Cluster) add(member *Member) *Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members = append(c.members, member)
	return member
}

// Members returns all processes that were started.
func (c *Cluster) Members() []*Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Member(nil), c.members...)
}

func (c *Cluster) startStandin(name string, args ...string) (*Member, error) {
	process, err := Start(name, c.Standin, args...)
	if err != nil {
		return nil, err
	}
	member := c.add(&Member{Process: process})
	member.Address, err = process.awaitField("listening", "listen")
	return member, err
}

func (c *Cluster) startScheduler(name string, args ...string) (*Member, error) {
	process, err := Start(name, c.Scheduler, args...)
	if err != nil {
		return nil, err
	}
	member := c.add(&Member{Process: process})
	if member.Admin, err = process.awaitField("started", "admin"); err != nil {
		return member, err
	}
	member.Address, err = process.awaitField("listening", "listen")
	return member, err
}

// Engine starts a simulated model engine.
func (c *Cluster) Engine(name string, args ...string) (*Member, error) {
	return c.startStandin(name, append([]string{"engine"}, args...)...)
}

// OrderService starts a simulated plain service that takes orders.
func (c *Cluster) OrderService(name string, args ...string) (*Member, error) {
	return c.startStandin(name, append([]string{"desk"}, args...)...)
}

// Forwarder starts a plain HTTP forwarder, without scheduling.
func (c *Cluster) Forwarder(name, to string) (*Member, error) {
	return c.startStandin(name, "forward", "--to", to)
}

// Dump reads the state of a scheduler process from its operators' address.
func (m *Member) Dump(ctx context.Context, into any) error {
	body, err := call(ctx, http.MethodGet, "http://"+m.Admin+admin.PathDump, nil)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, into)
}

// loopback is the address on which processes listen; port 0 selects a free port.
// Outgoing connections on loopback have another source address, so that they do
// not take the port of a process that is restarted.
const loopback = "127.0.1.2:0"

// Companion starts the companion of an endpoint. store is the address at which the
// companion reaches the object API; it may be that of a proxy.
func (c *Cluster) Companion(store string, endpoint usher.Endpoint, backend string, protocol usher.ServiceKind, args ...string) (*Member, error) {
	flags := []string{
		"companion", "--store", store, "--zone", string(endpoint.AvailabilityZone), "--listen", loopback, "--admin", loopback,
		"--endpoint", string(endpoint.Name), "--endpoint-address", backend, "--protocol", string(protocol),
	}
	return c.startScheduler("companion-"+string(endpoint.Name), append(flags, args...)...)
}

// Entry starts an entry process in an availability zone.
func (c *Cluster) Entry(name, store string, zone usher.AvailabilityZone, args ...string) (*Member, error) {
	flags := []string{"entry", "--store", store, "--zone", string(zone), "--listen", loopback, "--admin", loopback}
	return c.startScheduler(name, append(flags, args...)...)
}

// AwaitReady waits until the process has logged that it is ready, which it does
// once it has a configuration.
func (m *Member) AwaitReady(ctx context.Context) error {
	_, err := m.Await(ctx, "ready")
	return err
}

// Put writes an object of the configuration, through the client that operators
// use, and returns its version.
func (c *Cluster) Put(ctx context.Context, kind config.Kind, name string, object any) (usher.Version, error) {
	head, err := operator.New(c.Client, "fleet").Put(ctx, kind, name, object)
	if err != nil {
		return 0, err
	}
	return head.Version, nil
}

// PutControl sends a value to a path below /control/ of a simulated server.
func (m *Member) PutControl(ctx context.Context, path string, body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	_, err = call(ctx, http.MethodPut, "http://"+m.Address+"/control/"+path, encoded)
	return err
}

// GetControl reads a value from a path below /control/ of a simulated server.
func (m *Member) GetControl(ctx context.Context, path string, into any) error {
	body, err := call(ctx, http.MethodGet, "http://"+m.Address+"/control/"+path, nil)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, into)
}

// StatusError is returned if a process answered an HTTP call with an error status.
type StatusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string { return "status " + strconv.Itoa(e.Status) + ": " + e.Body }

func call(ctx context.Context, method, url string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode >= http.StatusBadRequest {
		err = &StatusError{Status: response.StatusCode, Body: string(answer)}
	}
	return answer, err
}

// Close kills all processes of the cluster.
func (c *Cluster) Close() {
	for _, member := range c.Members() {
		member.Kill()
	}
}
