package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"filbertusher/pkg/usher"
)

// Headers of the engine's HTTP protocol. HeaderFencingNumber carries the fencing
// token of the sender.
const (
	HeaderRequestID     = "X-Request-Id"
	HeaderFencingNumber = "X-Fencing-Number"
	HeaderLastEventID   = "Last-Event-ID"
)

// defaultAnswerTokens is the length of the answer to a request without
// max_tokens.
const defaultAnswerTokens = 16

// ChatRequest holds the fields of a chat completions request that the engine
// reads.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Prompt returns the roles and contents of all messages as one text.
func (c *ChatRequest) Prompt() string {
	var prompt strings.Builder
	for _, message := range c.Messages {
		prompt.WriteString(message.Role)
		prompt.WriteByte('\n')
		prompt.WriteString(message.Content)
		prompt.WriteByte('\n')
	}
	return prompt.String()
}

// Handler returns the HTTP handler of the engine, with the URLs below /control/
// that tests use.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.handleChat)
	mux.HandleFunc("GET /v1/requests/{id}/events", e.handleResume)
	mux.HandleFunc("DELETE /v1/requests/{id}", e.handleCancel)
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.loadReports.get()) })
	mux.HandleFunc("GET /cache/events", e.handleCacheEvents)
	mux.HandleFunc("GET /kv/{id}", e.handleExportKV)
	mux.HandleFunc("PUT /kv", e.handleImportKV)
	mux.HandleFunc("POST /orders", e.handleOrder)
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.serving.snapshot()) })
	mux.HandleFunc("PUT /control/slowdown", e.handleSlowdown)
	mux.HandleFunc("GET /control/totals", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.snapshotTotals()) })
	return EchoRequestID(mux)
}

// EchoRequestID repeats the ID of each request in its response.
func EchoRequestID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(HeaderRequestID); id != "" {
			w.Header().Set(HeaderRequestID, id)
		}
		next.ServeHTTP(w, r)
	})
}

func (e *Engine) handleChat(w http.ResponseWriter, r *http.Request) {
	var chat ChatRequest
	if err := json.NewDecoder(r.Body).Decode(&chat); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.serving.serves(chat.Model) {
		http.Error(w, "model is not loaded", http.StatusNotFound)
		return
	}
	fence, _ := strconv.ParseUint(r.Header.Get(HeaderFencingNumber), 10, 64)
	if !e.serving.acceptFence(fence, e.options.FencingChecked) {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	tokens := chat.MaxTokens
	if tokens == 0 {
		tokens = defaultAnswerTokens
	}
	request := e.submit(newRequest(r.Header.Get(HeaderRequestID), chat.Prompt(), tokens))
	if chat.Stream {
		e.writeStream(w, r, request, 0)
		return
	}
	e.writeResponse(w, r, request, chat.Model)
}

func (e *Engine) handleResume(w http.ResponseWriter, r *http.Request) {
	request, ok := e.find(r.PathValue("id"))
	if !ok {
		http.Error(w, "unknown request", http.StatusNotFound)
		return
	}
	from := 0
	if last := r.Header.Get(HeaderLastEventID); last != "" {
		number, err := strconv.Atoi(last)
		if err != nil {
			http.Error(w, "Last-Event-ID is not a number", http.StatusBadRequest)
			return
		}
		from = number + 1
	}
	e.writeStream(w, r, request, from)
}

// writeStream sends the server-sent events of a request from event ID from on:
// one for each token, one with the usage, and the final [DONE].
func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, request *request, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	next := from
	for {
		p := request.progressFrom(next)
		for _, token := range p.tokens {
			writeEvent(w, next, tokenChunk(token))
			next++
		}
		if p.cancelled {
			panic(http.ErrAbortHandler)
		}
		if p.finished && next >= request.answerTokens {
			if next == request.answerTokens {
				writeEvent(w, next, usageChunk(request))
			}
			writeEvent(w, request.answerTokens+1, "[DONE]")
			return
		}
		_ = flusher.Flush()
		select {
		case <-p.changed:
		case <-r.Context().Done():
			return
		}
	}
}

func writeEvent(w http.ResponseWriter, id int, data string) {
	_, _ = w.Write([]byte("id: " + strconv.Itoa(id) + "\ndata: " + data + "\n\n"))
}

func tokenChunk(token string) string {
	return `{"object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":` + strconv.Quote(token) + `}}]}`
}

// usage is the usage object of the chat completions protocol.
type usage struct {
	PromptTokens     usher.Tokens `json:"prompt_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
	CachedTokens     usher.Tokens `json:"cached_tokens"`
}

func usageOf(r *request) usage {
	return usage{PromptTokens: r.promptTokens, CompletionTokens: r.answerTokens, CachedTokens: r.cached}
}

func usageChunk(r *request) string {
	encoded, _ := json.Marshal(usageOf(r))
	return `{"object":"chat.completion.chunk","choices":[{"index":0,"delta":{},"finish_reason":"stop"}],"usage":` + string(encoded) + `}`
}

func (e *Engine) writeResponse(w http.ResponseWriter, r *http.Request, request *request, model string) {
	for {
		p := request.progressFrom(0)
		if p.cancelled {
			panic(http.ErrAbortHandler)
		}
		if p.finished {
			message := Message{Role: "assistant", Content: strings.Join(p.tokens, "")}
			writeJSON(w, map[string]any{
				"id": request.id, "object": "chat.completion", "model": model,
				"choices": []any{map[string]any{"index": 0, "message": message, "finish_reason": "stop"}},
				"usage":   usageOf(request),
			})
			return
		}
		select {
		case <-p.changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	if !e.cancel(r.PathValue("id")) {
		w.WriteHeader(http.StatusNotFound)
	}
}

func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	e.mu.Lock()
	events := e.cache.since(since)
	e.mu.Unlock()
	writeJSON(w, events)
}

func (e *Engine) handleExportKV(w http.ResponseWriter, r *http.Request) {
	request, ok := e.find(r.PathValue("id"))
	if !ok {
		http.Error(w, "unknown request", http.StatusNotFound)
		return
	}
	e.mu.Lock()
	computedBlocks := int(request.prefilled+request.cached) * usher.BytesPerToken / blockBytes
	blocks := request.blocks[:min(computedBlocks, len(request.blocks))]
	if len(blocks) > 0 && !request.finished {
		request.exported = request.prefilled
		e.exported[blocks[len(blocks)-1]] = request.prefilled
	}
	e.mu.Unlock()
	writeJSON(w, blocks)
}

func (e *Engine) handleImportKV(w http.ResponseWriter, r *http.Request) {
	var blocks []uint64
	if err := json.NewDecoder(r.Body).Decode(&blocks); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.cache.insert(blocks)
	if len(blocks) > 0 {
		delete(e.exported, blocks[len(blocks)-1])
	}
	e.totals.ImportedBlocks += int64(len(blocks))
	e.mu.Unlock()
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.serving.acceptFence(order.Fence, e.options.FencingChecked) {
		e.mu.Lock()
		e.totals.RefusedOrders++
		e.mu.Unlock()
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	e.serving.apply(order)
	writeJSON(w, e.serving.snapshot())
}

func (e *Engine) handleSlowdown(w http.ResponseWriter, r *http.Request) {
	var factor float64
	if err := json.NewDecoder(r.Body).Decode(&factor); err != nil || factor <= 0 {
		http.Error(w, "a factor above 0 is needed", http.StatusBadRequest)
		return
	}
	e.setSlowdown(factor)
}

func writeJSON(w http.ResponseWriter, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(encoded)
}
