// Package fault puts fault-injecting proxies between processes. It wraps
// toxiproxy, so that a test names a link, such as "engine-0", and what happens
// to it.
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

// made counts the sets of proxies in this process.
var made atomic.Uint32

// newLoopback returns an address on which proxies pick a free port. It is not
// the one that outgoing connections on loopback come from, and no other set of
// proxies has it, so a proxy that went down finds its port free when it comes
// up again.
func newLoopback() string {
	set := made.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:0", 1+os.Getpid()%hosts, 1+set/hosts%hosts, 1+set%hosts)
}

// hosts is how many values of one byte of an address are used.
const hosts = 250

// UnknownLinkError is returned for a link that has no proxy.
type UnknownLinkError struct{ Link string }

// Error implements error.
func (e *UnknownLinkError) Error() string { return "there is no proxy in front of " + e.Link }

// Direction is the way in which data flows through a link.
type Direction string

// Downstream is from the process behind the proxy to the one that connects.
const (
	Downstream Direction = "downstream"
	Upstream   Direction = "upstream"
)

// Toxic is one fault of a link; toxiproxy's documentation lists the types and
// their attributes.
type Toxic struct {
	Type       string         `json:"type"`
	Stream     Direction      `json:"stream"`
	Attributes map[string]int `json:"attributes"`
}

// Proxies is one proxy for each link.
type Proxies struct {
	server   *toxiproxy.ApiServer
	loopback string

	mu     sync.Mutex
	byLink map[string]*toxiproxy.Proxy
}

// New returns no proxies. Its method Via fits fleet.Plan.
func New() *Proxies {
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	return &Proxies{server: server, loopback: newLoopback(), byLink: make(map[string]*toxiproxy.Proxy)}
}

// Via starts a proxy in front of a process and returns the proxy's address.
func (p *Proxies) Via(process, address string) (string, error) {
	proxy := toxiproxy.NewProxy(p.server, process, p.loopback, address)
	if err := proxy.Start(); err != nil {
		return "", err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byLink[process] = proxy
	return proxy.Listen, nil
}

// Address returns where a link is reached.
func (p *Proxies) Address(link string) (string, error) {
	proxy, err := p.of(link)
	if err != nil {
		return "", err
	}
	return proxy.Listen, nil
}

func (p *Proxies) of(link string) (*toxiproxy.Proxy, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	proxy, ok := p.byLink[link]
	if !ok {
		return nil, &UnknownLinkError{Link: link}
	}
	return proxy, nil
}

// Down cuts every connection of a link and refuses new ones.
func (p *Proxies) Down(link string) error {
	proxy, err := p.of(link)
	if err == nil {
		proxy.Stop()
	}
	return err
}

// Up ends Down.
func (p *Proxies) Up(link string) error {
	proxy, err := p.of(link)
	if err != nil {
		return err
	}
	return listenAgain(proxy)
}

const (
	// bindDelay is the pause before a port that is in use is tried again.
	bindDelay = 10 * time.Millisecond
	// bindAttempts ends a test whose port really went to somebody else.
	bindAttempts = 1000
)

// listenAgain starts a proxy on the port that it had. A process that is being
// started beside it holds a copy of the closed listener until it runs its own
// program, and so keeps the port in use for a moment.
func listenAgain(proxy *toxiproxy.Proxy) error {
	var err error
	for range bindAttempts {
		if err = proxy.Start(); !errors.Is(err, syscall.EADDRINUSE) {
			return err
		}
		time.Sleep(bindDelay)
	}
	return err
}

// Move puts the proxy in front of another process. Its address stays.
func (p *Proxies) Move(link, address string) error {
	proxy, err := p.of(link)
	if err != nil {
		return err
	}
	proxy.Stop()
	proxy.Upstream = address
	return listenAgain(proxy)
}

// Cut cuts every connection of a link; new ones work.
func (p *Proxies) Cut(link string) error {
	if err := p.Down(link); err != nil {
		return err
	}
	return p.Up(link)
}

// Add adds a toxic to a link.
func (p *Proxies) Add(link string, toxic Toxic) error {
	proxy, err := p.of(link)
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

// Heal removes every toxic of a link.
func (p *Proxies) Heal(ctx context.Context, link string) error {
	proxy, err := p.of(link)
	if err == nil {
		proxy.Toxics.ResetToxics(ctx)
	}
	return err
}

// Close stops every proxy.
func (p *Proxies) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, proxy := range p.byLink {
		proxy.Stop()
	}
}
