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
	// prefixBlock is how much of a body makes one block of its prefix, in bytes.
	prefixBlock = 512
	// maxPrefixBlocks bounds how much of a long prompt steers placement.
	maxPrefixBlocks = 64
	// defaultAnswerTokens is assumed of a request that names no bound.
	defaultAnswerTokens usher.Tokens = 256
)

// chatBody is the part of a chat completions request that the entry reads. The
// body itself is passed on as it came.
type chatBody struct {
	Model       usher.ModelName `json:"model"`
	Stream      bool            `json:"stream"`
	MaxTokens   usher.Tokens    `json:"max_tokens"`
	Messages    []chatMessage   `json:"messages"`
	ServiceTier string          `json:"-"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// chat serves model questions.
func (e *Entry) chat(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		e.methodNotAllowed(http.MethodPost)(w, r)
		return
	}
	accepted, refusal := e.accept(r)
	if refusal != nil {
		e.end(w, accepted, nil, refusal)
		return
	}
	body, refusal := e.readBody(w, r)
	if refusal == nil {
		refusal = accepted.readChat(body)
	}
	if refusal != nil {
		e.end(w, accepted, nil, refusal)
		return
	}
	e.handle(w, r, accepted)
}

// maxAnswerTokens bounds what a caller may ask for, so that estimates do not
// overflow.
const maxAnswerTokens usher.Tokens = 1 << 24

// parseChat reads the body of a chat completions request.
func parseChat(body []byte) (*chatBody, *usher.Refusal) {
	if !utf8.Valid(body) {
		return nil, usher.NewRefusal(usher.RefusalBadRequest, "the body is not valid UTF-8")
	}
	var chat chatBody
	if err := json.Unmarshal(body, &chat); err != nil {
		return nil, usher.NewRefusal(usher.RefusalBadRequest, "the body is no chat completions request: "+explain(err))
	}
	if len(chat.Messages) == 0 {
		return nil, usher.NewRefusal(usher.RefusalBadRequest, "messages must not be empty")
	}
	if chat.MaxTokens < 0 || chat.MaxTokens > maxAnswerTokens {
		return nil, usher.NewRefusal(usher.RefusalBadRequest, "max_tokens must be from 0 to "+strconv.Itoa(int(maxAnswerTokens)))
	}
	return &chat, nil
}

// explain describes a decoding error without the names of our own types.
func explain(err error) string {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return "field " + wrong.Field + " must not be " + wrong.Value
	}
	return err.Error()
}

// readChat fills in what the body says.
func (r *request) readChat(body []byte) *usher.Refusal {
	chat, refusal := parseChat(body)
	if refusal != nil {
		return refusal
	}
	service, ok := r.snapshot.Models[chat.Model]
	if !ok {
		return usher.NewRefusal(usher.RefusalUnknownModel, "no service has the model")
	}
	r.use(service, usher.Call{Method: http.MethodPost, Path: pathChat, ContentType: "application/json", Body: body})
	r.Stream = chat.Stream
	r.Cost = usher.RequestCost{PromptTokens: usher.EstimateTokens(len(body)), AnswerTokens: chat.MaxTokens}
	if chat.MaxTokens == 0 {
		r.Cost.AnswerTokens = defaultAnswerTokens
	}
	r.Prefix = prefixOf(chat.Messages)
	return nil
}

// use sets the service and the call that is passed on to its endpoints.
func (r *request) use(service *usher.Service, call usher.Call) {
	r.service = service
	r.Service = service.Name
	r.Idempotent = service.Idempotent
	r.call = call
	r.Digest = call.Digest()
}

// prefixOf hashes the prompt in blocks, each hash covering all before it.
func prefixOf(messages []chatMessage) []uint64 {
	var hashes []uint64
	digest := xxhash.New()
	left := prefixBlock
	for _, message := range messages {
		_, _ = digest.WriteString(message.Role)
		content := []byte(message.Content)
		for len(content) >= left {
			_, _ = digest.Write(content[:left])
			content = content[left:]
			left = prefixBlock
			hashes = append(hashes, digest.Sum64())
			if len(hashes) == maxPrefixBlocks {
				return hashes
			}
		}
		_, _ = digest.Write(content)
		left -= len(content)
	}
	return hashes
}

// plain serves calls to plain services.
func (e *Entry) plain(w http.ResponseWriter, r *http.Request) {
	accepted, refusal := e.accept(r)
	if refusal != nil {
		e.end(w, accepted, nil, refusal)
		return
	}
	service, ok := accepted.snapshot.Services[usher.ServiceName(r.PathValue("service"))]
	if !ok || service.Kind != usher.ServicePlain {
		e.end(w, accepted, nil, usher.NewRefusal(usher.RefusalUnknownService, "there is no such service"))
		return
	}
	if accepted.Key == "" && !service.Idempotent && !isSafe(r.Method) {
		e.end(w, accepted, nil, usher.NewRefusal(usher.RefusalKeyRequired, "the service needs an "+headerKey))
		return
	}
	body, refusal := e.readBody(w, r)
	if refusal != nil {
		e.end(w, accepted, nil, refusal)
		return
	}
	path := endpointPath(r.URL)
	accepted.use(service, usher.Call{
		Method: r.Method, Path: path, ContentType: r.Header.Get("Content-Type"), Key: accepted.Key, Body: body,
	})
	accepted.Idempotent = service.Idempotent || isSafe(r.Method)
	accepted.Cost = usher.RequestCost{PromptTokens: usher.EstimateTokens(len(body)), AnswerTokens: 1}
	e.handle(w, r, accepted)
}

// endpointPath is the path and query that the endpoint gets, escaped as the
// caller sent them.
//
//	/v1/services/orders/stock/a%2Fb?x=1  ->  /stock/a%2Fb?x=1
func endpointPath(from *url.URL) string {
	_, path, _ := strings.Cut(strings.TrimPrefix(from.EscapedPath(), pathServices), "/")
	if from.RawQuery == "" {
		return "/" + path
	}
	return "/" + path + "?" + from.RawQuery
}

// isSafe says whether a method only reads, which HTTP calls safe.
func isSafe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// listModels serves the models that callers can ask for. It decides nothing,
// so it takes no request id: every id that was given has a line in the record.
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
