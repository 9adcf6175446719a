package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// try is one attempt of a client, and what became of it.
type try struct {
	id, class, tenant, gateway string
	sent                       time.Time
	status                     int
	served                     bool
	after                      time.Duration
}

// load sends the requests of all clients until it is stopped.
type load struct {
	w       *world
	random  *rand.Rand
	ctx     context.Context
	cancel  context.CancelFunc
	clients sync.WaitGroup

	mu     sync.Mutex
	tries  []try
	number int
}

func (w *world) startLoad(scale float64, seed uint64) *load {
	l := w.newLoad(seed)
	for i := range classes {
		go l.send(&classes[i], scale, rand.New(rand.NewPCG(seed, uint64(i)+10)))
	}
	return l
}

// newLoad returns a load without requests.
func (w *world) newLoad(seed uint64) *load {
	l := &load{w: w, random: rand.New(rand.NewPCG(seed, 1))}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	go l.watchReadiness()
	return l
}

// watchReadiness asks each gateway once a second, and takes it out after two misses.
func (l *load) watchReadiness() {
	for l.ctx.Err() == nil {
		for _, g := range l.w.gateways {
			go func() {
				ready := g.isReady()
				l.mu.Lock()
				defer l.mu.Unlock()
				if ready {
					g.ready, g.misses = true, 0
				} else if g.misses++; g.misses >= 2 {
					g.ready = false
				}
			}()
		}
		time.Sleep(time.Second)
	}
}

func (l *load) send(c *class, scale float64, random *rand.Rand) {
	next := time.Now()
	for l.ctx.Err() == nil {
		next = next.Add(time.Duration(random.ExpFloat64() / (c.perSecond * scale) * float64(time.Second)))
		time.Sleep(time.Until(next))
		at, t := random.Float64(), &l.w.tenants[0]
		for i := range l.w.tenants {
			if t = &l.w.tenants[i]; at < t.share {
				break
			}
			at -= t.share
		}
		l.clients.Add(1)
		go l.request(c, t, nil)
	}
}

// sendAt sends the requests of a tenant whose clients are in the zone of a gateway, so many a
// second, until it is stopped.
func (l *load) sendAt(c *class, t *tenant, home *gateway, perSecond func() float64, random *rand.Rand) {
	next := time.Now()
	for l.ctx.Err() == nil {
		next = next.Add(time.Duration(random.ExpFloat64() / perSecond() * float64(time.Second)))
		time.Sleep(time.Until(next))
		l.clients.Add(1)
		go l.request(c, t, home)
	}
}

// pick chooses a gateway among those in rotation, other than the last one, if possible. home is
// that of the client's zone, or nil.
func (l *load) pick(home, last *gateway) *gateway {
	l.mu.Lock()
	defer l.mu.Unlock()
	if home != nil && home.ready {
		return home
	}
	var ready []*gateway
	for _, g := range l.w.gateways {
		if g.ready && g != last {
			ready = append(ready, g)
		}
	}
	if len(ready) == 0 {
		ready = l.w.gateways
	}
	return ready[l.random.IntN(len(ready))]
}

// request is one request of a client, which retries once after a promise that it has not run.
func (l *load) request(c *class, t *tenant, home *gateway) {
	defer l.clients.Done()
	deadline := time.Now().Add(time.Duration(c.timeoutMS) * time.Millisecond)
	var last *gateway
	for attempt := range 2 {
		last = l.pick(home, last)
		done, wait := l.attempt(c, t, last, deadline, attempt)
		if done || time.Until(deadline) < 100*time.Millisecond {
			return
		}
		time.Sleep(min(wait, time.Until(deadline)/3))
	}
}

func (l *load) attempt(c *class, t *tenant, g *gateway, deadline time.Time, number int) (done bool, wait time.Duration) {
	l.mu.Lock()
	l.number++
	id := fmt.Sprintf("%06x%010x", l.number, l.random.Uint64()>>24)
	l.mu.Unlock()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	made := try{id: id, class: c.name, tenant: t.name, gateway: g.name, sent: time.Now()}
	method, body := http.MethodPost, io.Reader(strings.NewReader(strings.Repeat("b", 600)))
	if c.kind == "safe" {
		method, body = http.MethodGet, nil
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+g.address(frontend)+c.path+"x", body)
	if err != nil {
		fail(err)
	}
	request.Host = host
	request.Header.Set("X-Filbertusher-Attempt-Id", id)
	request.Header.Set("X-Filbertusher-Deadline-Ms", strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	request.Header.Set("X-Filbertusher-Credential", t.key)
	if c.kind == "streaming" {
		request.Header.Set("X-Filbertusher-Model-Name", "m")
		request.Header.Set("X-Filbertusher-Token-Count", fmt.Sprintf("%d,%d", c.prompt, c.answer))
		request.Header.Set("X-Filbertusher-Prompt-Prefix", fmt.Sprintf("5c1e07a2:60,%08x:%d", l.number%200, c.prompt-60))
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	response, err := transport.RoundTrip(request)
	if err == nil {
		made.status = response.StatusCode
		events, whole := readAnswer(response)
		made.served = response.StatusCode == http.StatusOK && response.Header.Get("X-Filbertusher-Response-Seal") == "seal-"+id && whole && (c.kind != "streaming" || events == c.events)
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		wait = time.Duration(seconds * float64(time.Second))
	}
	made.after = time.Since(made.sent)
	l.mu.Lock()
	l.tries = append(l.tries, made)
	l.mu.Unlock()
	l.w.logf("%s %s of %s at %s, try %d: status %d served %t after %d ms", id, c.name, t.name, g.name, number+1, made.status, made.served, made.after.Milliseconds())
	switch made.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return false, wait
	case 0:
		return c.kind == "unsafe", 0
	}
	return made.served || c.kind != "safe", wait
}

func readAnswer(response *http.Response) (events int, whole bool) {
	defer response.Body.Close()
	reader := bufio.NewReader(response.Body)
	for {
		line, err := reader.ReadString('\n')
		if strings.HasPrefix(line, "id: ") {
			events++
		}
		if err != nil {
			return events, err == io.EOF
		}
	}
}

// stop stops the load and waits for the requests that still run.
func (l *load) stop() {
	l.cancel()
	time.Sleep(200 * time.Millisecond)
	l.clients.Wait()
}

// count returns how many tries were sent within a time, and how many of them were served.
func (l *load) count(from, to time.Time, of func(*try) bool) (sent, served int, statuses map[int]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	statuses = make(map[int]int)
	for i := range l.tries {
		t := &l.tries[i]
		if t.sent.Before(from) || !t.sent.Before(to) || of != nil && !of(t) {
			continue
		}
		sent++
		statuses[t.status]++
		if t.served {
			served++
		}
	}
	return sent, served, statuses
}
