package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	replicaCount = 12
	// nodeCount is the number of gateways.
	nodeCount = 4
	// promptTokens and answerTokens are those of each request, and requestTokens their sum.
	promptTokens  = 6000
	answerTokens  = 500
	requestTokens = promptTokens + answerTokens
	// usualPerSecond is the usual number of requests per second, 0.55 of the quota, and
	// hotFactor by how much it grows.
	usualPerSecond = 27
	hotFactor      = 6
	usualTime      = 6 * time.Second
	// hotAfter is the time from the first SIGTERM until the tenant sends more, and hotTime how
	// long it does.
	hotAfter = 7200 * time.Millisecond
	hotTime  = 11 * time.Second
	// rollGap is the time between two SIGTERMs, and grace that until SIGKILL.
	rollGap      = time.Second
	grace        = 8 * time.Second
	restartDelay = 500 * time.Millisecond
	clientWait   = 3 * time.Second
	quotaWindow  = 8 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 140000
)

// attempt is one client attempt.
type attempt struct {
	id      string
	node    int
	sent    time.Time
	arrived time.Time
	status  int
}

// models are the model replicas, which note what they run.
type models struct {
	mu      sync.Mutex
	arrived map[string]time.Time
	twice   int
}

func (m *models) serve(name string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		id := q.Header.Get("X-Filbertusher-Attempt-Id")
		w.Header().Set("X-Filbertusher-Attempt-Id", id)
		if expected := q.Header.Get("X-Filbertusher-Expect-Instance"); expected != "" && expected != name {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		if q.URL.Path == "/report/x" {
			m.report(w, q, id)
			return
		}
		m.mu.Lock()
		if _, again := m.arrived[id]; again {
			m.twice++
		} else {
			m.arrived[id] = time.Now()
		}
		m.mu.Unlock()
		time.Sleep(30 * time.Millisecond)
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("X-Filbertusher-Response-Seal", "seal-of-"+id)
		for i := range 3 {
			fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", i+1, i+1, id)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(5 * time.Millisecond)
		}
	})
}

// report answers with a stream that takes the whole time of its request.
func (m *models) report(w http.ResponseWriter, q *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Filbertusher-Response-Seal", "seal-of-"+id)
	for i := range 70 {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", i+1, i+1, id); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-q.Context().Done():
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// roll stops and starts all nodes in turn, each while it answers a long stream, and one tenant
// sends many times its usual when the first of them is about to be back. Without trouble the
// nodes keep running, and the tenant sends the same.
func roll(r *rig) {
	m := &models{arrived: make(map[string]time.Time)}
	for i := range replicaCount {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		r.must(err)
		name := fmt.Sprintf("i-%d", i+1)
		go func() { _ = http.Serve(listener, m.serve(name)) }()
		r.register(name, "model", listener.Addr().String(), 14, time.Now().UnixMilli())
	}
	var nodes []*node
	for i := range nodeCount {
		nodes = append(nodes, r.startGateway(fmt.Sprintf("edge-%d", i+1), fmt.Sprintf("127.0.56.%d", i+1)))
	}
	b := newBalancer(nodes)
	go b.run()
	time.Sleep(4 * time.Second)
	r.note("all nodes are ready")

	var mu sync.Mutex
	var attempts []*attempt
	var callers sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: clientWait}
	try := func(id string, not int, left time.Duration) (status, node int, after time.Duration) {
		a := &attempt{id: id, node: b.pick(not)}
		q := request(nodes[a.node], "/question/x", id, "key", left)
		a.sent = time.Now()
		response, err := client.Do(q)
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			a.status = response.StatusCode
			seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
			after = time.Duration(seconds * float64(time.Second))
		}
		mu.Lock()
		attempts = append(attempts, a)
		mu.Unlock()
		return a.status, a.node, after
	}
	number := 0
	send := func() {
		number++
		id := fmt.Sprintf("%08x", number)
		callers.Go(func() {
			began := time.Now()
			status, node, after := try(id+"a", -1, clientWait)
			left := clientWait - time.Since(began)
			if status != http.StatusTooManyRequests && status != http.StatusServiceUnavailable || after > left/3 {
				return
			}
			time.Sleep(after)
			try(id+"b", node, clientWait-time.Since(began))
		})
	}
	play := func(perSecond int, end time.Time) {
		pause := time.Second / time.Duration(perSecond)
		for next := time.Now(); time.Now().Before(end); next = next.Add(pause) {
			time.Sleep(time.Until(next))
			send()
		}
	}
	begin := time.Now().Add(usualTime)
	play(usualPerSecond, begin)
	if r.trouble {
		for i, g := range nodes {
			callers.Go(func() {
				time.Sleep(time.Until(begin.Add(time.Duration(i) * rollGap)))
				r.stopBusy(g)
			})
		}
	}
	hot := begin.Add(hotAfter)
	play(usualPerSecond, hot)
	r.note("the tenant sends %d times its usual", hotFactor)
	play(usualPerSecond*hotFactor, hot.Add(hotTime))
	r.note("the tenant's traffic ends")
	callers.Wait()
	r.judgeQuota(attempts, m)
}

// stopBusy stops a node while it answers a long stream, and starts it again.
func (r *rig) stopBusy(g *node) {
	go func() {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 20 * time.Second}
		if response, err := client.Do(request(g, "/report/x", "long-"+g.name, "planner-key", 15*time.Second)); err == nil {
			n, err := io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			r.note("long stream at %s: status %d, %d bytes, %v", g.name, response.StatusCode, n, err)
		}
	}()
	time.Sleep(300 * time.Millisecond)
	r.note("SIGTERM to %s", g.name)
	r.must(g.command.Process.Signal(syscall.SIGTERM))
	select {
	case <-g.exited:
	case <-time.After(grace):
		r.note("SIGKILL to %s", g.name)
		r.must(g.command.Process.Kill())
		<-g.exited
	}
	r.note("%s has ended", g.name)
	time.Sleep(restartDelay)
	r.restart(g)
	r.note("%s is started again", g.name)
}

// request returns a request as a client of the platform sends it.
func request(g *node, path, id, key string, wait time.Duration) *http.Request {
	q, err := http.NewRequest(http.MethodPost, "http://"+g.frontend+path, strings.NewReader(`{"a": "question"}`))
	if err != nil {
		panic(err)
	}
	q.Host = "site.example"
	q.Header.Set("X-Filbertusher-Attempt-Id", id)
	q.Header.Set("X-Filbertusher-Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	q.Header.Set("X-Filbertusher-Credential", key)
	q.Header.Set("X-Filbertusher-Model-Name", "m")
	q.Header.Set("X-Filbertusher-Token-Count", fmt.Sprintf("%d,%d", promptTokens, answerTokens))
	q.Header.Set("X-Filbertusher-Prompt-Prefix", fmt.Sprintf("5c1e07a2:60,%s:%d", id, promptTokens-60))
	return q
}

// balancer forwards connections as the platform does: it asks each node once a second, leaves
// out a node after two misses, and uses all while fewer than half are in rotation.
type balancer struct {
	nodes []*node

	mu     sync.Mutex
	misses []int
}

func newBalancer(nodes []*node) *balancer {
	return &balancer{nodes: nodes, misses: make([]int, len(nodes))}
}

func (b *balancer) run() {
	for range time.Tick(time.Second) {
		for i, g := range b.nodes {
			ready := g.ready()
			b.mu.Lock()
			if b.misses[i]++; ready {
				b.misses[i] = 0
			}
			b.mu.Unlock()
		}
	}
}

// pick returns a node for a new connection, if possible another one than not.
func (b *balancer) pick(not int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []int
	for i, misses := range b.misses {
		if misses < 2 {
			in = append(in, i)
		}
	}
	if 2*len(in) < len(b.nodes) {
		in = in[:0]
		for i := range b.nodes {
			in = append(in, i)
		}
	}
	if len(in) > 1 {
		in = slices.DeleteFunc(in, func(i int) bool { return i == not })
	}
	return in[rand.IntN(len(in))]
}

// judgeQuota checks the rule QUOTA.
func (r *rig) judgeQuota(attempts []*attempt, m *models) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var ran []*attempt
	counts := map[string]int{}
	for _, a := range attempts {
		at, found := m.arrived[a.id]
		if found {
			a.arrived = at
			ran = append(ran, a)
		}
		counts[fmt.Sprintf("node %d status %d", a.node+1, a.status)]++
		r.note("attempt %s at node %d: sent %s, status %d, runs %t %s", a.id, a.node+1, a.sent.Format("05.000"), a.status, found, a.arrived.Format("05.000"))
	}
	for name, count := range counts {
		r.note("%s: %d", name, count)
	}
	sort.Slice(ran, func(i, j int) bool { return ran[i].sent.Before(ran[j].sent) })
	most, from := 0, time.Time{}
	for i, first := range ran {
		tokens := 0
		for _, a := range ran[i:] {
			if a.sent.Sub(first.sent) >= quotaWindow {
				break
			}
			if a.arrived.Sub(first.sent) < quotaWindow {
				tokens += requestTokens
			}
		}
		if tokens > most {
			most, from = tokens, first.sent
		}
	}
	limit := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage) + quotaSlack
	r.note("%d attempts, %d ran, %d of them more than once", len(attempts), len(ran), m.twice)
	r.note("most tokens that were sent and ran within %v: %d from %s on, allowed %.0f", quotaWindow, most, from.Format("05.000"), limit)
	switch {
	case float64(most) > limit:
		r.note("QUOTA: broken")
		r.end(exitBroken)
	case len(ran) < 300:
		r.unable(fmt.Errorf("only %d requests ran", len(ran)))
	}
	r.end(exitHeld)
}
