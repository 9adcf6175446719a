package engine

import (
	"encoding/binary"
	"strconv"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"filbertusher/pkg/usher"
)

// blockBytes is the number of prompt bytes in one block of the prefix cache.
const blockBytes = 256

// request is one request in the engine. The tokens of its answer depend on the
// prompt alone, so that a test can check that an answer is complete and belongs
// to the request; seed is the hash of the prompt. blocks holds the chained hashes
// of the prompt's complete blocks.
type request struct {
	id             string
	promptTokens   usher.Tokens
	answerTokens   int
	seed           uint64
	blocks         []uint64
	crashesEngine  bool
	crashesHalfway bool

	// Guarded by Engine.mu.
	prefillLeft   usher.Tokens
	prefilled     usher.Tokens
	cached        usher.Tokens
	exported      usher.Tokens
	decodesInStep bool
	cacheInserted bool

	mu        sync.Mutex
	tokens    []string
	finished  bool
	cancelled bool
	changed   chan struct{}
}

func newRequest(id, prompt string, answerTokens int) *request {
	return &request{
		id:             id,
		promptTokens:   max(1, usher.EstimateTokens(len(prompt))),
		answerTokens:   max(1, answerTokens),
		seed:           xxhash.Sum64String(prompt),
		blocks:         blockHashes(prompt),
		crashesEngine:  strings.Contains(prompt, CrashMarker),
		crashesHalfway: strings.Contains(prompt, CrashHalfwayMarker),
		changed:        make(chan struct{}),
	}
}

// AnswerToken returns token i, counted from 0, of the answer to a prompt whose hash is
// seed.
func AnswerToken(seed uint64, i int) string {
	var data [16]byte
	binary.LittleEndian.PutUint64(data[:8], seed)
	binary.LittleEndian.PutUint64(data[8:], uint64(i))
	return "w" + strconv.FormatUint(xxhash.Sum64(data[:])%10000, 10) + " "
}

// AnswerText returns the complete answer to a prompt, with the given number of tokens.
func AnswerText(prompt string, answerTokens int) string {
	seed := xxhash.Sum64String(prompt)
	var text strings.Builder
	for i := range answerTokens {
		text.WriteString(AnswerToken(seed, i))
	}
	return text.String()
}

func (r *request) addToken() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.finished {
		return
	}
	r.tokens = append(r.tokens, AnswerToken(r.seed, len(r.tokens)))
	if len(r.tokens) == r.answerTokens {
		r.finished = true
	}
	r.notify()
}

// isHalfway reports whether half of the answer's tokens exist.
func (r *request) isHalfway() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return 2*len(r.tokens) >= r.answerTokens
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

// progress is a snapshot of a request's answer. changed is closed at the next
// change of the request.
type progress struct {
	tokens    []string
	finished  bool
	cancelled bool
	changed   <-chan struct{}
}

// progressFrom returns the progress of the request with its tokens from index
// from on.
func (r *request) progressFrom(from int) progress {
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
