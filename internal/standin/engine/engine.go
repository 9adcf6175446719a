// Package engine is a stand-in for a model engine: continuous batching without
// priorities, a bounded prefix cache, prefill and decode at a set speed,
// streams that can be resumed and cancelled, load reports with a lag, cache
// events that come late and with gaps, export and import of KV cache, orders
// with fencing numbers, and a crash on a marked request.
package engine

import (
	"sync"
	"time"

	"filbertusher/pkg/usher"
)

// CrashMarker in a prompt crashes every engine that runs it.
const CrashMarker = "CRASH-THE-ENGINE"

// Speed is how fast the simulated hardware is.
type Speed struct {
	// PrefillPerToken is the time to compute one prompt token.
	PrefillPerToken time.Duration
	// DecodeStep is the time of one step in which each running request gets a
	// token; DecodePerRequest is added for each of them.
	DecodeStep       time.Duration
	DecodePerRequest time.Duration
	// PrefillChunk is how many prompt tokens one step computes at most.
	PrefillChunk usher.Tokens
	// MaxBatch is how many requests run at once; the others wait in order.
	MaxBatch int
}

// Options configure an engine.
type Options struct {
	Speed
	// CacheBlocks bounds the prefix cache.
	CacheBlocks int
	// ReportLag is how old load reports and cache events are.
	ReportLag time.Duration
	// EventLoss is the share of cache events that is lost, from 0 to 1.
	EventLoss float64
	// FencingChecked engines refuse orders with an old fencing number.
	FencingChecked bool
	Models         []string
	// Retention is how long a finished request can still be resumed.
	Retention time.Duration
}

// Totals counts the work of the engine since it started.
type Totals struct {
	PrefillTokens  int64 `json:"prefillTokens"`
	ReusedTokens   int64 `json:"reusedTokens"`
	WastedPrefill  int64 `json:"wastedPrefill"`
	DecodeTokens   int64 `json:"decodeTokens"`
	Finished       int64 `json:"finished"`
	Cancelled      int64 `json:"cancelled"`
	Executions     int64 `json:"executions"`
	RefusedOrders  int64 `json:"refusedOrders"`
	ImportedBlocks int64 `json:"importedBlocks"`
}

// Engine is the simulated engine. One goroutine, Run, computes the steps.
type Engine struct {
	options Options

	mu       sync.Mutex
	slowdown float64
	waiting  []*request
	running  []*request
	requests map[string]*request
	cache    *prefixCache
	totals   Totals
	reports  *lagging[Load]
	orders   orderState
	wake     chan struct{}
	// exported has the prefill of cancelled requests that is kept outside, by
	// the last block of the exported cache.
	exported map[uint64]usher.Tokens
	crashed  bool
	crash    func()
}

// Load is the engine's report of its own load.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// New returns an engine. crash is called when a marked request starts to run.
func New(options Options, crash func()) *Engine {
	return &Engine{
		options:  options,
		slowdown: 1,
		requests: make(map[string]*request),
		exported: make(map[uint64]usher.Tokens),
		cache:    newPrefixCache(options.CacheBlocks, options.ReportLag, options.EventLoss),
		reports:  newLagging[Load](options.ReportLag),
		orders:   newOrderState(options.Models),
		wake:     make(chan struct{}, 1),
		crash:    crash,
	}
}

// Run computes steps until done is closed.
func (e *Engine) Run(done <-chan struct{}) {
	due := time.Now()
	for {
		elapsed, busy := e.step()
		if !busy {
			select {
			case <-e.wake:
			case <-done:
				return
			}
			due = time.Now()
			continue
		}
		// Steps are timed against a running due time, so that the timer's own
		// lateness does not slow the simulated hardware down.
		due = due.Add(elapsed)
		if wait := time.Until(due); wait > 0 {
			select {
			case <-time.After(wait):
			case <-done:
				return
			}
		}
		e.deliver()
	}
}

// step plans one step: prefill in order of arrival up to the chunk, and one
// token for each request whose prefill is done. It returns the step's time.
func (e *Engine) step() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admit()
	if len(e.running) == 0 {
		return 0, false
	}
	left := e.options.PrefillChunk
	var computed usher.Tokens
	decoding := 0
	for _, r := range e.running {
		if r.prefillLeft > 0 {
			part := min(left, r.prefillLeft)
			r.prefillLeft -= part
			r.prefilled += part
			left -= part
			computed += part
			continue
		}
		r.decodes = true
		decoding++
	}
	e.totals.PrefillTokens += int64(computed)
	elapsed := time.Duration(computed) * e.options.PrefillPerToken
	if decoding > 0 {
		elapsed += e.options.DecodeStep + time.Duration(decoding)*e.options.DecodePerRequest
	}
	return time.Duration(float64(elapsed) * e.slowdown), true
}

// admit moves waiting requests into the batch in order of arrival.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.options.MaxBatch {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.totals.Executions++
		if r.crashes && !e.crashed {
			e.crashed = true
			go e.crash()
		}
		reused := min(e.cache.lookUp(r.blocks), r.promptTokens-1)
		r.cached = reused
		r.prefillLeft = r.promptTokens - reused
		e.totals.ReusedTokens += int64(reused)
		e.running = append(e.running, r)
	}
	e.reports.set(Load{Running: len(e.running), Waiting: len(e.waiting)})
}

// deliver ends a step: each decoding request gets its token.
func (e *Engine) deliver() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		return
	}
	kept := e.running[:0]
	for _, r := range e.running {
		if r.decodes {
			r.decodes = false
			e.totals.DecodeTokens++
			r.addToken()
		}
		if r.prefillLeft == 0 && !r.stored {
			r.stored = true
			e.cache.insert(r.blocks)
		}
		if r.finished {
			e.totals.Finished++
			e.forgetLater(r)
			continue
		}
		kept = append(kept, r)
	}
	clear(e.running[len(kept):])
	e.running = kept
}

func (e *Engine) forgetLater(r *request) {
	time.AfterFunc(e.options.Retention, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.requests[r.id] == r {
			delete(e.requests, r.id)
		}
	})
}

// submit adds a request, or returns the one that has the same id already.
func (e *Engine) submit(r *request) *request {
	e.mu.Lock()
	defer e.mu.Unlock()
	if existing, ok := e.requests[r.id]; ok {
		return existing
	}
	e.requests[r.id] = r
	e.waiting = append(e.waiting, r)
	e.signal()
	return r
}

func (e *Engine) find(id string) (*request, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.requests[id]
	return r, ok
}

// cancel ends a request; what was computed for its prompt counts as wasted.
func (e *Engine) cancel(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.requests[id]
	if !ok || r.finished {
		return false
	}
	r.cancel()
	e.totals.Cancelled++
	e.totals.WastedPrefill += int64(r.prefilled - r.exported)
	e.waiting = without(e.waiting, r)
	e.running = without(e.running, r)
	e.forgetLater(r)
	return true
}

func (e *Engine) setSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdown = factor
}

// snapshotTotals counts prefill that was exported and not imported as wasted.
func (e *Engine) snapshotTotals() Totals {
	e.mu.Lock()
	defer e.mu.Unlock()
	totals := e.totals
	for _, tokens := range e.exported {
		totals.WastedPrefill += int64(tokens)
	}
	return totals
}

func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func without(requests []*request, gone *request) []*request {
	kept := make([]*request, 0, len(requests))
	for _, r := range requests {
		if r != gone {
			kept = append(kept, r)
		}
	}
	return kept
}
