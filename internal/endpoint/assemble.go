package endpoint

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"filbertusher/pkg/usher"
)

const (
	// recoverAttempts is the maximum number of consecutive fetches without progress
	// of the events of a request whose response was cut off.
	recoverAttempts = 3
	// recoverDelay is the delay before each fetch.
	recoverDelay = 50 * time.Millisecond
)

// completionBuilder builds a complete chat completion from the events of its
// stream. It fails on a delta field that is not a string instead of dropping it,
// because a response that lacks a part would look complete.
//
//	{"choices":[{"index":0,"delta":{"content":"w1 "}}]}
//	{"choices":[{"index":0,"delta":{},"finish_reason":"stop"}],"usage":{...}}
type completionBuilder struct {
	object  map[string]json.RawMessage
	choices []*choiceBuilder
}

// choiceBuilder is one choice of the response as its events are added.
type choiceBuilder struct {
	Index        int               `json:"index"`
	Message      map[string]string `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

// chunk is one event of a chat completions stream.
type chunk struct {
	Choices []struct {
		Index        int                        `json:"index"`
		Delta        map[string]json.RawMessage `json:"delta"`
		FinishReason string                     `json:"finish_reason"`
	} `json:"choices"`
}

// ChunkError is the cause if the events don't form a complete response.
type ChunkError struct{ Reason string }

// Error implements error.
func (e *ChunkError) Error() string { return "the events do not make a whole answer: " + e.Reason }

// maxChoices bounds the number of choices in one response.
const maxChoices = 128

func (b *completionBuilder) add(data []byte) error {
	var parsed chunk
	if err := json.Unmarshal(data, &parsed); err != nil {
		return &ChunkError{Reason: err.Error()}
	}
	if err := json.Unmarshal(data, &b.object); err != nil {
		return &ChunkError{Reason: err.Error()}
	}
	for _, part := range parsed.Choices {
		if part.Index < 0 || part.Index > len(b.choices) || part.Index >= maxChoices {
			return &ChunkError{Reason: "choice index is out of range"}
		}
		if part.Index == len(b.choices) {
			b.choices = append(b.choices, &choiceBuilder{Index: part.Index, Message: map[string]string{"role": "assistant"}})
		}
		if err := b.choices[part.Index].add(part.Delta, part.FinishReason); err != nil {
			return err
		}
	}
	return nil
}

func (c *choiceBuilder) add(delta map[string]json.RawMessage, finishReason string) error {
	for field, raw := range delta {
		var text *string
		if err := json.Unmarshal(raw, &text); err != nil {
			return &ChunkError{Reason: "field " + field + " is no text"}
		}
		switch {
		case text == nil:
		case field == "role":
			c.Message[field] = *text
		default:
			c.Message[field] += *text
		}
	}
	if finishReason != "" {
		c.FinishReason = finishReason
	}
	return nil
}

// response returns the complete response, or an error if a choice is unfinished.
func (b *completionBuilder) response(id usher.RequestID) (*usher.Response, error) {
	if len(b.choices) == 0 {
		return nil, &ChunkError{Reason: "there is no choice"}
	}
	for _, choice := range b.choices {
		if choice.FinishReason == "" {
			return nil, &ChunkError{Reason: "a choice has no finish_reason"}
		}
	}
	body := make(map[string]any, len(b.object)+1)
	for field, raw := range b.object {
		body[field] = raw
	}
	if _, ok := body["id"]; !ok {
		body["id"] = id
	}
	body["object"] = "chat.completion"
	body["choices"] = b.choices
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, &ChunkError{Reason: err.Error()}
	}
	return &usher.Response{Status: http.StatusOK, ContentType: "application/json", Body: encoded}, nil
}

// recoverResponse fetches the events of a request from the first one on. It
// returns cause if the engine does not deliver all of them.
func (m *ModelClient) recoverResponse(ctx context.Context, id usher.RequestID, cause error) (*usher.Response, error) {
	var builder completionBuilder
	var next uint64
	for failures := 0; failures < recoverAttempts; {
		select {
		case <-time.After(recoverDelay):
		case <-ctx.Done():
			return nil, cause
		}
		failures++
		stream, err := m.Resume(ctx, id, next)
		if err != nil {
			continue
		}
		before := next
		err = builder.read(stream, &next)
		var chunkErr *ChunkError
		switch {
		case err == nil:
			return orCause(cause)(builder.response(id))
		case errors.As(err, &chunkErr):
			return nil, cause
		case next > before:
			failures = 0
		}
	}
	return nil, cause
}

// orCause replaces an error by cause, the first failure.
func orCause(cause error) func(*usher.Response, error) (*usher.Response, error) {
	return func(answer *usher.Response, err error) (*usher.Response, error) {
		if err != nil {
			return nil, cause
		}
		return answer, nil
	}
}

// read adds the events of a stream, each offset once and in order. It returns nil
// if the stream ended with its end marker.
func (b *completionBuilder) read(stream usher.EventStream, next *uint64) error {
	defer stream.Close()
	for {
		event, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if event.Offset < *next {
			continue
		}
		if event.Offset > *next {
			return &ChunkError{Reason: "an event was skipped"}
		}
		if err := b.add(event.Data); err != nil {
			return err
		}
		*next++
	}
}
