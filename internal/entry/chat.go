package entry

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"filbertusher/pkg/usher"
)

const (
	// prefixBlockBytes is the size of one block of the prompt prefix, in bytes.
	// tokensPerBlock of package placement assumes the same size.
	prefixBlockBytes = 512
	// maxPrefixBlocks is the number of leading blocks that placement considers.
	maxPrefixBlocks = 64
	// defaultAnswerTokens is the estimate for a request without max_tokens.
	defaultAnswerTokens usher.Tokens = 256
)

// chatBody has the fields of a chat completions request that the entry reads.
// The body itself is forwarded unchanged.
type chatBody struct {
	Model       usher.ModelName `json:"model"`
	Stream      bool            `json:"stream"`
	MaxTokens   usher.Tokens    `json:"max_tokens"`
	Messages    []chatMessage   `json:"messages"`
	ServiceTier string          `json:"-"`
}

// chatMessage is one message of the prompt. Its content is text or a list of
// parts, and is not decoded.
type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// serveChat handles chat completions requests.
func (e *Entry) serveChat(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		e.methodNotAllowed(http.MethodPost)(w, r)
		return
	}
	req, refusal := e.accept(r)
	if refusal != nil {
		e.respond(w, req, nil, refusal)
		return
	}
	body, refusal := e.readBody(w, r)
	defer body.Release()
	if refusal == nil {
		refusal = req.readChat(body.Bytes)
	}
	if refusal != nil {
		e.respond(w, req, nil, refusal)
		return
	}
	e.handle(w, r, req)
}

// maxAnswerTokens is the largest max_tokens that a caller may set. The bound
// keeps cost estimates from overflowing.
const maxAnswerTokens usher.Tokens = 1 << 24

// parseChat decodes and validates the body of a chat completions request.
func parseChat(body []byte) (*chatBody, *usher.Refusal) {
	if !utf8.Valid(body) {
		return nil, usher.NewRefusal(usher.RefusalBadRequest, "the body is not valid UTF-8")
	}
	var chat chatBody
	if err := json.Unmarshal(body, &chat); err != nil {
		return nil, usher.NewRefusal(usher.RefusalBadRequest, "the body is no chat completions request: "+describeDecodeError(err))
	}
	if len(chat.Messages) == 0 {
		return nil, usher.NewRefusal(usher.RefusalBadRequest, "messages must not be empty")
	}
	if chat.MaxTokens < 0 || chat.MaxTokens > maxAnswerTokens {
		return nil, usher.NewRefusal(usher.RefusalBadRequest, "max_tokens must be from 0 to "+strconv.Itoa(int(maxAnswerTokens)))
	}
	return &chat, nil
}

// describeDecodeError describes a decoding error without naming Go types.
func describeDecodeError(err error) string {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return "field " + typeError.Field + " must not be " + typeError.Value
	}
	return err.Error()
}

// readChat sets the service, call, cost and prefix from the body.
func (r *request) readChat(body []byte) *usher.Refusal {
	chat, refusal := parseChat(body)
	if refusal != nil {
		return refusal
	}
	service, ok := r.snapshot.Models[chat.Model]
	if !ok {
		return usher.NewRefusal(usher.RefusalUnknownModel, "no service has the model")
	}
	r.setService(service, usher.Call{Method: http.MethodPost, Path: pathChat, ContentType: "application/json", Body: body})
	r.Stream = chat.Stream
	r.Cost = usher.RequestCost{PromptTokens: usher.EstimateTokens(len(body)), AnswerTokens: chat.MaxTokens}
	if chat.MaxTokens == 0 {
		r.Cost.AnswerTokens = defaultAnswerTokens
	}
	r.Prefix = prefixHashes(chat.Messages)
	return nil
}

// setService sets the service and the call that is forwarded to its endpoints.
func (r *request) setService(service *usher.Service, call usher.Call) {
	r.service = service
	r.Service = service.Name
	r.Idempotent = service.Idempotent
	r.call = call
	r.Digest = call.Digest()
}

// prefixHashes hashes the prompt block by block. Each hash also covers all
// blocks before it.
func prefixHashes(messages []chatMessage) []uint64 {
	var hashes []uint64
	digest := xxhash.New()
	blockRemaining := prefixBlockBytes
	for _, message := range messages {
		_, _ = digest.WriteString(message.Role)
		content := []byte(message.Content)
		for len(content) >= blockRemaining {
			_, _ = digest.Write(content[:blockRemaining])
			content = content[blockRemaining:]
			blockRemaining = prefixBlockBytes
			hashes = append(hashes, digest.Sum64())
			if len(hashes) == maxPrefixBlocks {
				return hashes
			}
		}
		_, _ = digest.Write(content)
		blockRemaining -= len(content)
	}
	return hashes
}

// servePlain handles calls to services of kind plain.
func (e *Entry) servePlain(w http.ResponseWriter, r *http.Request) {
	req, refusal := e.accept(r)
	if refusal != nil {
		e.respond(w, req, nil, refusal)
		return
	}
	service, ok := req.snapshot.Services[usher.ServiceName(r.PathValue("service"))]
	if !ok || service.Kind != usher.ServicePlain {
		e.respond(w, req, nil, usher.NewRefusal(usher.RefusalUnknownService, "there is no such service"))
		return
	}
	if req.Key == "" && !service.Idempotent && !isSafe(r.Method) {
		e.respond(w, req, nil, usher.NewRefusal(usher.RefusalKeyRequired, "the service needs an "+headerIdempotencyKey))
		return
	}
	body, refusal := e.readBody(w, r)
	defer body.Release()
	if refusal != nil {
		e.respond(w, req, nil, refusal)
		return
	}
	path := endpointPath(r.URL)
	req.setService(service, usher.Call{
		Method: r.Method, Path: path, ContentType: r.Header.Get("Content-Type"), Key: req.Key, Body: body.Bytes,
	})
	req.Idempotent = service.Idempotent || isSafe(r.Method)
	req.Cost = usher.RequestCost{PromptTokens: usher.EstimateTokens(len(body.Bytes)), AnswerTokens: 1}
	e.handle(w, r, req)
}

// endpointPath returns the path and query to send to the endpoint, with the
// caller's escaping.
//
//	/v1/services/orders/stock/a%2Fb?x=1  ->  /stock/a%2Fb?x=1
func endpointPath(from *url.URL) string {
	_, path, _ := strings.Cut(strings.TrimPrefix(from.EscapedPath(), pathServices), "/")
	if from.RawQuery == "" {
		return "/" + path
	}
	return "/" + path + "?" + from.RawQuery
}

// isSafe reports whether an HTTP method is safe, that is, read-only.
func isSafe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// listModels lists the available models. It assigns no request ID, because
// every assigned ID must have a line in the record and listing is no decision.
func (e *Entry) listModels(w http.ResponseWriter, r *http.Request) {
	snapshot := e.Config.Current()
	if _, refusal := authenticate(snapshot, r); refusal != nil {
		e.refuse(w, refusal)
		return
	}
	type model struct {
		ID     usher.ModelName `json:"id"`
		Object string          `json:"object"`
	}
	models := []model{}
	for name := range snapshot.Models {
		models = append(models, model{ID: name, Object: "model"})
	}
	sort.Slice(models, func(i, j int) bool { return models[i].ID < models[j].ID })
	writeJSON(w, http.StatusOK, map[string]any{"object": "list", "data": models})
}
