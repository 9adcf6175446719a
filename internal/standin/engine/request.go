package engine

import (
	"encoding/binary"
	"strconv"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"filbertusher/pkg/usher"
)

// blockBytes is how much of a prompt makes one block of the prefix cache.
const blockBytes = 256

// request is one request in the engine. Its tokens follow from the prompt
// alone, so that a reader can tell whether an answer is its own and whole.
type request struct {
	id           string
	promptTokens usher.Tokens
	answerTokens int
	seed         uint64
	blocks       []uint64
	crashes      bool

	// These belong to the engine's lock.
	prefillLeft usher.Tokens
	prefilled   usher.Tokens
	cached      usher.Tokens
	exported    usher.Tokens
	decodes     bool
	stored      bool

	mu        sync.Mutex
	tokens    []string
	finished  bool
	cancelled bool
	changed   chan struct{}
}

func newRequest(id, prompt string, answerTokens int) *request {
	return &request{
		id:           id,
		promptTokens: max(1, usher.EstimateTokens(len(prompt))),
		answerTokens: max(1, answerTokens),
		seed:         xxhash.Sum64String(prompt),
		blocks:       blockHashes(prompt),
		crashes:      strings.Contains(prompt, CrashMarker),
		changed:      make(chan struct{}),
	}
}

// Token returns token number i of the answer to a prompt with the seed.
func Token(seed uint64, i int) string {
	var data [16]byte
	binary.LittleEndian.PutUint64(data[:8], seed)
	binary.LittleEndian.PutUint64(data[8:], uint64(i))
	return "w" + strconv.FormatUint(xxhash.Sum64(data[:])%10000, 10) + " "
}

// Text returns the whole answer to a prompt.
func Text(prompt string, answerTokens int) string {
	seed := xxhash.Sum64String(prompt)
	var text strings.Builder
	for i := range answerTokens {
		text.WriteString(Token(seed, i))
	}
	return text.String()
}

func (r *request) addToken() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.finished {
		return
	}
	r.tokens = append(r.tokens, Token(r.seed, len(r.tokens)))
	if len(r.tokens) == r.answerTokens {
		r.finished = true
	}
	r.notify()
}

func (r *request) cancel() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finished = true
	r.cancelled = true
	r.notify()
}

func (r *request) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// progress is what a reader of a request sees at one moment.
type progress struct {
	tokens    []string
	finished  bool
	cancelled bool
	changed   <-chan struct{}
}

// after returns the tokens from number from on.
func (r *request) after(from int) progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := progress{finished: r.finished, cancelled: r.cancelled, changed: r.changed}
	if from < len(r.tokens) {
		p.tokens = r.tokens[from:len(r.tokens):len(r.tokens)]
	}
	return p
}

func blockHashes(prompt string) []uint64 {
	hashes := make([]uint64, 0, len(prompt)/blockBytes)
	digest := xxhash.New()
	for start := 0; start+blockBytes <= len(prompt); start += blockBytes {
		_, _ = digest.WriteString(prompt[start : start+blockBytes])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}
