package journal

import (
	"context"
	"errors"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"filbertusher/pkg/usher"
)

// The model runs companions, messages and requests step by step in an order
// that rapid chooses, over a store with every fault, and compares them with a
// naive version: a count of executions for each key and the moment at which a
// caller was last told "not run".

const (
	modelCompanions = 3
	modelKeys       = 3
	modelService    = usher.ServiceName("orders")
)

// message is a request on its way to a companion.
type message struct {
	key  KeyHash
	sent int
	view View
	id   int
	// live messages have an entry that sends them again when they are stale.
	live bool
}

// task is a request in a companion. A task whose companion was replaced stays,
// as it does in a process that is paused and woken.
type task struct {
	message
	companion int
	slot      *Slot
	entry     *Entry
	committed bool
	ran       bool
}

type model struct {
	t          *rapid.T
	store      *faultyStore
	books      []*Book
	messages   []message
	tasks      []*task
	clock      int
	runs       map[KeyHash]int
	notRunAt   map[KeyHash]int
	lastRunMsg map[KeyHash]int
	busy       map[int]bool
	cancel     context.CancelFunc
	faulty     bool
	nested     bool
	made       int
	views      [2]View
}

func newModel(t *rapid.T) *model {
	m := &model{
		t: t, store: newFaultyStore(), runs: make(map[KeyHash]int),
		notRunAt: make(map[KeyHash]int), busy: make(map[int]bool), cancel: func() {}, faulty: true,
	}
	m.store.choose = m.chooseFault
	m.store.around = m.interleave
	for i := range modelCompanions {
		m.books = append(m.books, m.newBook(i))
	}
	return m
}

func (m *model) newBook(companion int) *Book {
	m.made++
	holder := Holder{
		Endpoint:    usher.EndpointName("orders-" + strconv.Itoa(companion)),
		Incarnation: usher.Incarnation("run-" + strconv.Itoa(m.made)),
	}
	return NewBook(Options{Holder: holder, Retention: time.Hour, WritesPerSecond: 1e9, MaxKeys: 100, MaxHead: 600}, m.store, m)
}

// Gone implements Prober with any answer, right or wrong.
func (m *model) Gone(context.Context, Holder) bool {
	return rapid.Bool().Draw(m.t, "gone")
}

// chooseFault also ends the caller's patience, so that no step waits.
func (m *model) chooseFault(write bool) fault {
	if !m.faulty {
		return faultNone
	}
	faults := []fault{faultNone, faultNone, faultNone, faultDown}
	if write {
		faults = append(faults, faultLost, faultLate)
	}
	chosen := rapid.SampledFrom(faults).Draw(m.t, "fault")
	if chosen != faultNone && rapid.Bool().Draw(m.t, "patienceEnds") {
		m.cancel()
	}
	if chosen == faultDown {
		m.cancel()
	}
	return chosen
}

// interleave lets another companion act in the middle of a call to the store.
func (m *model) interleave() {
	if m.nested || !m.faulty || rapid.IntRange(0, 3).Draw(m.t, "interleave") > 0 {
		return
	}
	m.nested = true
	defer func() { m.nested = false }()
	m.land()
	m.step()
}

// with runs a call on a companion's book with a context that faults can end.
func (m *model) with(companion int, call func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	before := m.cancel
	m.cancel = cancel
	m.busy[companion] = true
	call(ctx)
	delete(m.busy, companion)
	m.cancel = before
}

// send puts a message on its way, with what its entry knows.
func (m *model) send() {
	m.clock++
	m.messages = append(m.messages, message{
		key:  KeyHash("k" + strconv.Itoa(rapid.IntRange(0, modelKeys-1).Draw(m.t, "key"))),
		sent: m.clock, view: rapid.SampledFrom(m.views[:]).Draw(m.t, "view"), id: m.clock, live: rapid.Bool().Draw(m.t, "live"),
	})
}

// arrive delivers any message to any companion, however late.
func (m *model) arrive() {
	companion := rapid.IntRange(0, modelCompanions-1).Draw(m.t, "companion")
	if len(m.messages) == 0 || m.busy[companion] {
		return
	}
	at := rapid.IntRange(0, len(m.messages)-1).Draw(m.t, "message")
	got := m.messages[at]
	m.messages = append(m.messages[:at], m.messages[at+1:]...)
	book := m.books[companion]
	m.with(companion, func(ctx context.Context) {
		slot, err := book.Slot(ctx, modelService, 0, 0)
		if err != nil {
			return
		}
		m.open(companion, slot, got)
	})
}

func (m *model) open(companion int, slot *Slot, got message) {
	entry, fresh, err := slot.Open(got.key, "digest", usher.RequestID(strconv.Itoa(got.id)), got.view)
	var stale *StaleError
	switch {
	case errors.As(err, &stale):
		m.views[rapid.IntRange(0, 1).Draw(m.t, "entry")] = stale.View
		if got.live {
			m.clock++
			got.sent, got.view = m.clock, stale.View
			m.messages = append(m.messages, got)
		}
	case err == nil && fresh:
		m.tasks = append(m.tasks, &task{message: got, companion: companion, slot: slot, entry: entry})
	case err == nil:
		select {
		case <-entry.Done():
			m.told(got.key, entry)
		default:
		}
	}
}

// told checks what a repeated key is answered with.
func (m *model) told(key KeyHash, entry *Entry) {
	answer, refusal := entry.Result()
	if answer != nil && m.runs[key] != 1 {
		m.t.Fatalf("key %s is answered after %d runs", key, m.runs[key])
	}
	if refusal != nil && refusal.Outcome == usher.OutcomeNotRun && m.runs[key] != 0 {
		m.t.Fatalf("key %s is told not run after %d runs", key, m.runs[key])
	}
}

// step moves one request on: its key is committed, or it is dispatched, or it
// ends, or it is refused.
func (m *model) step() {
	if len(m.tasks) == 0 {
		return
	}
	at := rapid.IntRange(0, len(m.tasks)-1).Draw(m.t, "task")
	one := m.tasks[at]
	if m.busy[one.companion] {
		return
	}
	switch {
	case one.ran:
		m.drop(one)
		if rapid.IntRange(0, 3).Draw(m.t, "endpointCrashes") == 0 {
			one.entry.Finish(nil, usher.NewUnknown(usher.RefusalEndpointFailed, ""))
			return
		}
		one.entry.Finish(&usher.Answer{Status: 201, Body: []byte(one.key)}, nil)
	case one.committed:
		one.ran = true
		m.runs[one.key]++
		if m.runs[one.key] > 1 {
			m.t.Fatalf("key %s ran %d times", one.key, m.runs[one.key])
		}
		if one.sent < m.notRunAt[one.key] {
			m.t.Fatalf("key %s ran by a message of %d after not run was told at %d", one.key, one.sent, m.notRunAt[one.key])
		}
	case rapid.IntRange(0, 2).Draw(m.t, "refuse") == 0:
		m.refuse(one)
	default:
		m.with(one.companion, func(ctx context.Context) {
			if one.entry.Commit(ctx) == nil {
				one.committed = true
				return
			}
			m.drop(one)
			one.entry.Finish(nil, usher.NewAttemptRefusal(usher.RefusalStoreUnavailable, ""))
		})
	}
}

// refuse tells a caller "not run" where the store confirms it.
func (m *model) refuse(one *task) {
	m.drop(one)
	m.with(one.companion, func(ctx context.Context) {
		refusal := usher.NewRefusal(usher.RefusalOverloaded, "")
		if one.slot.Confirm(ctx) != nil {
			refusal = refusal.ForAttempt()
		}
		one.entry.Finish(nil, refusal)
		if refusal.Outcome != usher.OutcomeNotRun {
			return
		}
		if m.runs[one.key] != 0 {
			m.t.Fatalf("key %s is told not run after %d runs", one.key, m.runs[one.key])
		}
		m.clock++
		m.notRunAt[one.key] = m.clock
	})
}

func (m *model) drop(gone *task) {
	for i, one := range m.tasks {
		if one == gone {
			m.tasks = append(m.tasks[:i], m.tasks[i+1:]...)
			return
		}
	}
}

// replace starts a new incarnation. The old one is killed with its requests,
// or it is only paused and its requests go on later.
func (m *model) replace() {
	companion := rapid.IntRange(0, modelCompanions-1).Draw(m.t, "companion")
	if m.busy[companion] {
		return
	}
	m.books[companion] = m.newBook(companion)
	if rapid.Bool().Draw(m.t, "paused") {
		return
	}
	kept := m.tasks[:0]
	for _, one := range m.tasks {
		if one.companion != companion {
			kept = append(kept, one)
		}
	}
	m.tasks = kept
}

// land lets a late write take effect.
func (m *model) land() {
	if len(m.store.late) == 0 {
		return
	}
	at := rapid.IntRange(0, len(m.store.late)-1).Draw(m.t, "late")
	write := m.store.late[at]
	m.store.late = append(m.store.late[:at], m.store.late[at+1:]...)
	write()
}

// leave hands the slot of a companion without running requests over.
func (m *model) leave() {
	companion := rapid.IntRange(0, modelCompanions-1).Draw(m.t, "companion")
	if m.busy[companion] {
		return
	}
	for _, one := range m.tasks {
		if one.companion == companion {
			return
		}
	}
	m.with(companion, func(ctx context.Context) { _ = m.books[companion].Release(ctx) })
	m.books[companion] = m.newBook(companion)
}

func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"send":    func(*rapid.T) { m.send() },
			"arrive":  func(*rapid.T) { m.arrive() },
			"arrive2": func(*rapid.T) { m.arrive() },
			"step":    func(*rapid.T) { m.step() },
			"step2":   func(*rapid.T) { m.step() },
			"replace": func(*rapid.T) { m.replace() },
			"land":    func(*rapid.T) { m.land() },
			"leave":   func(*rapid.T) { m.leave() },
		})
	})
}
