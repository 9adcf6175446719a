package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// storm sends many kinds of requests through gateways while the replicas fail in the ways that
// the pages name, and checks every answer. It is for looking, not a case.

type ledger struct {
	mu    sync.Mutex
	runs  map[string]int
	notes []string
	kinds map[string]int
}

func (l *ledger) ran(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
}

func (l *ledger) runsOf(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

func (l *ledger) count(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.kinds[what]++
}

func seedOf(id string) *rand.Rand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return rand.New(rand.NewPCG(h.Sum64(), 7))
}

// bodyOf returns the answer to a request: each replica would write the same.
func bodyOf(id string) []byte {
	r := seedOf(id)
	n := []int{0, 10, 800, 4000, 4096, 9000, 65536 + 4096, 150000}[r.IntN(8)]
	unit := []byte(id + ";")
	return bytes.Repeat(unit, n/len(unit)+1)[:n]
}

func eventOf(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", n, id, n) }
func eventsOf(id string) int          { return 3 + seedOf(id).IntN(40) }

type stormReplica struct {
	*replica
	ledger *ledger
	broken func(format string, values ...any)
	fail   float64
}

func (s *stormReplica) serve(r *replica, conn net.Conn, request *http.Request, body []byte) bool {
	id := request.Header.Get("X-Filbertusher-Attempt-Id")
	sum := sha256.Sum256(body)
	if want := request.Header.Get("X-Check"); want != "" && want != hex.EncodeToString(sum[:8]) {
		s.broken("UNASKED: %s has another body at %s", id, r.id)
	}
	if request.Header.Get("X-Filbertusher-Credential") != "" {
		s.broken("UNASKED: %s brought its key", id)
	}
	if want := request.Header.Get("X-Want-Tenant"); want != request.Header.Get("X-Filbertusher-Tenant-Id") {
		s.broken("UNASKED: %s has tenant %s, not %s", id, request.Header.Get("X-Filbertusher-Tenant-Id"), want)
	}
	if want := request.Header.Get("X-Want-Target"); want != request.RequestURI {
		s.broken("UNASKED: %s has target %s, not %s", id, request.RequestURI, want)
	}
	if c := stormControl; c != nil {
		c.arrived(r.id, id, request.Header.Get("X-Want-Key"), request.Header.Get("X-Sent-Ms"))
	}
	failing := rand.Float64() < s.fail
	how := rand.IntN(9)
	if failing && how == 0 {
		_, err := io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Filbertusher-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	s.ledger.ran(id)
	time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
	reset := func() bool {
		if tcp, ok := conn.(*net.TCPConn); ok && rand.IntN(2) == 0 {
			_ = tcp.SetLinger(0)
		}
		return false
	}
	head := fmt.Sprintf("X-Filbertusher-Attempt-Id: %s\r\nX-Filbertusher-Response-Seal: seal.%s\r\nKeep-Alive: timeout=30\r\n", id, id)
	if strings.HasPrefix(request.URL.Path, "/plan/") || strings.HasPrefix(request.URL.Path, "/question/") {
		return s.stream(conn, request, id, head, failing, how, reset)
	}
	answer := bodyOf(id)
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(answer), answer)
	if !failing {
		switch rand.IntN(8) {
		case 0: // no length
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sConnection: close\r\n\r\n%s", head, answer)
			return false
		case 1: // chunks
			var b bytes.Buffer
			fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n", head)
			for part := answer; len(part) > 0; {
				n := min(len(part), 1+rand.IntN(5000))
				fmt.Fprintf(&b, "%x\r\n%s\r\n", n, part[:n])
				part = part[n:]
			}
			b.WriteString("0\r\n\r\n")
			_, err := conn.Write(b.Bytes())
			return err == nil
		default:
			_, err := io.WriteString(conn, whole)
			return err == nil
		}
	}
	switch how {
	case 1:
		return reset()
	case 2:
		_, _ = io.WriteString(conn, whole[:rand.IntN(len(whole))])
		return reset()
	case 3: // the same answer once more, now or later
		_, _ = io.WriteString(conn, whole)
		if rand.IntN(2) == 0 {
			time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
		}
		_, err := io.WriteString(conn, whole)
		return err == nil
	case 4:
		_, _ = io.WriteString(conn, whole+"and more bytes\r\n\r\n")
		return true
	case 5:
		failure := "failed " + id
		_, err := fmt.Fprintf(conn, "HTTP/1.1 500 Internal Server Error\r\n%sContent-Length: %d\r\n\r\n%s", head, len(failure), failure)
		return err == nil
	case 6:
		_, _ = io.WriteString(conn, "these bytes are no answer\r\n\r\n")
		return reset()
	case 7: // the answer breaks off with a reset, and had no length
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sConnection: close\r\n\r\n%s", head, answer[:len(answer)/2])
		if tcp, ok := conn.(*net.TCPConn); ok {
			time.Sleep(20 * time.Millisecond)
			_ = tcp.SetLinger(0)
		}
		return false
	default:
		time.Sleep(time.Duration(300+rand.IntN(1500)) * time.Millisecond)
		_, err := io.WriteString(conn, whole)
		return err == nil
	}
}

func (s *stormReplica) stream(conn net.Conn, request *http.Request, id, head string, failing bool, how int, reset func() bool) bool {
	first, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	last := eventsOf(id)
	chunked := rand.IntN(4) != 0
	framing := "Transfer-Encoding: chunked\r\n"
	if !chunked {
		framing = "Connection: close\r\n"
	}
	out := bufio.NewWriter(conn)
	write := func(text string) bool {
		if chunked {
			fmt.Fprintf(out, "%x\r\n%s\r\n", len(text), text)
		} else {
			out.WriteString(text)
		}
		return out.Flush() == nil
	}
	fmt.Fprintf(out, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n%s\r\n", head, framing)
	if out.Flush() != nil {
		return false
	}
	stopAt := last + 1
	if failing {
		stopAt = first + 1 + rand.IntN(max(1, last-first))
	}
	for n := first + 1; n <= last; n++ {
		if n == stopAt {
			switch how {
			case 1, 2:
				_ = write(eventOf(id, n)[:5])
				return reset()
			case 3, 4, 5:
				// It goes on after a long pause.
				time.Sleep(time.Duration(800+rand.IntN(2500)) * time.Millisecond)
			case 6:
				if tcp, ok := conn.(*net.TCPConn); ok {
					_ = tcp.SetLinger(0)
				}
				return false
			default:
				// Two events in one write, and half of the next.
				if n+2 <= last {
					if !write(eventOf(id, n) + eventOf(id, n+1) + eventOf(id, n+2)[:7]) {
						return false
					}
					time.Sleep(time.Millisecond)
					if !write(eventOf(id, n+2)[7:]) {
						return false
					}
					n += 2
					continue
				}
			}
		}
		if !write(eventOf(id, n)) {
			return false
		}
		time.Sleep(time.Duration(rand.IntN(4)) * time.Millisecond)
	}
	if !chunked {
		return false
	}
	out.WriteString("0\r\n\r\n")
	return out.Flush() == nil
}

func failRate() float64 {
	rate, err := strconv.ParseFloat(os.Getenv("STORM_FAIL"), 64)
	if err != nil {
		return 0.15
	}
	return rate
}

func storm(w *world, _ bool) (bool, error) {
	seconds, _ := strconv.Atoi(os.Getenv("STORM_S"))
	if seconds == 0 {
		seconds = 40
	}
	workers, _ := strconv.Atoi(os.Getenv("STORM_WORKERS"))
	if workers == 0 {
		workers = 120
	}
	stream := map[string]any{"timeout_ms": 15000, "target_latency_ms": 500, "priority": 0, "gap_aim_ms": 300}
	resumable := map[string]any{"timeout_ms": 15000, "target_latency_ms": 500, "priority": 1, "gap_aim_ms": 300, "stream_resume": true, "max_attempts": 2}
	split := []map[string]any{{"service": "desk", "weight": 70}, {"service": "desk2", "weight": 30}}
	set := func(weights []map[string]any) {
		w.config["routes"] = []map[string]any{
			route("order", "/order/", "unsafe", "desk", map[string]any{"timeout_ms": 3000}),
			route("check", "/check/", "safe", "desk", map[string]any{"max_attempts": 2, "timeout_ms": 3000, "traffic_split": weights}),
			route("upload", "/upload/", "unsafe", "desk2", map[string]any{"timeout_ms": 3000}),
			route("plan", "/plan/", "streaming", "model", resumable),
			route("question", "/question/", "streaming", "model", stream),
		}
	}
	set(split)
	w.config["services"] = []map[string]any{
		{"name": "desk", "health_path": "/healthz", "max_connections": 400}, {"name": "desk2", "health_path": "/healthz", "max_connections": 400},
		{"name": "model", "health_path": "/healthz", "max_connections": 400, "engine": map[string]any{"slots": 40, "stride": 5}},
	}
	w.config["tenants"] = []map[string]any{
		{"name": "t1", "api_keys": []string{"k1"}, "priority": 1, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 0, "burst": 0},
		{"name": "t2", "api_keys": []string{"k2", "k3"}, "priority": 2, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 0, "burst": 0},
	}
	w.configure()
	l := &ledger{runs: make(map[string]int), kinds: make(map[string]int)}
	var found atomic.Int64
	broken := func(format string, values ...any) {
		if found.Add(1) < 200 {
			w.note("BROKEN "+format, values...)
		}
	}
	for service, n := range map[string]int{"desk": 3, "desk2": 3, "model": 4} {
		for i := range n {
			r, err := w.newReplica(fmt.Sprintf("i-%s-%d", service, i), service, 40, 0)
			if err != nil {
				return false, err
			}
			s := &stormReplica{replica: r, ledger: l, broken: broken, fail: failRate()}
			r.serve = s.serve
			stormReplicas.all = append(stormReplicas.all, r)
		}
	}
	var fleet []*gatewayProcess
	for _, name := range []string{"edge-1", "edge-2"} {
		g, err := w.newGateway(name)
		if err != nil {
			return false, err
		}
		fleet = append(fleet, g)
	}
	for _, g := range fleet {
		if err := g.start(true, fleet[0].peer); err != nil {
			return false, err
		}
	}
	for _, g := range fleet {
		if !g.awaitReady(15 * time.Second) {
			return false, errNotReady
		}
	}
	end := time.Now().Add(time.Duration(seconds) * time.Second)
	var all sync.WaitGroup
	for i := range workers {
		all.Go(func() {
			for time.Now().Before(end) {
				stormCaller(w, fleet[i%len(fleet)], l, broken, end)
			}
		})
	}
	all.Go(func() {
		for time.Now().Before(end) {
			time.Sleep(700 * time.Millisecond)
			if rand.IntN(2) == 0 {
				set([]map[string]any{{"service": "desk", "weight": rand.IntN(100)}, {"service": "desk2", "weight": 1 + rand.IntN(100)}})
			}
			stormConfig.Lock()
			w.configure()
			stormConfig.Unlock()
		}
	})
	if os.Getenv("STORM_CONTROL") != "" {
		c := &control{world: w, ledger: l, broken: broken, drained: make(map[string]time.Time), revoked: make(map[string]time.Time), added: make(map[string]time.Time)}
		stormControl = c
		all.Go(func() { c.replaceReplicas(end) })
		all.Go(func() { c.rotateKeys(end) })
		all.Go(func() { c.disturbStore(end) })
	}
	if os.Getenv("STORM_TROUBLE") != "" {
		all.Go(func() { stormTrouble(w, fleet, end) })
	}
	all.Wait()
	for _, g := range fleet {
		if !g.running() {
			broken("crash: %s has ended", g.name)
		}
	}
	w.note("%v", l.kinds)
	if os.Getenv("STORM_DUMP") != "" {
		time.Sleep(6 * time.Second)
		for _, g := range fleet {
			for _, path := range []string{"/dump", "/debug/vars"} {
				if response, err := http.Get("http://" + g.ip + ":9101" + path); err == nil {
					text, _ := io.ReadAll(response.Body)
					_ = response.Body.Close()
					w.note("%s %s: %s", g.name, path, text)
				}
			}
		}
	}
	return found.Load() > 0, nil
}

// stormCaller is a client with one kept connection.
func stormCaller(w *world, g *gatewayProcess, l *ledger, broken func(string, ...any), end time.Time) {
	conn, err := net.DialTimeout("tcp", g.callers, time.Second)
	if err != nil {
		l.count("not connected")
		time.Sleep(50 * time.Millisecond)
		return
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for time.Now().Before(end) {
		id := fmt.Sprintf("s%06x%08x", w.requests.Add(1), rand.Uint32())
		kind := []string{"order", "check", "upload", "plan", "question"}[rand.IntN(5)]
		key, tenant := "k1", "t1"
		if rand.IntN(2) == 0 {
			key, tenant = []string{"k2", "k3"}[rand.IntN(2)], "t2"
		}
		if c := stormControl; c != nil && rand.IntN(2) == 0 {
			key, tenant = c.someKey(), "t3"
		}
		method, target := "POST", fmt.Sprintf("/%s/%%7Ex//a?q=%d", kind, rand.IntN(100))
		var body []byte
		switch kind {
		case "check":
			method = "GET"
		case "upload":
			body = bytes.Repeat([]byte(id), 1+rand.IntN(20000))
		default:
			body = []byte("body of " + id)
		}
		sum := sha256.Sum256(body)
		var out bytes.Buffer
		fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Filbertusher-Attempt-Id: %s\r\nX-Filbertusher-Deadline-Ms: 3500\r\nX-Filbertusher-Credential: %s\r\nX-Check: %s\r\nX-Want-Tenant: %s\r\nX-Want-Target: %s\r\nX-Filbertusher-Tenant-Id: forged\r\nX-Want-Key: %s\r\nX-Sent-Ms: %d\r\n",
			method, target, id, key, hex.EncodeToString(sum[:8]), tenant, target, key, time.Now().UnixMilli())
		sentAt := time.Now()
		if method == "POST" && rand.IntN(3) == 0 {
			out.WriteString("Transfer-Encoding: chunked\r\n\r\n")
			for part := body; len(part) > 0; {
				n := min(len(part), 1+rand.IntN(30000))
				fmt.Fprintf(&out, "%x\r\n%s\r\n", n, part[:n])
				part = part[n:]
			}
			out.WriteString("0\r\n\r\n")
		} else if method == "POST" {
			fmt.Fprintf(&out, "Content-Length: %d\r\n\r\n%s", len(body), body)
		} else {
			out.WriteString("\r\n")
		}
		_ = conn.SetDeadline(time.Now().Add(6 * time.Second))
		if _, err := conn.Write(out.Bytes()); err != nil {
			l.count(kind + " not written")
			return
		}
		if rand.IntN(40) == 0 {
			time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
			l.count(kind + " left")
			return
		}
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			l.count(kind + " no answer")
			w.note("no answer: %s, ran %d times, %v", id, l.runsOf(id), err)
			return
		}
		text, err := io.ReadAll(response.Body)
		l.count(fmt.Sprintf("%s %d", kind, response.StatusCode))
		got, seal := response.Header.Get("X-Filbertusher-Attempt-Id"), response.Header.Get("X-Filbertusher-Response-Seal")
		if got != "" && got != id || seal != "" && seal != "seal."+id {
			broken("MIXED: %s got the answer of %s (seal %s)", id, got, seal)
		}
		runs := l.runsOf(id)
		once := kind == "order" || kind == "upload" || kind == "question"
		if once && runs > 1 {
			broken("TWICE: %s ran %d times", id, runs)
		}
		switch response.StatusCode {
		case 429, 503, 408, 421:
			if once && runs > 0 {
				broken("REFUSED: %s got %d and ran", id, response.StatusCode)
			}
		case 200:
			switch {
			case seal == "":
				broken("MIXED: %s got a success without a seal", id)
			case kind == "plan" || kind == "question":
				checkStream(id, string(text), err == nil, broken)
				if err != nil {
					l.count(kind + " cut")
				}
			case err == nil && !bytes.Equal(text, bodyOf(id)):
				broken("MIXED: %s got %d bytes in place of %d", id, len(text), len(bodyOf(id)))
			}
		case 500:
			if seal != "" && string(text) != "failed "+id {
				broken("MIXED: %s got another failure", id)
			}
		case 401:
			if c := stormControl; c == nil || !c.mayRefuse(key, sentAt) {
				broken("DENIED: %s got 401 with %s", id, key)
			}
		case 400, 403, 404, 413, 431:
			broken("DENIED: %s got %d", id, response.StatusCode)
		}
		if err != nil || response.Close {
			return
		}
		if reader.Buffered() > 0 {
			broken("MIXED: %d bytes after the answer to %s", reader.Buffered(), id)
			return
		}
	}
}

func checkStream(id, text string, complete bool, broken func(string, ...any)) {
	last := eventsOf(id)
	n := 0
	for len(text) > 0 {
		want := eventOf(id, n+1)
		if !strings.HasPrefix(text, want) {
			if !complete && strings.HasPrefix(want, text) {
				return
			}
			broken("ORDER: %s got %q after piece %d", id, text[:min(len(text), 60)], n)
			return
		}
		text = text[len(want):]
		n++
	}
	if complete && n != last || n > last {
		broken("ORDER: %s ended after piece %d of %d", id, n, last)
	}
}

// stormTrouble freezes, restarts and signals gateways in turn.
func stormTrouble(w *world, fleet []*gatewayProcess, end time.Time) {
	for i := 0; time.Now().Before(end.Add(-14 * time.Second)); i++ {
		g := fleet[i%len(fleet)]
		time.Sleep(time.Duration(500+rand.IntN(1500)) * time.Millisecond)
		what := rand.IntN(4)
		if only, err := strconv.Atoi(os.Getenv("STORM_ONLY")); err == nil {
			what = only
		}
		switch what {
		case 0:
			w.note("freeze %s", g.name)
			g.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(500+rand.IntN(3500)) * time.Millisecond)
			g.signal(syscall.SIGCONT)
		case 1:
			w.note("stop %s", g.name)
			g.signal(syscall.SIGTERM)
			select {
			case <-g.exited:
			case <-time.After(8 * time.Second):
				w.note("BROKEN: %s did not stop within its grace", g.name)
				g.kill()
			}
			_ = g.start(false, fleet[0].peer)
			g.awaitReady(10 * time.Second)
		case 2:
			w.note("kill %s", g.name)
			g.kill()
			_ = g.start(false, fleet[0].peer)
			g.awaitReady(10 * time.Second)
		default:
			g.signal(syscall.SIGHUP)
		}
	}
}

var (
	stormControl *control
	stormConfig  sync.Mutex
)

// control changes what the store holds, and checks what follows.
type control struct {
	world  *world
	ledger *ledger
	broken func(string, ...any)

	mu       sync.Mutex
	drained  map[string]time.Time
	revoked  map[string]time.Time
	added    map[string]time.Time
	keys     []string
	unstable time.Time
}

func (c *control) stableSince(t time.Time) bool { return t.After(c.unstable) }

func (c *control) arrived(replica, id, key, sentMs string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if at, left := c.drained[replica]; left && now.Sub(at) > 2*time.Second && c.stableSince(at.Add(-3*time.Second)) {
		c.broken("DRAIN: %s reached %s %v after its leaving was acknowledged", id, replica, now.Sub(at))
	}
	millis, _ := strconv.ParseInt(sentMs, 10, 64)
	sent := time.UnixMilli(millis)
	if at, gone := c.revoked[key]; gone {
		if sent.Sub(at) > 5*time.Second {
			c.broken("CONFIG: %s ran, sent %v after its key %s was revoked", id, sent.Sub(at), key)
		} else if sent.Sub(at) > 2*time.Second && c.stableSince(at.Add(-3*time.Second)) {
			c.broken("CONFIG: %s ran, sent %v after its key %s was revoked (in touch)", id, sent.Sub(at), key)
		}
	}
}

func (c *control) someKey() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.keys) == 0 {
		return "k1"
	}
	return c.keys[max(0, len(c.keys)-1-rand.IntN(4))]
}

// mayRefuse reports whether a key may be refused: it was revoked, or is not everywhere yet.
func (c *control) mayRefuse(key string, sent time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, gone := c.revoked[key]; gone {
		return true
	}
	at, known := c.added[key]
	return known && (sent.Sub(at) < 2*time.Second || !c.stableSince(at.Add(-3*time.Second)))
}

func (c *control) rotateKeys(end time.Time) {
	for n := 0; time.Now().Before(end); n++ {
		key := fmt.Sprintf("r%d", n)
		c.mu.Lock()
		c.keys = append(c.keys, key)
		live := c.keys[max(0, len(c.keys)-2):]
		gone := c.keys[:max(0, len(c.keys)-2)]
		c.added[key] = time.Now().Add(time.Hour)
		live = append([]string(nil), live...)
		c.mu.Unlock()
		stormConfig.Lock()
		tenants := c.world.config["tenants"].([]map[string]any)[:2:2]
		c.world.config["tenants"] = append(tenants, map[string]any{"name": "t3", "api_keys": live, "priority": 1, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 0, "burst": 0})
		c.world.configure()
		stormConfig.Unlock()
		now := time.Now()
		c.mu.Lock()
		c.added[key] = now
		for _, old := range gone {
			if _, known := c.revoked[old]; !known {
				c.revoked[old] = now
			}
		}
		c.mu.Unlock()
		time.Sleep(time.Duration(2500+rand.IntN(2000)) * time.Millisecond)
	}
}

func (c *control) replaceReplicas(end time.Time) {
	services := map[string]string{}
	var live []*replica
	stormReplicas.Lock()
	live = append(live, stormReplicas.all...)
	stormReplicas.Unlock()
	for n := 0; time.Now().Before(end); n++ {
		i := rand.IntN(len(live))
		old := live[i]
		services[old.id] = old.service
		r, err := c.world.newReplica(fmt.Sprintf("i-new-%s-%d", old.service, n), old.service, 40, 0)
		if err != nil {
			continue
		}
		s := &stormReplica{replica: r, ledger: c.ledger, broken: c.broken, fail: failRate()}
		r.serve = s.serve
		live[i] = r
		time.Sleep(300 * time.Millisecond)
		if rand.IntN(2) == 0 {
			old.leave()
		} else {
			// It says nothing, but its entry is removed.
			close(old.stopBeating)
			old.stopBeating = make(chan struct{})
			c.world.delete("servers/" + old.id)
		}
		c.mu.Lock()
		c.drained[old.id] = time.Now()
		c.mu.Unlock()
		go func() {
			time.Sleep(3500 * time.Millisecond)
			old.crash()
			c.world.delete("servers/" + old.id)
		}()
		time.Sleep(time.Duration(500+rand.IntN(1500)) * time.Millisecond)
	}
}

func (c *control) disturbStore(end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(time.Duration(5000+rand.IntN(4000)) * time.Millisecond)
		fault := []string{`{"down":true}`, `{"silent":true}`, `{"silentWatches":true}`, `{"delay":"240ms"}`}[rand.IntN(4)]
		c.mu.Lock()
		c.unstable = time.Now().Add(time.Hour)
		c.mu.Unlock()
		c.world.note("store: %s", fault)
		c.fault(fault)
		time.Sleep(time.Duration(1000+rand.IntN(3500)) * time.Millisecond)
		c.fault(`{}`)
		c.mu.Lock()
		c.unstable = time.Now().Add(3 * time.Second)
		c.mu.Unlock()
	}
}

func (c *control) fault(text string) {
	request, _ := http.NewRequest(http.MethodPut, "http://"+c.world.address+"/control/faults", strings.NewReader(text))
	if response, err := http.DefaultClient.Do(request); err == nil {
		if response.StatusCode >= 300 {
			c.world.note("the store takes no faults: %d", response.StatusCode)
		}
		_ = response.Body.Close()
	}
}

var stormReplicas struct {
	sync.Mutex
	all []*replica
}
