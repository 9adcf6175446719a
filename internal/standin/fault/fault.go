// Package fault runs fault-injecting TCP proxies between processes. It wraps
// toxiproxy. A link is the connection to one process, named after it, such as
// "engine-0"; tests inject faults into a link by its name.
package fault

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
)

// created counts the sets of proxies created in this process.
var created atomic.Uint32

// newLoopback returns a loopback address with port 0 for a set of proxies to
// listen on. Outgoing connections do not use it as their source address, and no
// other set of proxies listens on it. Therefore the port of a stopped proxy is
// still free when the proxy is started again.
func newLoopback() string {
	number := created.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:0", 1+os.Getpid()%hostValues, 1+number/hostValues%hostValues, 1+number%hostValues)
}

// hostValues is the number of values used for one byte of an IPv4 address.
const hostValues = 250

// UnknownLinkError is returned for a link without a proxy.
type UnknownLinkError struct{ Link string }

// Error implements error.
func (e *UnknownLinkError) Error() string { return "no proxy for link " + e.Link }

// Direction is the direction of the data in a link to which a fault applies.
type Direction string

// Downstream is the data from the process behind the proxy to its client,
// Upstream the data from the client to the process.
const (
	Downstream Direction = "downstream"
	Upstream   Direction = "upstream"
)

// Toxic is one fault of a link, in the JSON form of toxiproxy. Its documentation
// lists the types and their attributes.
type Toxic struct {
	Type       string         `json:"type"`
	Stream     Direction      `json:"stream"`
	Attributes map[string]int `json:"attributes"`
}

// Proxies is a set of proxies, one for each link.
type Proxies struct {
	server   *toxiproxy.ApiServer
	loopback string

	mu     sync.Mutex
	byLink map[string]*link
}

// link is a proxy and its address, which stays the same. The proxy writes its own
// copy of the address each time that it starts.
type link struct {
	*toxiproxy.Proxy
	address string
}

// New returns an empty set of proxies. Its method StartProxy can be used as
// the Proxy function of a fleet.Plan.
func New() *Proxies {
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	return &Proxies{server: server, loopback: newLoopback(), byLink: make(map[string]*link)}
}

// StartProxy starts a proxy for the process at address and returns the address of the
// proxy. The link has the name of the process.
func (p *Proxies) StartProxy(process, address string) (string, error) {
	proxy := toxiproxy.NewProxy(p.server, process, p.loopback, address)
	if err := proxy.Start(); err != nil {
		return "", err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byLink[process] = &link{Proxy: proxy, address: proxy.Listen}
	return p.byLink[process].address, nil
}

// Address returns the address of a link's proxy.
func (p *Proxies) Address(link string) (string, error) {
	proxy, err := p.proxy(link)
	if err != nil {
		return "", err
	}
	return proxy.address, nil
}

func (p *Proxies) proxy(name string) (*link, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	proxy, ok := p.byLink[name]
	if !ok {
		return nil, &UnknownLinkError{Link: name}
	}
	return proxy, nil
}

// Down closes all connections of a link and refuses new ones.
func (p *Proxies) Down(link string) error {
	proxy, err := p.proxy(link)
	if err == nil {
		proxy.Stop()
	}
	return err
}

// Up accepts connections of a link again after Down.
func (p *Proxies) Up(link string) error {
	proxy, err := p.proxy(link)
	if err != nil {
		return err
	}
	return restart(proxy)
}

const (
	// bindDelay is the delay before another attempt to bind a port that is in use.
	bindDelay = 10 * time.Millisecond
	// bindAttempts bounds the attempts, for the case that another process has
	// taken the port. They last 10 s in total.
	bindAttempts = 1000
)

// restart starts a stopped proxy on its previous port. If another goroutine is
// starting a process, the forked child has a copy of the closed listener until it
// calls exec, which keeps the port in use for a moment.
func restart(proxy *link) error {
	var err error
	for range bindAttempts {
		if err = proxy.Start(); !errors.Is(err, syscall.EADDRINUSE) {
			return err
		}
		time.Sleep(bindDelay)
	}
	return err
}

// Redirect makes the proxy of a link forward to another address, for example of a
// process that was restarted. The address of the proxy stays the same.
func (p *Proxies) Redirect(link, address string) error {
	proxy, err := p.proxy(link)
	if err != nil {
		return err
	}
	proxy.Stop()
	proxy.Upstream = address
	return restart(proxy)
}

// CloseConnections closes all connections of a link. New connections are accepted.
func (p *Proxies) CloseConnections(link string) error {
	if err := p.Down(link); err != nil {
		return err
	}
	return p.Up(link)
}

// AddToxic adds a toxic to a link.
func (p *Proxies) AddToxic(link string, toxic Toxic) error {
	proxy, err := p.proxy(link)
	if err != nil {
		return err
	}
	encoded, err := json.Marshal(toxic)
	if err != nil {
		return err
	}
	_, err = proxy.Toxics.AddToxicJson(strings.NewReader(string(encoded)))
	return err
}

// RemoveToxics removes all toxics of a link.
func (p *Proxies) RemoveToxics(ctx context.Context, link string) error {
	proxy, err := p.proxy(link)
	if err == nil {
		proxy.Toxics.ResetToxics(ctx)
	}
	return err
}

// Close stops all proxies.
func (p *Proxies) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, proxy := range p.byLink {
		proxy.Stop()
	}
}
