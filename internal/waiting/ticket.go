package waiting

import (
	"sync"
	"time"

	"filbertusher/pkg/usher"
)

// ticket is one request in the room. Exactly one of slot and refusal is set
// when decided is closed.
type ticket struct {
	header  *usher.RequestHeader
	entered time.Time
	// latest is when the request has to be let in to end before its deadline.
	latest time.Time
	// prefill and work are the expected time of its prompt and of all of it.
	prefill time.Duration
	work    time.Duration
	// ahead is the expected time of the prompts that were in the engine when
	// the request was let in.
	ahead time.Duration
	// key orders the requests of one workspace, see keyOf.
	key time.Time
	// at is the index in the heap, or -1.
	at int

	decided chan struct{}
	slot    *slot
	refusal *usher.Refusal
}

const (
	// longPrompt is from where on a prompt is taken for a long one.
	longPrompt usher.Tokens = 512
	// stretch is how many times its own expected time a request may be held
	// back for shorter ones that came later.
	stretch = 4
	// doubtEighths is added to the expected time when it is held against a
	// deadline, in eighths, because a prompt that is computed for an answer
	// that comes too late is lost work. Under overload most requests are let in
	// at the last moment, so the doubt decides how much is lost; what is
	// refused for it makes room for one that came later and has more time.
	doubtEighths = 4
)

func (r *Room) newTicket(header *usher.RequestHeader, now time.Time) *ticket {
	t := &ticket{header: header, entered: now, at: -1, decided: make(chan struct{})}
	r.expect(t, now)
	t.key = keyOf(t)
	return t
}

// expect sets the expected times of a request by the engine's pace of now, and
// by the prompts that the engine still has to compute before. The request must
// not be in line, whose sums are made of them.
func (r *Room) expect(t *ticket, now time.Time) {
	expected := r.pace.expect(t.header.Cost)
	t.prefill, t.work = expected.prefill, expected.whole
	t.latest = r.latest(t.header, now)
}

// latest is when a request has to be let in to end before its deadline.
func (r *Room) latest(header *usher.RequestHeader, now time.Time) time.Time {
	sure := r.pace.expect(header.Cost).sure
	if sure == 0 {
		return header.Deadline
	}
	return header.Deadline.Add(-sure - sure*doubtEighths/8 - r.prefill.backlog(now))
}

// keyOf orders the requests of a workspace in a tier. A request is due at its
// arrival plus a multiple of its own time, so that a one-line question passes
// a ledger that came just before it, but a ledger ages: what comes later by
// more than the difference can't pass it any more. A deadline that comes
// sooner counts instead.
//
// Example: a ledger takes 3 s and is due 12 s after it came; a question that
// takes 0.5 s is due 2 s after it came. Questions pass the ledger for 10 s.
func keyOf(t *ticket) time.Time {
	due := t.entered.Add(stretch * t.work)
	if t.latest.Before(due) {
		return t.latest
	}
	return due
}

func (t *ticket) long() bool { return t.header.Cost.PromptTokens >= longPrompt }

func (t *ticket) hopeless(now time.Time) bool { return now.After(t.latest) }

func (t *ticket) decide(s *slot, refusal *usher.Refusal) {
	t.slot, t.refusal = s, refusal
	close(t.decided)
}

// prefillWindow bounds the prompts that are in the engine and not computed
// yet. The engine computes prompts in the order in which they came, so a
// question behind two ledgers waits for both. One long prompt is let in at a
// time, and short ones as long as there are few of them.
//
// The window also notices when the engine's batch is full: a request that
// waits inside the engine has no first token, so no further one is let in.
type prefillWindow struct {
	long  int
	short usher.Tokens
	// until is when all prompts on their way are expected to be computed.
	until time.Time
}

// shortWindow is how many tokens of short prompts may be on their way.
const shortWindow usher.Tokens = 512

func (w *prefillWindow) fits(t *ticket) bool {
	if t.long() {
		return w.long == 0
	}
	return w.short == 0 || w.short+t.header.Cost.PromptTokens <= shortWindow
}

// backlog is the expected time until a prompt that came now would be next.
func (w *prefillWindow) backlog(now time.Time) time.Duration {
	return max(0, w.until.Sub(now))
}

func (w *prefillWindow) begin(t *ticket, now time.Time) {
	w.until = now.Add(w.backlog(now) + t.prefill)
	if t.long() {
		w.long++
		return
	}
	w.short += t.header.Cost.PromptTokens
}

func (w *prefillWindow) end(t *ticket, now time.Time) {
	if t.long() {
		w.long--
	} else {
		w.short -= t.header.Cost.PromptTokens
	}
	if w.long == 0 && w.short == 0 {
		w.until = now
	}
}

// slot implements usher.Slot.
type slot struct {
	room   *Room
	ticket *ticket
	timer  *time.Timer

	prefilled sync.Once
	released  sync.Once
	// preempted is closed when the place is asked for, which asked notes.
	preempted chan struct{}
	asked     bool
}

// FirstToken implements usher.Slot.
func (s *slot) FirstToken(after time.Duration, prompt usher.Tokens) {
	s.room.pace.firstToken(after, s.ticket.ahead, prompt)
	s.prefillEnded()
}

// Token implements usher.Slot.
func (s *slot) Token(gap time.Duration) { s.room.pace.token(gap) }

// Answered implements usher.Slot.
func (s *slot) Answered(tokens usher.Tokens) {
	s.room.pace.answered(tokens, s.ticket.header.Cost.AnswerTokens)
}

// prefillEnded lets the next prompt in.
func (s *slot) prefillEnded() {
	s.prefilled.Do(func() {
		s.room.mu.Lock()
		defer s.room.mu.Unlock()
		s.room.prefill.end(s.ticket, s.room.now())
		s.room.proceed()
	})
}

// Release implements usher.Slot.
func (s *slot) Release() {
	s.released.Do(func() {
		if s.timer != nil {
			s.timer.Stop()
		}
		s.prefillEnded()
		s.room.mu.Lock()
		defer s.room.mu.Unlock()
		s.room.preempt.gone(s)
		s.room.running--
		s.room.byRank[s.ticket.header.Rank]--
		s.room.occupied -= s.ticket.work
		s.room.proceed()
	})
}

// proceed takes in what was learned and lets in what fits now.
func (r *Room) proceed() {
	now := r.now()
	r.pace.learn(now, r.running, r.saturated())
	r.admitNext(now)
}
