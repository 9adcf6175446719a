// Package admin is the HTTP server of every process for operators and load
// balancers. It serves metrics, profiles, a dump of the process's state, and
// health and readiness checks, and accepts requests for a graceful stop.
package admin

import (
	"context"
	"encoding/json"
	"expvar"
	"net"
	"net/http"
	"net/http/pprof"
	"sync"
	"sync/atomic"
	"time"

	"filbertusher/internal/connlimit"
)

// Paths of the HTTP server.
const (
	PathDump    = "/dump"
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
	PathStop    = "/stop"
	PathMetrics = "/debug/vars"
	PathProfile = "/debug/pprof/"
	PathExplain = "/explain"
)

const (
	// shutdownTimeout bounds how long open requests may delay the end of the process.
	shutdownTimeout = time.Second
	// maxConnections bounds the open connections, and maxHeaderBytes the header of a request.
	maxConnections = 16
	maxHeaderBytes = 4 << 10
	// A connection has headerTimeout for the header of a request, and may be idle for
	// idleTimeout.
	headerTimeout = time.Second
	idleTimeout   = time.Minute
	// dumpTimeout is how long a client may take to read a dump, of which there is one at a
	// time in memory.
	dumpTimeout = 10 * time.Second
)

// Server is the admin HTTP server of one process.
type Server struct {
	listener      *connlimit.Listener
	ready         atomic.Bool
	stopRequested chan struct{}
	stopOnce      sync.Once
	// dumping holds a value while a dump is encoded and sent.
	dumping chan struct{}

	mu       sync.Mutex
	sections map[string]func() any
	handlers map[string]http.Handler
}

// New returns a server for listener. The process starts as not ready.
func New(listener net.Listener) *Server {
	return &Server{listener: connlimit.New(listener, maxConnections, "admin"), stopRequested: make(chan struct{}), dumping: make(chan struct{}, 1), sections: make(map[string]func() any), handlers: make(map[string]http.Handler)}
}

// AddSection adds a section to the dump. Each request for the dump calls state, which
// must be safe for concurrent use; its result is encoded as JSON.
func (s *Server) AddSection(name string, state func() any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sections[name] = state
}

// Handle adds a handler for a pattern of http.ServeMux. It has no effect after Serve was called.
func (s *Server) Handle(pattern string, handler http.Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[pattern] = handler
}

// SetReady sets whether the load balancer may send requests to this process.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// StopRequested returns a channel that is closed when an operator requests a graceful
// stop.
func (s *Server) StopRequested() <-chan struct{} { return s.stopRequested }

// Serve handles requests until ctx is done.
func (s *Server) Serve(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathDump, s.handleDump)
	mux.Handle("GET "+PathMetrics, expvar.Handler())
	mux.HandleFunc("GET "+PathHealth, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET "+PathReady, s.handleReady)
	mux.HandleFunc("GET "+PathProfile, pprof.Index)
	mux.HandleFunc("GET "+PathProfile+"profile", pprof.Profile)
	mux.HandleFunc("GET "+PathProfile+"trace", pprof.Trace)
	mux.HandleFunc("POST "+PathStop, s.handleStop)
	s.mu.Lock()
	for pattern, handler := range s.handlers {
		mux.Handle(pattern, handler)
	}
	s.mu.Unlock()
	server := &http.Server{
		Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	s.listener.Track(server)
	stopAfterFunc := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(shutdownCtx)
	})
	defer stopAfterFunc()
	if err := server.Serve(s.listener); err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}

func (s *Server) handleDump(w http.ResponseWriter, r *http.Request) {
	select {
	case s.dumping <- struct{}{}:
		defer func() { <-s.dumping }()
	case <-r.Context().Done():
		return
	}
	// It fails only if the connection is closed, which the write notices.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(dumpTimeout))
	s.mu.Lock()
	sections := make(map[string]func() any, len(s.sections))
	for name, state := range s.sections {
		sections[name] = state
	}
	s.mu.Unlock()
	// The functions run without the lock held, because a section may take long.
	state := make(map[string]any, len(sections)+1)
	for name, section := range sections {
		state[name] = section()
	}
	state["ready"] = s.ready.Load()
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(state)
}

func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !s.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *Server) handleStop(w http.ResponseWriter, _ *http.Request) {
	s.stopOnce.Do(func() { close(s.stopRequested) })
	w.WriteHeader(http.StatusAccepted)
}
