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

// Binaries are the programs that a fleet is made of.
type Binaries struct {
	Product string
	Standin string
}

// Member is a process of the fleet with the addresses it logged.
type Member struct {
	*Process
	// Address is where its peers or callers reach it, Admin where operators do.
	Address string
	Admin   string
}

// Fleet is a set of processes around one store.
type Fleet struct {
	Binaries
	Store  *Member
	Client *platform.Client

	mu      sync.Mutex
	members []*Member
}

// New starts a store. More processes are added by the other methods.
func New(binaries Binaries, storeArgs ...string) (*Fleet, error) {
	f := &Fleet{Binaries: binaries}
	store, err := f.standin("store", append([]string{"store"}, storeArgs...)...)
	if err != nil {
		return nil, err
	}
	f.Store = store
	f.Client = platform.NewClientAt(store.Address)
	return f, nil
}

func (f *Fleet) add(member *Member) *Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = append(f.members, member)
	return member
}

// Members returns every process that was started.
func (f *Fleet) Members() []*Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Member(nil), f.members...)
}

func (f *Fleet) standin(name string, args ...string) (*Member, error) {
	started, err := Start(name, f.Standin, args...)
	if err != nil {
		return nil, err
	}
	member := f.add(&Member{Process: started})
	member.Address, err = started.awaitField("listening", "listen")
	return member, err
}

func (f *Fleet) product(name string, args ...string) (*Member, error) {
	started, err := Start(name, f.Product, args...)
	if err != nil {
		return nil, err
	}
	member := f.add(&Member{Process: started})
	if member.Admin, err = started.awaitField("started", "admin"); err != nil {
		return member, err
	}
	member.Address, err = started.awaitField("listening", "listen")
	return member, err
}

// Engine starts a model engine.
func (f *Fleet) Engine(name string, args ...string) (*Member, error) {
	return f.standin(name, append([]string{"engine"}, args...)...)
}

// Desk starts a plain ordering service.
func (f *Fleet) Desk(name string, args ...string) (*Member, error) {
	return f.standin(name, append([]string{"desk"}, args...)...)
}

// Forwarder starts a bare HTTP forwarder.
func (f *Fleet) Forwarder(name, to string) (*Member, error) {
	return f.standin(name, "forward", "--to", to)
}

// Dump reads the state of a process of the product.
func (m *Member) Dump(ctx context.Context, into any) error {
	body, err := exchange(ctx, http.MethodGet, "http://"+m.Admin+admin.PathDump, nil)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, into)
}

// loopback lets a process pick a free port. It is not the address that outgoing
// connections on loopback come from, so a process that is restarted finds its
// port free.
const loopback = "127.0.1.2:0"

// Companion starts the companion of an endpoint. store is the address of the
// object API as this process sees it, which may be a proxy.
func (f *Fleet) Companion(store string, endpoint usher.Endpoint, backend string, protocol usher.ServiceKind, args ...string) (*Member, error) {
	all := []string{
		"companion", "--store", store, "--zone", string(endpoint.AvailabilityZone), "--listen", loopback, "--admin", loopback,
		"--endpoint", string(endpoint.Name), "--endpoint-address", backend, "--protocol", string(protocol),
	}
	return f.product("companion-"+string(endpoint.Name), append(all, args...)...)
}

// Entry starts an entry in a zone.
func (f *Fleet) Entry(name, store string, zone usher.AvailabilityZone, args ...string) (*Member, error) {
	all := []string{"entry", "--store", store, "--zone", string(zone), "--listen", loopback, "--admin", loopback}
	return f.product(name, append(all, args...)...)
}

// Ready waits until the process knows a configuration.
func (m *Member) Ready(ctx context.Context) error {
	_, err := m.Await(ctx, "ready")
	return err
}

// Put declares an object in the way that operators do.
func (f *Fleet) Put(ctx context.Context, kind config.Kind, name string, object any) (usher.Version, error) {
	head, err := operator.New(f.Client, "fleet").Put(ctx, kind, name, object)
	if err != nil {
		return 0, err
	}
	return head.Version, nil
}

// Control sends a setting to the control URL of a stand-in.
func (m *Member) Control(ctx context.Context, path string, body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	_, err = exchange(ctx, http.MethodPut, "http://"+m.Address+"/control/"+path, encoded)
	return err
}

// Inspect reads a value from the control URL of a stand-in.
func (m *Member) Inspect(ctx context.Context, path string, into any) error {
	body, err := exchange(ctx, http.MethodGet, "http://"+m.Address+"/control/"+path, nil)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, into)
}

// StatusError is returned when a stand-in refused a call.
type StatusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string { return "status " + strconv.Itoa(e.Status) + ": " + e.Body }

func exchange(ctx context.Context, method, url string, body []byte) ([]byte, error) {
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

// Close ends every process of the fleet.
func (f *Fleet) Close() {
	for _, member := range f.Members() {
		member.Kill()
	}
}
