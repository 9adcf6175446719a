// Package drain is an HTTP server that stops without cutting requests.
//
// http.Server.Shutdown drops requests that it reads after it was called, closes
// connections whose first bytes it has just read, and resets those that wait to be
// accepted. Around a planned stop, callers would lose requests that this process could
// have answered.
package drain

import (
	"cmp"
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// AcceptTime is how long after the start of Shutdown the first request of a connection may
// come: on connections that waited to be accepted.
const AcceptTime = acceptPause + newConnGrace

const (
	// newConnGrace is how long a stopping server waits for the first request on a
	// connection.
	newConnGrace = 300 * time.Millisecond
	// checkInterval is how often a stopping server looks for connections that it can
	// close.
	checkInterval = 20 * time.Millisecond
	// idleMargin is how much longer than the time that callers were told a stopping server
	// keeps an idle connection: for a response and a request that are on their way.
	idleMargin = 500 * time.Millisecond
)

// Limits bound the connections of a server, so that it does not use up the descriptors of
// its process. 0 stands for no limit.
type Limits struct {
	// Open is the number of connections up to which others are accepted. More wait until
	// one ends.
	Open int
	// KeepAlive is the number of connections above which each response announces the end
	// of its connection.
	KeepAlive int
	// IsScarce reports whether there is little of something else that connections need, so
	// that each response announces the end of its connection. It may be nil.
	IsScarce func() bool
}

// Stop is the schedule of a graceful stop.
type Stop struct {
	// Began is when the process was told to stop.
	Began time.Time
	// NoticedBy is when the load balancer has noticed it, so that new connections reach other
	// instances.
	NoticedBy time.Time
	// TakesUntil is the end of the time in which requests are taken whatever their deadline.
	TakesUntil time.Time
	// EndsAt is when the requests that still run are cancelled.
	EndsAt time.Time
}

// Server serves HTTP until Shutdown. served is closed when no more connections are
// accepted.
type Server struct {
	http     *http.Server
	wrap     func(*Conn) net.Conn
	limits   Limits
	served   chan struct{}
	listener atomic.Pointer[listener]
	// stop is nil until the server drains.
	stop atomic.Pointer[Stop]
	// idleTime is the time.Duration that SetIdleTime was given last.
	idleTime atomic.Int64
	// closedIdle counts the idle connections that were closed while the server drained.
	closedIdle atomic.Int64
	// stopping is set by Shutdown, which may come before Serve.
	stopping atomic.Bool

	mu    sync.Mutex
	conns map[*Conn]connState
}

// connState is the state of a connection and since when it is in it.
type connState struct {
	state http.ConnState
	since time.Time
}

// New returns a server that runs server, whose Handler and ConnState it wraps. wrap may
// return another connection that embeds the given one; it may be nil.
func New(server *http.Server, wrap func(*Conn) net.Conn, limits Limits) *Server {
	if wrap == nil {
		wrap = func(c *Conn) net.Conn { return c }
	}
	limits.Open = cmp.Or(limits.Open, math.MaxInt)
	limits.KeepAlive = cmp.Or(limits.KeepAlive, math.MaxInt)
	s := &Server{http: server, wrap: wrap, limits: limits, served: make(chan struct{}), conns: make(map[*Conn]connState)}
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.Draining() || s.isCrowded() {
			w.Header().Set("Connection", "close")
		} else if seconds := int(s.IdleTime() / time.Second); seconds > 0 {
			w.Header().Set("Connection", "keep-alive")
			w.Header().Set("Keep-Alive", "timeout="+strconv.Itoa(seconds))
		}
		handler.ServeHTTP(w, r)
	})
	connState := server.ConnState
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		s.track(conn, state)
		if connState != nil {
			connState(conn, state)
		}
	}
	return s
}

// Serve accepts connections until Shutdown. It must be called once.
func (s *Server) Serve(tcp net.Listener) error {
	defer close(s.served)
	l := newListener(tcp, s.wrap, s.limits.Open)
	s.listener.Store(l)
	if s.stopping.Load() {
		l.stop()
	}
	if err := s.http.Serve(l); !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// SetIdleTime sets how long callers may use an idle connection, which they are told in whole
// seconds if it is at least one. Without it Shutdown closes idle connections at once, and a
// request that crosses the close gets no answer.
func (s *Server) SetIdleTime(idle time.Duration) { s.idleTime.Store(int64(idle)) }

// IdleTime returns the time that SetIdleTime has set.
func (s *Server) IdleTime() time.Duration { return time.Duration(s.idleTime.Load()) }

// isCrowded reports whether more connections are open than may be kept.
func (s *Server) isCrowded() bool {
	return s.listener.Load().open.Load() > int64(s.limits.KeepAlive) || s.limits.IsScarce != nil && s.limits.IsScarce()
}

// StartDraining makes each response announce the end of its connection. Connections are
// still accepted, and Takes returns true until stop.TakesUntil. Only the first call
// has an effect.
func (s *Server) StartDraining(stop Stop) { s.stop.CompareAndSwap(nil, &stop) }

// Stop returns the schedule of the stop, or nil if the server does not drain.
func (s *Server) Stop() *Stop { return s.stop.Load() }

// Draining reports whether StartDraining or Shutdown was called.
func (s *Server) Draining() bool { return s.stop.Load() != nil }

// Connections returns how many connections are open, and how many were closed while they
// were idle and the server drained.
func (s *Server) Connections() (open int, closedIdle int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns), s.closedIdle.Load()
}

// Takes reports whether the handler may run a request that it has just read, which ends by
// its deadline at the latest. A connection may be idle or busy until long after the start of
// Shutdown, and its caller then sends another request, for which too little time may be left.
// The handler has to ask again after it has read the body.
func (s *Server) Takes(deadline time.Time) bool {
	stop := s.stop.Load()
	return stop == nil || time.Now().Before(stop.TakesUntil) || !deadline.After(stop.EndsAt)
}

// Shutdown stops accepting connections and closes each one that has no request, once its
// caller does not send one any more by what it was told (SetIdleTime), until none is left. When
// ctx is done it closes all that have no request, and returns the error of ctx if others are
// left. Unless StartDraining was called before, requests are taken for AcceptTime. Shutdown also
// returns the errors of closing the listener, which may have reset connections that waited.
func (s *Server) Shutdown(ctx context.Context) error {
	began := time.Now()
	stop := Stop{Began: began, TakesUntil: began.Add(AcceptTime)}
	if deadline, ok := ctx.Deadline(); ok {
		stop.EndsAt = deadline
	}
	s.StartDraining(stop)
	// In this order: either this call or Serve sees the other one.
	s.stopping.Store(true)
	if l := s.listener.Load(); l != nil {
		l.stop()
	}
	idleTime := time.Duration(0)
	if usable := s.IdleTime(); usable > 0 {
		idleTime = usable + idleMargin
	}
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		// ctx is asked once a round, so that Shutdown does not give up before a round that closes
		// all that have no request.
		ctxErr := ctx.Err()
		now := time.Now()
		idleSince, newSince := now.Add(-idleTime), now.Add(-max(idleTime, newConnGrace))
		if ctxErr != nil {
			idleSince, newSince = now, now
		}
		// In this order: a connection that is accepted in between is counted.
		stopped := s.stoppedAccepting()
		if open := s.closeUnused(idleSince, newSince); stopped && open == 0 {
			err := s.http.Close()
			if l := s.listener.Load(); l != nil {
				err = errors.Join(err, l.closeErr)
			}
			return err
		}
		if ctxErr != nil {
			return ctxErr
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

func (s *Server) stoppedAccepting() bool {
	select {
	case <-s.served:
		return true
	default:
		return false
	}
}

// CloseIdle closes the connections that have been idle since before the given time.
func (s *Server) CloseIdle(since time.Time) { s.closeUnused(since, time.Time{}) }

// IdleCount returns the number of idle connections.
func (s *Server) IdleCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, c := range s.conns {
		if c.state == http.StateIdle {
			count++
		}
	}
	return count
}

// track implements http.Server.ConnState.
func (s *Server) track(conn net.Conn, state http.ConnState) {
	tracked, ok := conn.(interface{ tracked() *Conn })
	if !ok {
		return
	}
	c := tracked.tracked()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
		return
	case http.StateIdle:
		c.setIdle()
	}
	s.conns[c] = connState{state: state, since: time.Now()}
}

// closeUnused closes the connections without a request that are idle since before
// idleSince, or new since before newSince. It returns the number of open connections.
func (s *Server) closeUnused(idleSince, newSince time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, is := range s.conns {
		idle := is.state == http.StateIdle && is.since.Before(idleSince)
		fresh := is.state == http.StateNew && is.since.Before(newSince)
		if (idle || fresh) && c.closeIfUnused() {
			delete(s.conns, c)
			if idle && s.Draining() {
				s.closedIdle.Add(1)
			}
		}
	}
	return len(s.conns)
}
