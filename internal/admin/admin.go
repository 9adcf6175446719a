// Package admin serves the operators' side of every process: metrics, a dump
// of its state, its health and whether it is ready, and a planned stop.
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
)

// Paths that every process serves.
const (
	PathDump    = "/dump"
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
	PathStop    = "/stop"
	PathMetrics = "/debug/vars"
	PathProfile = "/debug/pprof/"
)

// shutdownGrace bounds how long open operators' calls may delay an exit.
const shutdownGrace = time.Second

// Server is the operators' listener of one process.
type Server struct {
	listener net.Listener
	ready    atomic.Bool
	stop     chan struct{}
	stopOnce sync.Once

	mu       sync.Mutex
	sections map[string]func() any
}

// New returns a server on listener. The process is not ready at first.
func New(listener net.Listener) *Server {
	return &Server{listener: listener, stop: make(chan struct{}), sections: make(map[string]func() any)}
}

// Section adds a part to the dump. state is called on each request and has to
// be safe at any time; its result is written as JSON.
func (s *Server) Section(name string, state func() any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sections[name] = state
}

// SetReady says whether the balancer may send work to this process.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// Stopped is closed when an operator asked for a planned stop.
func (s *Server) Stopped() <-chan struct{} { return s.stop }

// Serve answers until ctx ends.
func (s *Server) Serve(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathDump, s.dump)
	mux.Handle("GET "+PathMetrics, expvar.Handler())
	mux.HandleFunc("GET "+PathHealth, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET "+PathReady, s.readiness)
	mux.HandleFunc("GET "+PathProfile, pprof.Index)
	mux.HandleFunc("GET "+PathProfile+"profile", pprof.Profile)
	mux.HandleFunc("GET "+PathProfile+"trace", pprof.Trace)
	mux.HandleFunc("POST "+PathStop, s.announceStop)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	release := context.AfterFunc(ctx, func() {
		grace, cancel := context.WithTimeout(context.Background(), shutdownGrace)
		defer cancel()
		_ = server.Shutdown(grace)
	})
	defer release()
	if err := server.Serve(s.listener); err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}

func (s *Server) dump(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	sections := make(map[string]func() any, len(s.sections))
	for name, state := range s.sections {
		sections[name] = state
	}
	s.mu.Unlock()
	// The state is gathered without the lock, because a section may take long.
	state := make(map[string]any, len(sections)+1)
	for name, read := range sections {
		state[name] = read()
	}
	state["ready"] = s.ready.Load()
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(state)
}

func (s *Server) readiness(w http.ResponseWriter, _ *http.Request) {
	if !s.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *Server) announceStop(w http.ResponseWriter, _ *http.Request) {
	s.stopOnce.Do(func() { close(s.stop) })
	w.WriteHeader(http.StatusAccepted)
}
