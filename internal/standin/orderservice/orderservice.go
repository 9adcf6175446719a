// Package orderservice simulates a plain (non-model) service that takes orders from
// customers. An order is not idempotent; a stock check is. The service counts the
// executed orders by idempotency key, and tests check these counts.
package orderservice

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"filbertusher/internal/standin/engine"
)

// HeaderIdempotencyKey is the header of the caller's idempotency key. It is used for counting
// only: every call is executed, as by a service without deduplication.
const HeaderIdempotencyKey = "Idempotency-Key"

// Booking is the response to an order. Number counts all orders of the service.
type Booking struct {
	Number int    `json:"number"`
	Key    string `json:"key"`
	Order  string `json:"order"`
}

// Server is the simulated service.
type Server struct {
	mu         sync.Mutex
	delay      time.Duration
	executions map[string]int
	orders     int
}

// New returns a service that delays the response to each order by delay.
func New(delay time.Duration) *Server {
	return &Server{delay: delay, executions: make(map[string]int)}
}

// Handler returns the HTTP handler of the service, with the URLs below /control/
// that tests use.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", s.handleOrder)
	mux.HandleFunc("GET /stock/{item}", s.handleStock)
	mux.HandleFunc("GET /control/executions", s.handleExecutions)
	mux.HandleFunc("PUT /control/delay", s.handleDelay)
	return engine.EchoRequestID(mux)
}

func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	key := r.Header.Get(HeaderIdempotencyKey)
	s.mu.Lock()
	s.executions[key]++
	s.orders++
	booking := Booking{Number: s.orders, Key: key, Order: string(body)}
	delay := s.delay
	s.mu.Unlock()
	time.Sleep(delay)
	writeJSON(w, http.StatusCreated, booking)
}

func (s *Server) handleStock(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, map[string]any{"item": r.PathValue("item"), "inStock": len(r.PathValue("item"))})
}

func (s *Server) handleExecutions(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, http.StatusOK, s.executions)
}

func (s *Server) handleDelay(w http.ResponseWriter, r *http.Request) {
	var text string
	err := json.NewDecoder(r.Body).Decode(&text)
	delay, parseErr := time.ParseDuration(text)
	if err != nil || parseErr != nil {
		http.Error(w, "a duration such as \"20ms\" is needed", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.delay = delay
	s.mu.Unlock()
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
