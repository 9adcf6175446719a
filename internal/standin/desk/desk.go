// Package desk is a stand-in for a plain ordering service: it books orders,
// which may not be repeated, and answers stock checks, which may. It counts
// every execution by key; tests judge by that count.
package desk

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// HeaderKey carries the caller's idempotency key. The desk only counts by it:
// it books every call it gets, as a service without deduplication does.
const HeaderKey = "Idempotency-Key"

// Booking is the answer to an order.
type Booking struct {
	Number int    `json:"number"`
	Key    string `json:"key"`
	Order  string `json:"order"`
}

// Desk is the service.
type Desk struct {
	mu         sync.Mutex
	delay      time.Duration
	executions map[string]int
	next       int
}

// New returns a desk that takes delay for each call.
func New(delay time.Duration) *Desk {
	return &Desk{delay: delay, executions: make(map[string]int)}
}

// Handler returns the HTTP handler of the desk and of its control URL.
func (d *Desk) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", d.order)
	mux.HandleFunc("GET /stock/{item}", d.stock)
	mux.HandleFunc("GET /control/executions", d.showExecutions)
	mux.HandleFunc("PUT /control/delay", d.setDelay)
	return mux
}

func (d *Desk) order(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	key := r.Header.Get(HeaderKey)
	d.mu.Lock()
	d.executions[key]++
	d.next++
	booking := Booking{Number: d.next, Key: key, Order: string(body)}
	delay := d.delay
	d.mu.Unlock()
	time.Sleep(delay)
	reply(w, http.StatusCreated, booking)
}

func (d *Desk) stock(w http.ResponseWriter, r *http.Request) {
	reply(w, http.StatusOK, map[string]any{"item": r.PathValue("item"), "inStock": len(r.PathValue("item"))})
}

func (d *Desk) showExecutions(w http.ResponseWriter, _ *http.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	reply(w, http.StatusOK, d.executions)
}

func (d *Desk) setDelay(w http.ResponseWriter, r *http.Request) {
	var text string
	err := json.NewDecoder(r.Body).Decode(&text)
	delay, parseErr := time.ParseDuration(text)
	if err != nil || parseErr != nil {
		http.Error(w, "a duration such as \"20ms\" is needed", http.StatusBadRequest)
		return
	}
	d.mu.Lock()
	d.delay = delay
	d.mu.Unlock()
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
