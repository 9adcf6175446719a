package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"filbertusher/internal/pause"
)

// runCaller sends requests one after the other over a keep-alive connection. Some
// requests use a revoked credential, and some are cancelled early. Caller 0 sends
// for the busy workspace and pauses only after a failure.
func (s *soak) runCaller(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(s.seed, uint64(number)))
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	target := -1
	for n := 0; ctx.Err() == nil; n++ {
		if target < 0 || random.IntN(6) == 0 {
			target = random.IntN(s.size.gateways)
		}
		record := &requestRecord{id: fmt.Sprintf("%d-%d", number, n), gateway: target, credential: s.currentCredential(), deadline: defaultDeadline}
		record.path = soakPaths[random.IntN(len(soakPaths))]
		if number == 0 {
			record.credential, record.path = "busy", "/check/x"
		} else if random.IntN(8) == 0 {
			record.credential = s.revokedCredential(record.credential)
		}
		callCtx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		if record.cancelled = number != 0 && random.IntN(20) == 0; record.cancelled {
			time.AfterFunc(time.Duration(random.IntN(120))*time.Millisecond, cancel)
		}
		record.sent = time.Now()
		record.process = s.gatewayAt(target)
		g := *record.process
		g.transport = transport
		record.result = g.call(callCtx, record.method(), record.path, record.id, "X-Filbertusher-Credential", record.credential)
		record.ended = time.Now()
		cancel()
		s.add(record)
		if record.result.status == 0 && !record.cancelled {
			// The gateway did not respond: choose one at random for the next request,
			// as a load balancer would.
			target = -1
		}
		if number != 0 || record.result.status != http.StatusOK {
			pause.For(ctx, time.Duration(5+random.IntN(30))*time.Millisecond)
		}
	}
}

// revokedCredential returns any revoked credential, or fallback if there is none.
func (s *soak) revokedCredential(fallback string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for old := range s.revokedAt {
		return old
	}
	return fallback
}

// soakPaths has a path of each route.
var soakPaths = []string{"/order/x", "/check/x", "/plan/x", "/question/x"}

const (
	// defaultDeadline is the deadline of calls, and the timeout of the routes of desks.
	defaultDeadline = 4 * time.Second
	// longDeadline is the timeout of the routes of models.
	longDeadline = 15 * time.Second
	// travelTime is how long requests of kept callers are under way. A gateway that closes a
	// connection meanwhile gets them after that.
	travelTime = 3 * time.Millisecond
)

// keptConn is a connection that a caller holds open. It is not one of http.Transport, which
// repeats requests that cross the close of their connection. usableUntil is the end of the
// time that the gateway has named in its latest Keep-Alive, or zero.
type keptConn struct {
	net.Conn
	reader      *bufio.Reader
	target      int
	reused      bool
	usableUntil time.Time
}

// dialKept returns a connection to a gateway, or nil if it accepts none.
func (s *soak) dialKept(target int) *keptConn {
	conn, err := net.DialTimeout("tcp", s.gatewayAt(target).callerAddress, time.Second)
	if err != nil {
		return nil
	}
	return &keptConn{Conn: conn, reader: bufio.NewReader(conn), target: target}
}

// isOpen reports whether the connection may be used for another request: its time has not
// passed, and the gateway has neither closed it nor sent anything that belongs to no request.
func (c *keptConn) isOpen() bool {
	if !c.usableUntil.IsZero() && time.Now().After(c.usableUntil) {
		return false
	}
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.reader.Peek(1)
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// keptCallerKinds are the kinds of kept callers: how many connections they have, how long they
// pause at most between two requests, and whether they send only streams that take seconds.
// The last kind still sends requests long after the signal to stop, since the header of the
// response before was sent before it.
var keptCallerKinds = []struct {
	conns        int
	longestPause time.Duration
	onlyLong     bool
}{
	{conns: 1, longestPause: 40 * time.Millisecond},
	{conns: 1, longestPause: 5 * time.Second},
	{conns: 4, longestPause: 200 * time.Millisecond},
	{conns: 1, longestPause: 10 * time.Millisecond, onlyLong: true},
}

// runKeptCaller sends requests on the connections that it holds open until they break or a
// response announces their end.
func (s *soak) runKeptCaller(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(s.seed, 1<<33+uint64(number)))
	kind := &keptCallerKinds[number%len(keptCallerKinds)]
	conns := make([]*keptConn, kind.conns)
	for n := 0; ctx.Err() == nil; n++ {
		conn := &conns[random.IntN(len(conns))]
		if *conn != nil && !(*conn).isOpen() {
			if buffered := (*conn).reader.Buffered(); buffered > 0 {
				s.t.Errorf("gateway %d sent %d bytes on an idle connection", (*conn).target, buffered)
			}
			_ = (*conn).Close()
			*conn = nil
		}
		if *conn == nil {
			*conn = s.dialKept(random.IntN(s.size.gateways))
		}
		if *conn == nil {
			pause.For(ctx, 20*time.Millisecond)
			continue
		}
		record := &requestRecord{id: fmt.Sprintf("kept%d-%d", number, n), path: soakPaths[random.IntN(len(soakPaths))], credential: s.currentCredential()}
		if kind.onlyLong {
			record.path = soakPaths[len(soakPaths)-1-n%2]
		}
		if s.sendKept(*conn, record, workTime(record, random, kind.onlyLong)); record.result.err != nil || record.result.closesConnection {
			_ = (*conn).Close()
			*conn = nil
		}
		pause.For(ctx, time.Duration(random.Int64N(int64(kind.longestPause))))
	}
	for _, conn := range conns {
		if conn != nil {
			_ = conn.Close()
		}
	}
}

// workTime returns how long the execution of a request takes: no longer than usual, or up to
// several seconds for one in five and if long is set.
func workTime(record *requestRecord, random *rand.Rand, long bool) time.Duration {
	switch {
	case !long && random.IntN(5) > 0:
		return 0
	case record.isStream():
		return time.Second + time.Duration(random.Int64N(int64(5*time.Second)))
	default:
		return time.Duration(random.Int64N(int64(3 * time.Second)))
	}
}

// sendKept sends a request on a connection and records its result.
func (s *soak) sendKept(conn *keptConn, record *requestRecord, workTime time.Duration) {
	record.deadline = defaultDeadline
	if record.isStream() {
		record.deadline = longDeadline
	}
	// The process is the one that accepted the connection: it is replaced after it has ended.
	record.gateway, record.process, record.reused = conn.target, s.gatewayAt(conn.target), conn.reused
	conn.reused = true
	request, err := record.process.newRequest(context.Background(), record.method(), record.path, record.id, "X-Filbertusher-Credential", record.credential,
		"X-Filbertusher-Deadline-Ms", fmt.Sprint(record.deadline.Milliseconds()), workTimeHeader, fmt.Sprint(workTime.Milliseconds()))
	if err != nil {
		s.t.Error(err)
		return
	}
	time.Sleep(travelTime)
	record.sent = time.Now()
	_ = conn.SetDeadline(record.sent.Add(record.deadline + waitTimeout))
	record.result = callResult{err: request.Write(conn)}
	if record.result.err == nil {
		var response *http.Response
		if response, record.result.err = http.ReadResponse(conn.reader, request); record.result.err == nil {
			record.result = readResult(response)
		}
	}
	record.ended = time.Now()
	s.add(record)
	conn.usableUntil = time.Time{}
	if seconds, found := strings.CutPrefix(record.result.header.Get("Keep-Alive"), "timeout="); found {
		idleTime, err := strconv.Atoi(seconds)
		if err != nil {
			s.t.Error(err)
		}
		conn.usableUntil = record.ended.Add(time.Duration(idleTime) * time.Second)
	}
}
