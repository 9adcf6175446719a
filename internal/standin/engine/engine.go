// Package engine simulates a model engine: continuous batching without
// priorities, a bounded prefix cache, and prefill and decode at a configured
// speed. Streams can be resumed and cancelled. Load reports are delayed, and cache
// events are delayed and partly lost. The KV cache can be exported and imported,
// and orders with fencing tokens load and unload models. A request with a marker
// in its prompt crashes the engine.
package engine

import (
	"sync"
	"time"

	"filbertusher/pkg/usher"
)

// CrashMarker is a text that crashes the engine when it runs a prompt that
// contains it.
const CrashMarker = "CRASH-THE-ENGINE"

// CrashHalfwayMarker is a text that crashes the engine when it has computed half of the
// answer to a prompt that contains it.
const CrashHalfwayMarker = "CRASH-HALFWAY"

// Speed sets the computing speed of the simulated hardware and the size of its
// batches.
type Speed struct {
	// PrefillPerToken is the time to compute one prompt token.
	PrefillPerToken time.Duration
	// DecodeStep is the duration of a step in which each decoding request
	// generates one token; DecodePerRequest is added for each of these requests.
	DecodeStep       time.Duration
	DecodePerRequest time.Duration
	// PrefillChunk is the maximum number of prompt tokens computed in one step.
	PrefillChunk usher.Tokens
	// MaxBatch is the maximum number of running requests; others wait in FIFO
	// order.
	MaxBatch int
}

// Options configure an engine. Models lists the models that are loaded at the
// start.
type Options struct {
	Speed
	// CacheBlocks is the capacity of the prefix cache, in blocks.
	CacheBlocks int
	// ReportLag is the delay after which load reports and cache events become
	// visible.
	ReportLag time.Duration
	// EventLossProbability is the probability that a cache event is lost, from 0 to 1.
	EventLossProbability float64
	// FencingChecked makes the engine reject requests and orders whose fencing
	// token is below the highest one seen.
	FencingChecked bool
	Models         []string
	// Retention is how long a finished or cancelled request is kept, so that its
	// stream can be resumed.
	Retention time.Duration
}

// Totals counts the work of the engine since it started. ReusedTokens counts the
// prompt tokens that were found in the prefix cache. WastedPrefill counts computed
// prompt tokens whose result was discarded by a cancellation, or exported and not
// imported yet. Executions counts the requests that were admitted to the batch.
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

// Engine is the simulated engine. Run executes its steps on one goroutine.
type Engine struct {
	options Options

	mu          sync.Mutex
	slowdown    float64
	waiting     []*request
	running     []*request
	requests    map[string]*request
	cache       *prefixCache
	totals      Totals
	loadReports *delayed[Load]
	serving     servingState
	wake        chan struct{}
	// exported maps the last block of an exported KV cache that has not been
	// imported yet to the number of prompt tokens that were computed for it.
	exported map[uint64]usher.Tokens
	crashed  bool
	crash    func()
}

// Load is the engine's load report: its numbers of running and waiting requests.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// New returns an engine. It calls crash when a request with CrashMarker starts
// to run.
func New(options Options, crash func()) *Engine {
	return &Engine{
		options:     options,
		slowdown:    1,
		requests:    make(map[string]*request),
		exported:    make(map[uint64]usher.Tokens),
		cache:       newPrefixCache(options.CacheBlocks, options.ReportLag, options.EventLossProbability),
		loadReports: newDelayed[Load](options.ReportLag),
		serving:     newServingState(options.Models),
		wake:        make(chan struct{}, 1),
		crash:       crash,
	}
}

// Run executes steps until done is closed.
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
		// The end of each step is computed from the end of the previous one, so
		// that timer latency does not accumulate and slow the simulated hardware.
		due = due.Add(elapsed)
		if wait := time.Until(due); wait > 0 {
			select {
			case <-time.After(wait):
			case <-done:
				return
			}
		}
		e.completeStep()
	}
}

// step plans one step: up to PrefillChunk prompt tokens in order of arrival, and
// one token for each request whose prefill is done. It returns the duration of
// the step, and false if no request runs.
func (e *Engine) step() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admit()
	if len(e.running) == 0 {
		return 0, false
	}
	budget := e.options.PrefillChunk
	var computed usher.Tokens
	decoding := 0
	for _, r := range e.running {
		if r.prefillLeft > 0 {
			tokens := min(budget, r.prefillLeft)
			r.prefillLeft -= tokens
			r.prefilled += tokens
			budget -= tokens
			computed += tokens
			continue
		}
		r.decodesInStep = true
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
		if r.crashesEngine && !e.crashed {
			e.crashed = true
			go e.crash()
		}
		reused := min(e.cache.matchPrefix(r.blocks), r.promptTokens-1)
		r.cached = reused
		r.prefillLeft = r.promptTokens - reused
		e.totals.ReusedTokens += int64(reused)
		e.running = append(e.running, r)
	}
	e.loadReports.set(Load{Running: len(e.running), Waiting: len(e.waiting)})
}

// completeStep ends a step: each decoding request gets its token, and finished
// requests leave the batch.
func (e *Engine) completeStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		return
	}
	kept := e.running[:0]
	for _, r := range e.running {
		if r.decodesInStep {
			r.decodesInStep = false
			e.totals.DecodeTokens++
			r.addToken()
			if r.crashesHalfway && r.isHalfway() {
				e.crashed = true
				go e.crash()
				return
			}
		}
		if r.prefillLeft == 0 && !r.cacheInserted {
			r.cacheInserted = true
			e.cache.insert(r.blocks)
		}
		if r.finished {
			e.totals.Finished++
			e.removeAfterRetention(r)
			continue
		}
		kept = append(kept, r)
	}
	clear(e.running[len(kept):])
	e.running = kept
}

func (e *Engine) removeAfterRetention(r *request) {
	time.AfterFunc(e.options.Retention, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.requests[r.id] == r {
			delete(e.requests, r.id)
		}
	})
}

// submit queues a request, or returns the existing request with the same ID.
func (e *Engine) submit(r *request) *request {
	e.mu.Lock()
	defer e.mu.Unlock()
	if existing, ok := e.requests[r.id]; ok {
		return existing
	}
	e.requests[r.id] = r
	e.waiting = append(e.waiting, r)
	e.notify()
	return r
}

func (e *Engine) find(id string) (*request, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.requests[id]
	return r, ok
}

// cancel ends a request. The prompt tokens computed for it and not exported are
// counted as wasted.
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
	e.removeAfterRetention(r)
	return true
}

func (e *Engine) setSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdown = factor
}

// snapshotTotals returns the totals. Prefill that was exported and not imported
// is counted as wasted.
func (e *Engine) snapshotTotals() Totals {
	e.mu.Lock()
	defer e.mu.Unlock()
	totals := e.totals
	for _, tokens := range e.exported {
		totals.WastedPrefill += int64(tokens)
	}
	return totals
}

func (e *Engine) notify() {
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
