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
	// recoverAttempts is how often an engine is asked for the events of a
	// request whose whole answer was cut off.
	recoverAttempts = 3
	// recoverDelay is the pause before each of them.
	recoverDelay = 50 * time.Millisecond
)

// assembly puts a whole chat completion together from the events of its
// stream. Only what it understands in full is put together: an answer with
// parts of another form is left to fail, because a part of it would look whole.
//
//	{"choices":[{"index":0,"delta":{"content":"w1 "}}]}
//	{"choices":[{"index":0,"delta":{},"finish_reason":"stop"}],"usage":{...}}
type assembly struct {
	object  map[string]json.RawMessage
	choices []*assembledChoice
}

// assembledChoice is one choice of the answer as it grows.
type assembledChoice struct {
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

// ChunkError is the cause when an event can't be a part of a whole answer.
type ChunkError struct{ Reason string }

// Error implements error.
func (e *ChunkError) Error() string { return "the events do not make a whole answer: " + e.Reason }

// maxChoices bounds the choices of one answer.
const maxChoices = 128

func (a *assembly) add(data []byte) error {
	var parsed chunk
	if err := json.Unmarshal(data, &parsed); err != nil {
		return &ChunkError{Reason: err.Error()}
	}
	if err := json.Unmarshal(data, &a.object); err != nil {
		return &ChunkError{Reason: err.Error()}
	}
	for _, part := range parsed.Choices {
		if part.Index < 0 || part.Index > len(a.choices) || part.Index >= maxChoices {
			return &ChunkError{Reason: "a choice was skipped"}
		}
		if part.Index == len(a.choices) {
			a.choices = append(a.choices, &assembledChoice{Index: part.Index, Message: map[string]string{"role": "assistant"}})
		}
		if err := a.choices[part.Index].add(part.Delta, part.FinishReason); err != nil {
			return err
		}
	}
	return nil
}

func (c *assembledChoice) add(delta map[string]json.RawMessage, finish string) error {
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
	if finish != "" {
		c.FinishReason = finish
	}
	return nil
}

// answer returns the whole answer, if every choice was finished.
func (a *assembly) answer(id usher.RequestID) (*usher.Answer, error) {
	if len(a.choices) == 0 {
		return nil, &ChunkError{Reason: "there is no choice"}
	}
	for _, choice := range a.choices {
		if choice.FinishReason == "" {
			return nil, &ChunkError{Reason: "a choice was not finished"}
		}
	}
	body := make(map[string]any, len(a.object)+1)
	for field, raw := range a.object {
		body[field] = raw
	}
	if _, ok := body["id"]; !ok {
		body["id"] = id
	}
	body["object"] = "chat.completion"
	body["choices"] = a.choices
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, &ChunkError{Reason: err.Error()}
	}
	return &usher.Answer{Status: http.StatusOK, ContentType: "application/json", Body: encoded}, nil
}

// recoverAnswer fetches the events of a request from the first one on. It
// returns cause when the engine does not give all of them.
func (m *Model) recoverAnswer(ctx context.Context, id usher.RequestID, cause error) (*usher.Answer, error) {
	var parts assembly
	var next uint64
	for attempt := 0; attempt < recoverAttempts; attempt++ {
		select {
		case <-time.After(recoverDelay):
		case <-ctx.Done():
			return nil, cause
		}
		stream, err := m.Resume(ctx, id, next)
		if err != nil {
			continue
		}
		before := next
		err = parts.read(stream, &next)
		var unfit *ChunkError
		switch {
		case err == nil:
			return wholeOr(cause)(parts.answer(id))
		case errors.As(err, &unfit):
			return nil, cause
		case next > before:
			attempt = 0
		}
	}
	return nil, cause
}

// wholeOr keeps the first cause of a failure.
func wholeOr(cause error) func(*usher.Answer, error) (*usher.Answer, error) {
	return func(answer *usher.Answer, err error) (*usher.Answer, error) {
		if err != nil {
			return nil, cause
		}
		return answer, nil
	}
}

// read adds the events of a stream, each offset once and in order. It returns
// nil after the end of a whole answer.
func (a *assembly) read(stream usher.EventStream, next *uint64) error {
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
		if err := a.add(event.Data); err != nil {
			return err
		}
		*next++
	}
}
