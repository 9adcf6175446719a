package admission

import (
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "filbertusher/internal/standin/property"
	"filbertusher/pkg/usher"
)

// harness drives a controller with a manual clock. It polls the decisions on
// requests instead of waiting for them; undecided lists those without a reported
// decision, in order of arrival.
type harness struct {
	controller *Controller
	now        time.Time
	requests   map[usher.RequestID]*request
	undecided  []usher.RequestID
}

func newHarness(options Options) *harness {
	h := &harness{now: time.Unix(0, 0), requests: make(map[usher.RequestID]*request)}
	h.controller = New("engine", options)
	h.controller.now = func() time.Time { return h.now }
	return h
}

func (h *harness) enqueue(header *usher.RequestHeader) *usher.Refusal {
	req, refusal := h.controller.enqueue(header)
	if refusal == nil {
		h.requests[header.ID] = req
		h.undecided = append(h.undecided, header.ID)
	}
	return refusal
}

// drain returns the decisions since the last call, in order of arrival.
func (h *harness) drain() string {
	var out strings.Builder
	undecided := h.undecided[:0]
	for _, id := range h.undecided {
		req := h.requests[id]
		select {
		case <-req.decided:
			if req.refusal != nil {
				fmt.Fprintf(&out, "%s: %s\n", id, req.refusal.Kind)
				delete(h.requests, id)
				continue
			}
			fmt.Fprintf(&out, "%s: admitted\n", id)
		default:
			undecided = append(undecided, id)
		}
	}
	h.undecided = undecided
	return out.String()
}

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		var h *harness
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "controller" {
				h = newHarness(scanOptions(t, d))
				return ""
			}
			return h.run(t, d)
		})
	})
}

func scanOptions(t *testing.T, d *datadriven.TestData) Options {
	var o Options
	d.MaybeScanArgs(t, "running", &o.MaxRunning)
	d.MaybeScanArgs(t, "waiting", &o.MaxWaiting)
	o.FixedLimit = d.HasArg("fixed")
	preempt := d.HasArg("preempt")
	o.AllowPreemption = func() bool { return preempt }
	tripleShare := ""
	d.MaybeScanArgs(t, "triple-share", &tripleShare)
	o.FairShareWeight = func(name usher.WorkspaceName) int {
		if string(name) == tripleShare {
			return 3
		}
		return 1
	}
	return o
}

func (h *harness) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "enqueue":
		for line := range strings.Lines(d.Input) {
			header := scanHeader(t, line, h.now)
			if refusal := h.enqueue(header); refusal != nil {
				return fmt.Sprintf("%s: %s on arrival\n", header.ID, refusal.Kind)
			}
		}
	case "release", "firstToken":
		slot := h.requests[usher.RequestID(d.CmdArgs[0].Key)].slot
		if d.Cmd == "release" {
			slot.Release()
		} else {
			slot.ObserveFirstToken(time.Millisecond, slot.request.header.Cost.PromptTokens)
		}
	case "answered":
		var tokens int
		d.ScanArgs(t, "tokens", &tokens)
		h.requests[usher.RequestID(d.CmdArgs[0].Key)].slot.ObserveResponse(usher.Tokens(tokens))
	case "endWork":
		// endWork left=10s [entry=name]; the entry of a request is named like its workspace.
		var entry, leftText string
		d.ScanArgs(t, "left", &leftText)
		d.MaybeScanArgs(t, "entry", &entry)
		left, err := time.ParseDuration(leftText)
		if err != nil {
			t.Fatal(err)
		}
		h.controller.EndWork(usher.Incarnation(entry), left)
	case "took":
		took, err := time.ParseDuration(d.CmdArgs[1].Key)
		if err != nil {
			t.Fatal(err)
		}
		h.requests[usher.RequestID(d.CmdArgs[0].Key)].slot.ObserveDuration(took)
	case "preemptible":
		for _, arg := range d.CmdArgs {
			h.requests[usher.RequestID(arg.Key)].slot.EnablePreemption()
		}
	case "preempted":
		return h.preempted()
	case "advance":
		by, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			t.Fatal(err)
		}
		h.now = h.now.Add(by)
	case "tokens":
		// tokens interval=20ms for=1s: all running requests get a token per interval.
		h.tokens(t, d)
		return fmt.Sprintf("limit=%d\n", h.controller.Report().Limit)
	case "report":
		r := h.controller.Report()
		return fmt.Sprintf("running=%d waiting=%d lowestKept=%d\n", r.Running, r.Waiting, r.LowestKept)
	default:
		t.Fatalf("unknown command %q", d.Cmd)
	}
	return h.drain()
}

// preempted lists the running requests whose slots are requested.
func (h *harness) preempted() string {
	var names []string
	for s := range h.controller.preemption.candidates {
		if s.preemptRequested {
			names = append(names, string(s.request.header.ID)+"\n")
		}
	}
	sort.Strings(names)
	return strings.Join(names, "")
}

func (h *harness) tokens(t *testing.T, d *datadriven.TestData) {
	var intervalText, forText string
	d.ScanArgs(t, "interval", &intervalText)
	d.ScanArgs(t, "for", &forText)
	interval, _ := time.ParseDuration(intervalText)
	length, _ := time.ParseDuration(forText)
	for end := h.now.Add(length); h.now.Before(end); h.now = h.now.Add(interval) {
		for range max(1, h.controller.running) {
			h.controller.limiter.recordToken(interval)
		}
		h.controller.mu.Lock()
		h.controller.updateAndAdmit()
		h.controller.mu.Unlock()
	}
	h.drain()
}

// scanHeader reads "id rank workspace prompt answer deadline".
func scanHeader(t *testing.T, line string, now time.Time) *usher.RequestHeader {
	t.Helper()
	var id, workspace, deadline string
	var rank, prompt, answer int
	if _, err := fmt.Sscan(line, &id, &rank, &workspace, &prompt, &answer, &deadline); err != nil {
		t.Fatalf("line %q: %v", line, err)
	}
	within, err := time.ParseDuration(deadline)
	if err != nil {
		t.Fatal(err)
	}
	return newHeader(id, usher.Rank(rank), workspace, prompt, answer, now.Add(within))
}

func newHeader(id string, rank usher.Rank, workspace string, prompt, answer int, deadline time.Time) *usher.RequestHeader {
	return &usher.RequestHeader{
		ID: usher.RequestID(id), Rank: rank, Workspace: usher.WorkspaceName(workspace), Entry: usher.Incarnation(workspace), Stream: true,
		Cost: usher.RequestCost{PromptTokens: usher.Tokens(prompt), AnswerTokens: usher.Tokens(answer)}, Deadline: deadline,
	}
}

// referenceModel is a simple model of the decisions on the requests of one
// workspace. It searches a list linearly.
type referenceModel struct {
	running, limit, maxWaiting int
	waiting                    []*usher.RequestHeader
	log                        []string
}

func (m *referenceModel) first() int {
	first := 0
	for i, header := range m.waiting {
		if referenceBefore(header, m.waiting[first]) {
			first = i
		}
	}
	return first
}

// referenceBefore orders by tier and arrival only, because all requests have
// the same expected times. IDs are in order of arrival.
func referenceBefore(a, b *usher.RequestHeader) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	return a.ID < b.ID
}

func (m *referenceModel) admit() {
	for m.running < m.limit && len(m.waiting) > 0 {
		index := m.first()
		m.log = append(m.log, "admit "+string(m.waiting[index].ID))
		m.waiting = append(m.waiting[:index], m.waiting[index+1:]...)
		m.running++
	}
}

func (m *referenceModel) enqueue(header *usher.RequestHeader) {
	if len(m.waiting) >= m.maxWaiting {
		victim := -1
		for i, other := range m.waiting {
			if other.Rank > header.Rank && (victim < 0 || referenceBefore(m.waiting[victim], other)) {
				victim = i
			}
		}
		if victim < 0 {
			m.log = append(m.log, "refuse "+string(header.ID))
			return
		}
		m.log = append(m.log, "refuse "+string(m.waiting[victim].ID))
		m.waiting = append(m.waiting[:victim], m.waiting[victim+1:]...)
	}
	m.waiting = append(m.waiting, header)
	m.admit()
}

// TestMatchesReferenceModel checks that the controller and the reference model
// admit and refuse the same requests after each step.
func TestMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := Options{MaxRunning: rapid.IntRange(1, 4).Draw(t, "running"), MaxWaiting: rapid.IntRange(1, 6).Draw(t, "waiting"), FixedLimit: true}
		h := newHarness(options)
		model := &referenceModel{limit: options.MaxRunning, maxWaiting: options.MaxWaiting}
		var log []string
		var running []usher.RequestID
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for i := range steps {
			h.now = h.now.Add(time.Microsecond)
			if len(running) > 0 && rapid.Bool().Draw(t, "release") {
				h.requests[running[0]].slot.Release()
				running = running[1:]
				model.running--
				model.admit()
			} else {
				header := newHeader(fmt.Sprintf("r%03d", i), usher.Rank(rapid.IntRange(0, 2).Draw(t, "rank")), "w", 10, 10, h.now.Add(time.Hour))
				if h.enqueue(header) != nil {
					log = append(log, "refuse "+string(header.ID))
				}
				model.enqueue(header)
			}
			for line := range strings.Lines(h.drain()) {
				id, decision, _ := strings.Cut(strings.TrimSpace(line), ": ")
				if decision == "admitted" {
					running = append(running, usher.RequestID(id))
					log = append(log, "admit "+id)
				} else {
					log = append(log, "refuse "+id)
				}
			}
			if diff := cmp.Diff(sorted(model.log), sorted(log)); diff != "" {
				t.Fatalf("step %d: decisions differ from the reference model (-want +got):\n%s", i, diff)
			}
		}
	})
}

// sorted returns a sorted copy. One step can make several decisions, whose
// order is not compared.
func sorted(log []string) []string {
	out := append([]string(nil), log...)
	sort.Strings(out)
	return out
}

// TestOverloadRefusesLeastUrgent checks that, when a request is refused because
// the queue is full, no less urgent request is waiting. The requests differ in
// size, tier and workspace.
func TestOverloadRefusesLeastUrgent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(Options{MaxRunning: 8, MaxWaiting: rapid.IntRange(1, 8).Draw(t, "waiting"), MaxWaitingTokens: 20000})
		steps := rapid.IntRange(1, 80).Draw(t, "steps")
		ranks := make(map[usher.RequestID]usher.Rank)
		for i := range steps {
			h.now = h.now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "pause")) * time.Millisecond)
			header := newHeader(fmt.Sprintf("r%03d", i), usher.Rank(rapid.IntRange(0, 3).Draw(t, "rank")),
				rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"),
				rapid.SampledFrom([]int{10, 100, 5000}).Draw(t, "prompt"), rapid.IntRange(1, 300).Draw(t, "answer"),
				h.now.Add(time.Hour))
			ranks[header.ID] = header.Rank
			refusal := h.enqueue(header)
			lowest := h.controller.Report().LowestKept
			if refusal != nil && refusal.Kind == usher.RefusalOverloaded && lowest > header.Rank {
				t.Fatalf("%s of rank %d was refused while a request of rank %d waits", header.ID, header.Rank, lowest)
			}
			for line := range strings.Lines(h.drain()) {
				id, decision, _ := strings.Cut(strings.TrimSpace(line), ": ")
				if decision == string(usher.RefusalOverloaded) && lowest > ranks[usher.RequestID(id)] {
					t.Fatalf("%s was evicted while a request of rank %d waits", id, lowest)
				}
			}
			if h.controller.queue.count > h.controller.options.MaxWaiting || h.controller.queue.tokens > h.controller.options.MaxWaitingTokens {
				t.Fatal("the queue exceeds its bounds")
			}
		}
	})
}

// TestWorkspaceShares checks that workspaces that always have waiting requests
// are given work in proportion to their shares. Between any two of them the
// difference is at most three times the work of the largest request.
func TestWorkspaceShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shares := map[usher.WorkspaceName]int{"a": 1, "b": 2, "c": 5}
		h := newHarness(Options{MaxRunning: 1, MaxWaiting: 100, FixedLimit: true, FairShareWeight: func(n usher.WorkspaceName) int { return shares[n] }})
		given := make(map[usher.WorkspaceName]time.Duration)
		largest := time.Duration(0)
		next := 0
		add := func(name usher.WorkspaceName) {
			next++
			header := newHeader(fmt.Sprintf("r%04d", next), 1, string(name), rapid.IntRange(1, 1000).Draw(t, "prompt"), rapid.IntRange(1, 300).Draw(t, "answer"), h.now.Add(time.Hour))
			if h.enqueue(header) != nil {
				t.Fatal("a request was refused although the queue has room")
			}
		}
		for range 3 {
			for name := range shares {
				add(name)
			}
		}
		for range 100 {
			for line := range strings.Lines(h.drain()) {
				id, _, _ := strings.Cut(line, ":")
				admitted := h.requests[usher.RequestID(id)]
				name := admitted.header.Workspace
				given[name] += admitted.work
				largest = max(largest, admitted.work)
				add(name)
				h.requests[usher.RequestID(id)].slot.Release()
			}
		}
		for name, work := range given {
			for other, otherWork := range given {
				difference := work/time.Duration(shares[name]) - otherWork/time.Duration(shares[other])
				if difference > 3*largest {
					t.Fatalf("%s got %v, %s got %v, shares %v", name, work, other, otherWork, shares)
				}
			}
		}
	})
}
