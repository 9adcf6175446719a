package entry

import (
	"encoding/json"
	"testing"
	"time"
	"unicode/utf8"

	"filbertusher/pkg/usher"
)

// FuzzChat checks that parseChat accepts only valid bodies, and that each
// refusal is a bad request with the outcome "not run".
func FuzzChat(f *testing.F) {
	f.Add([]byte(`{"model":"m","max_tokens":3,"stream":true,"messages":[{"role":"user","content":"x"}]}`))
	f.Add([]byte(`{"messages":[{"content":[{"type":"text"}]}]}`))
	f.Add([]byte(`{"messages":"`))
	f.Fuzz(func(t *testing.T, body []byte) {
		chat, refusal := parseChat(body)
		if refusal != nil {
			if refusal.Outcome != usher.OutcomeNotRun || refusal.Kind != usher.RefusalBadRequest {
				t.Fatalf("refusal %v, want a bad request that did not run", refusal)
			}
			return
		}
		if !json.Valid(body) || !utf8.Valid(body) || len(chat.Messages) == 0 || chat.MaxTokens < 0 {
			t.Fatalf("accepted invalid body %q", body)
		}
		if len(prefixHashes(chat.Messages)) > maxPrefixBlocks {
			t.Fatal("more prefix hashes than maxPrefixBlocks")
		}
	})
}

func FuzzTimeout(f *testing.F) {
	for _, seed := range []string{"1", "0.5", "500ms", "1e300", "NaN", "-Inf", "0x1p-80", "9223372036s"} {
		f.Add(seed)
	}
	const maxTimeout = 10 * time.Minute
	f.Fuzz(func(t *testing.T, text string) {
		timeout, ok := parseTimeout(text, maxTimeout)
		if ok && (timeout <= 0 || timeout > maxTimeout) {
			t.Fatalf("accepted %q as %v", text, timeout)
		}
	})
}
