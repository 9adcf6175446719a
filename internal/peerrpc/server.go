package peerrpc

import (
	"context"
	"errors"
	"math"
	"net"
	"net/rpc"
	"sync"
	"syscall"
	"time"

	"filbertusher/internal/connlimit"
	"filbertusher/internal/intake"
	"filbertusher/internal/pause"
)

// Bounds of the pause before accepting again while the process or the system lacks
// descriptors or memory. The pause doubles with each failure.
const (
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

// Server accepts connections from peers and serves the registered methods.
type Server struct {
	rpc        *rpc.Server
	listener   *connlimit.Listener
	maxMessage int64
	// memory is charged for messages that are read. It may be nil.
	memory *intake.Budget

	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	isClosed bool
}

// NewServer returns a server that accepts connections from the listener, and messages of at
// most maxMessage bytes.
func NewServer(listener net.Listener, maxMessage int64) *Server {
	return &Server{
		rpc: rpc.NewServer(), listener: connlimit.New(listener, math.MaxInt, limitName),
		maxMessage: maxMessage, conns: make(map[net.Conn]struct{}),
	}
}

// limitName is the name of the counter of connections that were replaced by others.
const limitName = "peers"

// Limit bounds the open connections and charges the messages that are read to a budget. It
// has to be called before Serve.
func (s *Server) Limit(connections int, memory *intake.Budget) {
	s.listener = connlimit.New(s.listener.Listener, connections, limitName)
	s.memory = memory
}

// Register makes the exported methods of receiver callable as name.Method.
func (s *Server) Register(name string, receiver any) error {
	return s.rpc.RegisterName(name, receiver)
}

// Serve accepts connections until ctx ends, then closes all of them and returns. It waits
// where the process or the system lacks resources for a connection; other errors of the
// listener end it.
func (s *Server) Serve(ctx context.Context) error {
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(closed)
		s.closeAll()
	})
	defer stop()
	delay := minAcceptPause
	for {
		conn, err := s.listener.Accept()
		switch {
		case err == nil:
			delay = minAcceptPause
			go s.serve(conn)
		case ctx.Err() != nil:
			// The listener is closed before the connections.
			<-closed
			return nil
		case isTransient(err):
			metrics.Add("acceptFailed", 1)
			pause.For(ctx, delay)
			delay = min(2*delay, maxAcceptPause)
		default:
			return err
		}
	}
}

// isTransient reports whether a later Accept may succeed after err.
func isTransient(err error) bool {
	for _, transient := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.ECONNRESET} {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}

func (s *Server) serve(conn net.Conn) {
	if !s.track(conn) {
		_ = conn.Close()
		return
	}
	var holding *intake.Holding
	if s.memory != nil {
		holding = s.memory.HoldUnless(func() bool { return connlimit.IsUnread(conn) }, func() { _ = conn.Close() })
		defer holding.Close()
	}
	s.rpc.ServeCodec(serverCodec{newCodec(progressConn{Conn: conn}, s.maxMessage, holding), func() { s.listener.Used(conn) }})
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
}

// track makes closeAll close a connection, and returns false after closeAll.
func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosed {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) closeAll() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isClosed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
}
