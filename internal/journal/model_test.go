package journal

import (
	"context"
	"errors"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "filbertusher/internal/standin/property"
	"filbertusher/pkg/usher"
)

// The model test runs companions, messages and requests step by step, in an order
// drawn by rapid, on a store that injects every kind of fault. The reference model
// is, for each key, the number of executions and the time at which a caller last
// got the outcome "not run".

// The numbers of companions and of keys that the model has at a time, and the service
// that they belong to.
const (
	modelCompanions = 3
	modelKeys       = 3
	modelService    = usher.ServiceName("orders")
)

// message is a request in transit to a companion.
type message struct {
	key    KeyHash
	sentAt int
	view   View
	id     int
	// resend is set if the sending entry process is still running and resends a stale
	// message.
	resend bool
}

// execution is a request in a companion. It may continue after its companion was
// replaced, like a request in a process that was paused and resumed.
type execution struct {
	message
	companion int
	slot      *Slot
	entry     *KeyEntry
	committed bool
	ran       bool
}

// model is the state of one run of the test. clock is a logical clock, by which
// messages and refusals are ordered. views are the views that two entry processes
// send messages with. inCall has the companions with a call in progress: another
// step that interleave runs must not use them.
type model struct {
	t            *rapid.T
	store        *faultyStore
	tables       []*SlotTable
	messages     []message
	executions   []*execution
	clock        int
	runCounts    map[KeyHash]int
	notRunAt     map[KeyHash]int
	lastRunMsg   map[KeyHash]int
	inCall       map[int]bool
	cancel       context.CancelFunc
	injectFaults bool
	interleaving bool
	incarnations int
	views        [2]View
}

func newModel(t *rapid.T) *model {
	m := &model{
		t: t, store: newFaultyStore(), runCounts: make(map[KeyHash]int),
		notRunAt: make(map[KeyHash]int), inCall: make(map[int]bool), cancel: func() {}, injectFaults: true,
	}
	m.store.chooseFault = m.chooseFault
	m.store.interleave = m.interleave
	for i := range modelCompanions {
		m.tables = append(m.tables, m.newTable(i))
	}
	return m
}

func (m *model) newTable(companion int) *SlotTable {
	m.incarnations++
	holder := Holder{
		Endpoint:    usher.EndpointName("orders-" + strconv.Itoa(companion)),
		Incarnation: usher.Incarnation("run-" + strconv.Itoa(m.incarnations)),
	}
	return NewSlotTable(Options{Holder: holder, Retention: time.Hour, WritesPerSecond: 1e9, MaxKeys: 100, MaxHeadBytes: 600}, m.store, m)
}

// Gone implements Prober with a random result, right or wrong.
func (m *model) Gone(context.Context, Holder) bool {
	return rapid.Bool().Draw(m.t, "gone")
}

// chooseFault draws the fault of a store call. It may also cancel the caller's
// context, and always does if the store is unavailable, so that no step blocks.
func (m *model) chooseFault(write bool) fault {
	if !m.injectFaults {
		return faultNone
	}
	faults := []fault{faultNone, faultNone, faultNone, faultUnavailable}
	if write {
		faults = append(faults, faultResponseLost, faultWriteDelayed)
	}
	chosen := rapid.SampledFrom(faults).Draw(m.t, "fault")
	if chosen != faultNone && rapid.Bool().Draw(m.t, "cancelContext") {
		m.cancel()
	}
	if chosen == faultUnavailable {
		m.cancel()
	}
	return chosen
}

// interleave may apply a delayed write and run a step of another companion during a
// store call.
func (m *model) interleave() {
	if m.interleaving || !m.injectFaults || rapid.IntRange(0, 3).Draw(m.t, "interleave") > 0 {
		return
	}
	m.interleaving = true
	defer func() { m.interleaving = false }()
	m.applyDelayedWrite()
	m.advance()
}

// withContext runs a call on a companion's slot table with a context that faults
// can cancel.
func (m *model) withContext(companion int, call func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	previous := m.cancel
	m.cancel = cancel
	m.inCall[companion] = true
	call(ctx)
	delete(m.inCall, companion)
	m.cancel = previous
}

// send puts a message in transit, with a view that an entry process may have.
func (m *model) send() {
	m.clock++
	m.messages = append(m.messages, message{
		key:    KeyHash("k" + strconv.Itoa(rapid.IntRange(0, modelKeys-1).Draw(m.t, "key"))),
		sentAt: m.clock, view: rapid.SampledFrom(m.views[:]).Draw(m.t, "view"), id: m.clock, resend: rapid.Bool().Draw(m.t, "resend"),
	})
}

// deliver delivers a random message, however old, to a random companion.
func (m *model) deliver() {
	companion := rapid.IntRange(0, modelCompanions-1).Draw(m.t, "companion")
	if len(m.messages) == 0 || m.inCall[companion] {
		return
	}
	index := rapid.IntRange(0, len(m.messages)-1).Draw(m.t, "message")
	msg := m.messages[index]
	m.messages = append(m.messages[:index], m.messages[index+1:]...)
	table := m.tables[companion]
	m.withContext(companion, func(ctx context.Context) {
		slot, err := table.Slot(ctx, modelService, 0, 0)
		if err != nil {
			return
		}
		m.receive(companion, slot, msg)
	})
}

func (m *model) receive(companion int, slot *Slot, msg message) {
	entry, isNew, err := slot.GetOrCreate(msg.key, "digest", usher.RequestID(strconv.Itoa(msg.id)), msg.view)
	var stale *StaleError
	switch {
	case errors.As(err, &stale):
		m.views[rapid.IntRange(0, 1).Draw(m.t, "entry")] = stale.View
		if msg.resend {
			m.clock++
			msg.sentAt, msg.view = m.clock, stale.View
			m.messages = append(m.messages, msg)
		}
	case err == nil && isNew:
		m.executions = append(m.executions, &execution{message: msg, companion: companion, slot: slot, entry: entry})
	case err == nil:
		select {
		case <-entry.Done():
			m.checkReplay(msg.key, entry)
		default:
		}
	}
}

// checkReplay checks the result that a repeated key gets.
func (m *model) checkReplay(key KeyHash, entry *KeyEntry) {
	response, refusal := entry.Result()
	if response != nil && m.runCounts[key] != 1 {
		m.t.Fatalf("key %s got a response after %d executions", key, m.runCounts[key])
	}
	if refusal != nil && refusal.Outcome == usher.OutcomeNotRun && m.runCounts[key] != 0 {
		m.t.Fatalf("key %s got \"not run\" after %d executions", key, m.runCounts[key])
	}
}

// advance moves one request to its next state: its key is committed, or it is
// dispatched, finished or refused.
func (m *model) advance() {
	if len(m.executions) == 0 {
		return
	}
	index := rapid.IntRange(0, len(m.executions)-1).Draw(m.t, "execution")
	exec := m.executions[index]
	if m.inCall[exec.companion] {
		return
	}
	switch {
	case exec.ran:
		m.removeExecution(exec)
		if rapid.IntRange(0, 3).Draw(m.t, "endpointCrashes") == 0 {
			exec.entry.Finish(nil, usher.NewUnknownOutcome(usher.RefusalEndpointFailed, ""))
			return
		}
		exec.entry.Finish(&usher.Response{Status: 201, Body: []byte(exec.key)}, nil)
	case exec.committed:
		exec.ran = true
		m.runCounts[exec.key]++
		if m.runCounts[exec.key] > 1 {
			m.t.Fatalf("key %s ran %d times", exec.key, m.runCounts[exec.key])
		}
		if exec.sentAt < m.notRunAt[exec.key] {
			m.t.Fatalf("key %s ran for a message sent at %d after \"not run\" was returned at %d", exec.key, exec.sentAt, m.notRunAt[exec.key])
		}
	case rapid.IntRange(0, 2).Draw(m.t, "refuse") == 0:
		m.refuse(exec)
	default:
		m.withContext(exec.companion, func(ctx context.Context) {
			if exec.entry.Commit(ctx) == nil {
				exec.committed = true
				return
			}
			m.removeExecution(exec)
			exec.entry.Finish(nil, usher.NewAttemptRefusal(usher.RefusalStoreUnavailable, ""))
		})
	}
}

// refuse refuses a request. The caller gets "not run" if the store confirms that the
// slot is still held.
func (m *model) refuse(exec *execution) {
	m.removeExecution(exec)
	m.withContext(exec.companion, func(ctx context.Context) {
		refusal := usher.NewRefusal(usher.RefusalOverloaded, "")
		if exec.slot.ConfirmHeld(ctx) != nil {
			refusal = refusal.ForAttempt()
		}
		exec.entry.Finish(nil, refusal)
		if refusal.Outcome != usher.OutcomeNotRun {
			return
		}
		if m.runCounts[exec.key] != 0 {
			m.t.Fatalf("key %s got \"not run\" after %d executions", exec.key, m.runCounts[exec.key])
		}
		m.clock++
		m.notRunAt[exec.key] = m.clock
	})
}

func (m *model) removeExecution(removed *execution) {
	for i, exec := range m.executions {
		if exec == removed {
			m.executions = append(m.executions[:i], m.executions[i+1:]...)
			return
		}
	}
}

// replaceCompanion starts a new incarnation. The old one is killed together with its
// requests, or it is only paused and its requests continue later.
func (m *model) replaceCompanion() {
	companion := rapid.IntRange(0, modelCompanions-1).Draw(m.t, "companion")
	if m.inCall[companion] {
		return
	}
	m.tables[companion] = m.newTable(companion)
	if rapid.Bool().Draw(m.t, "paused") {
		return
	}
	kept := m.executions[:0]
	for _, exec := range m.executions {
		if exec.companion != companion {
			kept = append(kept, exec)
		}
	}
	m.executions = kept
}

// applyDelayedWrite lets a delayed write take effect.
func (m *model) applyDelayedWrite() {
	if len(m.store.delayed) == 0 {
		return
	}
	index := rapid.IntRange(0, len(m.store.delayed)-1).Draw(m.t, "delayed")
	write := m.store.delayed[index]
	m.store.delayed = append(m.store.delayed[:index], m.store.delayed[index+1:]...)
	write()
}

// releaseSlots releases the slots of a companion that has no running requests.
func (m *model) releaseSlots() {
	companion := rapid.IntRange(0, modelCompanions-1).Draw(m.t, "companion")
	if m.inCall[companion] {
		return
	}
	for _, exec := range m.executions {
		if exec.companion == companion {
			return
		}
	}
	m.withContext(companion, func(ctx context.Context) { _ = m.tables[companion].Release(ctx) })
	m.tables[companion] = m.newTable(companion)
}

func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		// An action with a second name is chosen twice as often.
		t.Repeat(map[string]func(*rapid.T){
			"send":              func(*rapid.T) { m.send() },
			"deliver":           func(*rapid.T) { m.deliver() },
			"deliver2":          func(*rapid.T) { m.deliver() },
			"advance":           func(*rapid.T) { m.advance() },
			"advance2":          func(*rapid.T) { m.advance() },
			"replaceCompanion":  func(*rapid.T) { m.replaceCompanion() },
			"applyDelayedWrite": func(*rapid.T) { m.applyDelayedWrite() },
			"releaseSlots":      func(*rapid.T) { m.releaseSlots() },
		})
	})
}
