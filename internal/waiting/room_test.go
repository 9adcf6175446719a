package waiting

import (
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"filbertusher/pkg/usher"
)

// bench drives a room by hand: a clock that only the test moves, and tickets
// whose decisions are read instead of awaited.
type bench struct {
	room    *Room
	now     time.Time
	tickets map[usher.RequestID]*ticket
	order   []usher.RequestID
}

func newBench(options Options) *bench {
	b := &bench{now: time.Unix(0, 0), tickets: make(map[usher.RequestID]*ticket)}
	b.room = New("engine", options)
	b.room.now = func() time.Time { return b.now }
	return b
}

func (b *bench) enter(header *usher.RequestHeader) *usher.Refusal {
	t, refusal := b.room.enter(header)
	if refusal == nil {
		b.tickets[header.ID] = t
		b.order = append(b.order, header.ID)
	}
	return refusal
}

// drain returns what was decided since the last call, in the order of entry.
func (b *bench) drain() string {
	var out strings.Builder
	kept := b.order[:0]
	for _, id := range b.order {
		t := b.tickets[id]
		select {
		case <-t.decided:
			if t.refusal != nil {
				fmt.Fprintf(&out, "%s: %s\n", id, t.refusal.Kind)
				delete(b.tickets, id)
				continue
			}
			fmt.Fprintf(&out, "%s: admitted\n", id)
		default:
			kept = append(kept, id)
		}
	}
	b.order = kept
	return out.String()
}

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		var b *bench
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "room" {
				b = newBench(scanOptions(t, d))
				return ""
			}
			return b.run(t, d)
		})
	})
}

func scanOptions(t *testing.T, d *datadriven.TestData) Options {
	var o Options
	d.MaybeScanArgs(t, "running", &o.Running)
	d.MaybeScanArgs(t, "waiting", &o.Waiting)
	o.Fixed = d.HasArg("fixed")
	preempt := d.HasArg("preempt")
	o.Preempt = func() bool { return preempt }
	heavy := ""
	d.MaybeScanArgs(t, "heavy", &heavy)
	o.Share = func(name usher.WorkspaceName) int {
		if string(name) == heavy {
			return 3
		}
		return 1
	}
	return o
}

func (b *bench) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "enter":
		for line := range strings.Lines(d.Input) {
			header := scanHeader(t, line, b.now)
			if refusal := b.enter(header); refusal != nil {
				return fmt.Sprintf("%s: %s at the door\n", header.ID, refusal.Kind)
			}
		}
	case "release", "firstToken":
		slot := b.tickets[usher.RequestID(d.CmdArgs[0].Key)].slot
		if d.Cmd == "release" {
			slot.Release()
		} else {
			slot.FirstToken(time.Millisecond, slot.ticket.header.Cost.PromptTokens)
		}
	case "answered":
		var tokens int
		d.ScanArgs(t, "tokens", &tokens)
		b.tickets[usher.RequestID(d.CmdArgs[0].Key)].slot.Answered(usher.Tokens(tokens))
	case "pausable":
		for _, arg := range d.CmdArgs {
			b.tickets[usher.RequestID(arg.Key)].slot.Preempted()
		}
	case "asked":
		return b.asked()
	case "advance":
		by, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			t.Fatal(err)
		}
		b.now = b.now.Add(by)
	case "tokens":
		// tokens gap=20ms for=1s: all that runs gets tokens at this pace.
		b.tokens(t, d)
		return fmt.Sprintf("limit=%d\n", b.room.Report().Limit)
	case "report":
		r := b.room.Report()
		return fmt.Sprintf("running=%d waiting=%d lowestKept=%d\n", r.Running, r.Waiting, r.LowestKept)
	default:
		t.Fatalf("directive %q is unknown", d.Cmd)
	}
	return b.drain()
}

// asked lists the running requests whose places are asked for.
func (b *bench) asked() string {
	var names []string
	for s := range b.room.preempt.candidates {
		if s.asked {
			names = append(names, string(s.ticket.header.ID)+"\n")
		}
	}
	sort.Strings(names)
	return strings.Join(names, "")
}

func (b *bench) tokens(t *testing.T, d *datadriven.TestData) {
	var gapText, forText string
	d.ScanArgs(t, "gap", &gapText)
	d.ScanArgs(t, "for", &forText)
	gap, _ := time.ParseDuration(gapText)
	length, _ := time.ParseDuration(forText)
	for end := b.now.Add(length); b.now.Before(end); b.now = b.now.Add(gap) {
		for range max(1, b.room.running) {
			b.room.pace.token(gap)
		}
		b.room.mu.Lock()
		b.room.proceed()
		b.room.mu.Unlock()
	}
	b.drain()
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
	return header(id, usher.Rank(rank), workspace, prompt, answer, now.Add(within))
}

func header(id string, rank usher.Rank, workspace string, prompt, answer int, deadline time.Time) *usher.RequestHeader {
	return &usher.RequestHeader{
		ID: usher.RequestID(id), Rank: rank, Workspace: usher.WorkspaceName(workspace), Stream: true,
		Cost: usher.RequestCost{PromptTokens: usher.Tokens(prompt), AnswerTokens: usher.Tokens(answer)}, Deadline: deadline,
	}
}

// plainRoom is the plain version of the decisions on requests of one
// workspace: a list that is searched from end to end.
type plainRoom struct {
	running, limit, waiting int
	list                    []*usher.RequestHeader
	log                     []string
}

func (p *plainRoom) best() int {
	best := 0
	for i, h := range p.list {
		if plainBefore(h, p.list[best]) {
			best = i
		}
	}
	return best
}

// plainBefore has every request with the same times, so only tier and order of
// arrival count; ids are in order of arrival.
func plainBefore(a, b *usher.RequestHeader) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	return a.ID < b.ID
}

func (p *plainRoom) admit() {
	for p.running < p.limit && len(p.list) > 0 {
		at := p.best()
		p.log = append(p.log, "admit "+string(p.list[at].ID))
		p.list = append(p.list[:at], p.list[at+1:]...)
		p.running++
	}
}

func (p *plainRoom) enter(h *usher.RequestHeader) {
	if len(p.list) >= p.waiting {
		worst := -1
		for i, other := range p.list {
			if other.Rank > h.Rank && (worst < 0 || plainBefore(p.list[worst], other)) {
				worst = i
			}
		}
		if worst < 0 {
			p.log = append(p.log, "refuse "+string(h.ID))
			return
		}
		p.log = append(p.log, "refuse "+string(p.list[worst].ID))
		p.list = append(p.list[:worst], p.list[worst+1:]...)
	}
	p.list = append(p.list, h)
	p.admit()
}

// TestSameAsPlainRoom compares the room with the plain one: the same requests
// are admitted and refused in the same order.
func TestSameAsPlainRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := Options{Running: rapid.IntRange(1, 4).Draw(t, "running"), Waiting: rapid.IntRange(1, 6).Draw(t, "waiting"), Fixed: true}
		b := newBench(options)
		plain := &plainRoom{limit: options.Running, waiting: options.Waiting}
		var log []string
		var running []usher.RequestID
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for i := range steps {
			b.now = b.now.Add(time.Microsecond)
			if len(running) > 0 && rapid.Bool().Draw(t, "release") {
				b.tickets[running[0]].slot.Release()
				running = running[1:]
				plain.running--
				plain.admit()
			} else {
				h := header(fmt.Sprintf("r%03d", i), usher.Rank(rapid.IntRange(0, 2).Draw(t, "rank")), "w", 10, 10, b.now.Add(time.Hour))
				if b.enter(h) != nil {
					log = append(log, "refuse "+string(h.ID))
				}
				plain.enter(h)
			}
			for line := range strings.Lines(b.drain()) {
				id, what, _ := strings.Cut(strings.TrimSpace(line), ": ")
				if what == "admitted" {
					running = append(running, usher.RequestID(id))
					log = append(log, "admit "+id)
				} else {
					log = append(log, "refuse "+id)
				}
			}
			if diff := cmp.Diff(sorted(plain.log), sorted(log)); diff != "" {
				t.Fatalf("step %d: %s", i, diff)
			}
		}
	})
}

// sorted makes decisions of one step comparable; a step decides a few at once.
func sorted(log []string) []string {
	out := append([]string(nil), log...)
	sort.Strings(out)
	return out
}

// TestNothingLessUrgentIsKept holds for unlike requests of several workspaces:
// when one is refused for want of room, nothing less urgent waits.
func TestNothingLessUrgentIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench(Options{Running: 8, Waiting: rapid.IntRange(1, 8).Draw(t, "waiting"), WaitingTokens: 20000})
		steps := rapid.IntRange(1, 80).Draw(t, "steps")
		ranks := make(map[usher.RequestID]usher.Rank)
		for i := range steps {
			b.now = b.now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "pause")) * time.Millisecond)
			h := header(fmt.Sprintf("r%03d", i), usher.Rank(rapid.IntRange(0, 3).Draw(t, "rank")),
				rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"),
				rapid.SampledFrom([]int{10, 100, 5000}).Draw(t, "prompt"), rapid.IntRange(1, 300).Draw(t, "answer"),
				b.now.Add(time.Hour))
			ranks[h.ID] = h.Rank
			refusal := b.enter(h)
			lowest := b.room.Report().LowestKept
			if refusal != nil && refusal.Kind == usher.RefusalOverloaded && lowest > h.Rank {
				t.Fatalf("%s of rank %d was refused while rank %d waits", h.ID, h.Rank, lowest)
			}
			for line := range strings.Lines(b.drain()) {
				id, what, _ := strings.Cut(strings.TrimSpace(line), ": ")
				if what == string(usher.RefusalOverloaded) && lowest > ranks[usher.RequestID(id)] {
					t.Fatalf("%s was evicted while rank %d waits", id, lowest)
				}
			}
			if b.room.line.count > b.room.options.Waiting || b.room.line.tokens > b.room.options.WaitingTokens {
				t.Fatal("the room is over its bounds")
			}
		}
	})
}

// TestSharesOfWorkspaces lets three workspaces with unlike requests always have
// work waiting. What each is given follows its share within one request.
func TestSharesOfWorkspaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shares := map[usher.WorkspaceName]int{"a": 1, "b": 2, "c": 5}
		b := newBench(Options{Running: 1, Waiting: 100, Fixed: true, Share: func(n usher.WorkspaceName) int { return shares[n] }})
		given := make(map[usher.WorkspaceName]time.Duration)
		most := time.Duration(0)
		next := 0
		add := func(name usher.WorkspaceName) {
			next++
			h := header(fmt.Sprintf("r%04d", next), 1, string(name), rapid.IntRange(1, 1000).Draw(t, "prompt"), rapid.IntRange(1, 300).Draw(t, "answer"), b.now.Add(time.Hour))
			if b.enter(h) != nil {
				t.Fatal("refused")
			}
		}
		for range 3 {
			for name := range shares {
				add(name)
			}
		}
		for range 100 {
			for line := range strings.Lines(b.drain()) {
				id, _, _ := strings.Cut(line, ":")
				admitted := b.tickets[usher.RequestID(id)]
				name := admitted.header.Workspace
				given[name] += admitted.work
				most = max(most, admitted.work)
				add(name)
				b.tickets[usher.RequestID(id)].slot.Release()
			}
		}
		for name, one := range given {
			for other, two := range given {
				apart := one/time.Duration(shares[name]) - two/time.Duration(shares[other])
				if apart > 3*most {
					t.Fatalf("%s got %v, %s got %v, shares %v", name, one, other, two, shares)
				}
			}
		}
	})
}
