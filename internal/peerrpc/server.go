package peerrpc

import (
	"context"
	"net"
	"net/rpc"
	"sync"
)

// Server accepts connections from peers and serves the registered methods.
type Server struct {
	rpc      *rpc.Server
	listener net.Listener

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewServer returns a server that accepts connections from the listener.
func NewServer(listener net.Listener) *Server {
	return &Server{rpc: rpc.NewServer(), listener: listener, conns: make(map[net.Conn]struct{})}
}

// Register makes the exported methods of receiver callable as name.Method.
func (s *Server) Register(name string, receiver any) error {
	return s.rpc.RegisterName(name, receiver)
}

// Serve accepts connections until ctx ends, then closes all of them.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.closeAll)
	defer stop()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		go s.serve(conn)
	}
}

func (s *Server) serve(conn net.Conn) {
	s.mu.Lock()
	s.conns[conn] = struct{}{}
	s.mu.Unlock()
	s.rpc.ServeConn(progressConn{conn})
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
}

func (s *Server) closeAll() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}
