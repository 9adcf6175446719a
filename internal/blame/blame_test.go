package blame_test

import (
	"flag"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"filbertusher/internal/blame"
	_ "filbertusher/internal/standin/property"
	"filbertusher/pkg/usher"
)

// script runs the commands of a test script on several instances. Times are seconds.
// A request is written as its parts, such as "s,m,p"; the whole request is the trait of
// the same text. "desk/s,p" is a request to another service than most.
type script struct {
	now       time.Time
	instances map[string]*blame.Table
	blamed    []string
}

func newScript() *script {
	return &script{now: time.Unix(1000, 0), instances: make(map[string]*blame.Table)}
}

func (s *script) instance(name string) *blame.Table {
	if s.instances[name] == nil {
		s.instances[name] = blame.New(func() time.Time { return s.now }, func(trait blame.Trait, crashes int) {
			s.blamed = append(s.blamed, fmt.Sprintf("%s blames %s after %d crashes", name, trait.Label, crashes))
		})
	}
	return s.instances[name]
}

// traits returns all traits of a request. A "#" and a number make whole requests with
// the same parts differ.
func traits(request string) []blame.Trait {
	service, content, found := strings.Cut(request, "/")
	if !found {
		service, content = "model", request
	}
	shared, _, _ := strings.Cut(content, "#")
	var prompt []usher.PromptPart
	for _, id := range strings.Split(shared, ",") {
		prompt = append(prompt, usher.PromptPart{ID: id, Tokens: 100})
	}
	name := usher.ServiceName(service)
	whole := blame.WholeRequest("w", name, usher.Digest(content))
	return append([]blame.Trait{whole}, blame.SharedParts(name, append(prompt, usher.PromptPart{ID: "own", Tokens: 100}))...)
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	s.blamed = nil
	var out []string
	for _, line := range strings.Split(d.Input, "\n") {
		fields := strings.Fields(line)
		switch fields[0] {
		case "crash": // crash INSTANCE ENDPOINT REQUEST...
			crash := blame.CrashOf(usher.EndpointName(fields[2]), "")
			for _, request := range fields[3:] {
				s.instance(fields[1]).RecordCrash(traits(request), crash)
			}
		case "answer": // answer INSTANCE REQUEST...
			for _, request := range fields[2:] {
				s.instance(fields[1]).RecordAnswer(traits(request))
			}
		case "report": // report FROM TO
			s.instance(fields[2]).Merge(s.instance(fields[1]).Report())
		case "wait": // wait SECONDS
			seconds, err := strconv.ParseFloat(fields[1], 64)
			if err != nil {
				t.Fatal(err)
			}
			s.now = s.now.Add(time.Duration(seconds * float64(time.Second)))
		case "check": // check INSTANCE REQUEST...
			for _, request := range fields[2:] {
				verdict := s.instance(fields[1]).Check(func() []blame.Trait { return traits(request) })
				out = append(out, request+" "+[]string{"allowed", "refused", "probe"}[verdict])
			}
		default:
			t.Fatalf("unknown command %q", line)
		}
	}
	sort.Strings(s.blamed)
	return strings.Join(append(s.blamed, out...), "\n") + "\n"
}

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := newScript()
		datadriven.RunTest(t, path, s.run)
	})
}

// TestTablesConverge records crashes and answers at several instances and merges their
// reports in random order. Once each has merged all others, all report the same. Of a
// record with more crashes than a table keeps, all keep that many.
func TestTablesConverge(t *testing.T) { rapid.Check(t, checkTablesConverge) }

// TestTablesConvergeWithNineCrashes is a case of the same with more crashes of a record
// than reports listed once.
func TestTablesConvergeWithNineCrashes(t *testing.T) {
	seed := flag.Lookup("rapid.seed").Value.String()
	if err := flag.Set("rapid.seed", "4003255671353181662"); err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := flag.Set("rapid.seed", seed); err != nil {
			t.Fatal(err)
		}
	}()
	rapid.Check(t, checkTablesConverge)
}

func checkTablesConverge(t *rapid.T) {
	now := time.Unix(1000, 0)
	tables := make([]*blame.Table, 3)
	for i := range tables {
		tables[i] = blame.New(func() time.Time { return now }, func(blame.Trait, int) {})
	}
	drawTable := func(t *rapid.T) *blame.Table { return tables[rapid.IntRange(0, len(tables)-1).Draw(t, "table")] }
	drawRequest := func(t *rapid.T) string { return rapid.SampledFrom([]string{"a", "a,b", "b#2", "c"}).Draw(t, "request") }
	t.Repeat(map[string]func(*rapid.T){
		"crash": func(t *rapid.T) {
			endpoint := usher.EndpointName(rapid.StringN(1, 1, 1).Draw(t, "endpoint"))
			drawTable(t).RecordCrash(traits(drawRequest(t)), blame.CrashOf(endpoint, ""))
		},
		"answer": func(t *rapid.T) {
			drawTable(t).RecordAnswer(traits(drawRequest(t)))
		},
		"merge": func(t *rapid.T) { drawTable(t).Merge(drawTable(t).Report()) },
	})
	for range tables {
		for _, from := range tables {
			for _, to := range tables {
				to.Merge(from.Report())
			}
		}
	}
	reports := make([][]blame.Record, len(tables))
	crashes := make(map[blame.Key]map[blame.CrashKey]bool)
	for i, table := range tables {
		reports[i] = table.Report()
		for _, record := range reports[i] {
			if crashes[record.Key] == nil {
				crashes[record.Key] = make(map[blame.CrashKey]bool)
			}
			for _, crash := range record.Crashes {
				crashes[record.Key][crash] = true
			}
		}
	}
	for _, report := range reports {
		for i := range report {
			if len(crashes[report[i].Key]) <= maxCrashes {
				continue
			}
			if len(report[i].Crashes) != maxCrashes {
				t.Fatalf("%d of more than %d crashes of %s are kept", len(report[i].Crashes), maxCrashes, report[i].Label)
			}
			report[i].Crashes = nil
		}
	}
	for _, other := range reports[1:] {
		if diff := cmp.Diff(reports[0], other,
			cmpopts.IgnoreFields(blame.Record{}, "Age"),
			cmpopts.SortSlices(func(a, b blame.Record) bool { return a.Key < b.Key }),
			cmpopts.SortSlices(func(a, b blame.CrashKey) bool { return a < b })); diff != "" {
			t.Fatal(diff)
		}
	}
}

// maxCrashes is the number of crashes that a table keeps of a record.
const maxCrashes = 32

// TestHostileRequestsAreBounded floods a table with requests of many long parts, and
// checks that neither records nor reports grow beyond their bounds and that a cause that
// keeps crashing endpoints is found nevertheless.
func TestHostileRequestsAreBounded(t *testing.T) {
	table := blame.New(time.Now, func(blame.Trait, int) {})
	for crash := range 100 {
		key := blame.CrashOf(usher.EndpointName(fmt.Sprint("e", crash)), "")
		for request := range 15 {
			prompt := []usher.PromptPart{{ID: "poison"}}
			for part := range 100 {
				prompt = append(prompt, usher.PromptPart{ID: fmt.Sprint(crash, "-", request, "-", part, strings.Repeat("x", 500))})
			}
			table.RecordCrash(blame.SharedParts("model", prompt), key)
		}
	}
	bytes := 0
	for _, record := range table.Report() {
		bytes += len(record.Label) + 8*len(record.Crashes)
	}
	if n := len(table.Report()); n > 32 || bytes > 32*(32+8*8) {
		t.Errorf("a report has %d records and %d bytes of them", n, bytes)
	}
	if states := fmt.Sprint(table.State()); len(states) > 1024*200 {
		t.Errorf("the records take %d bytes as text", len(states))
	}
	if table.Check(func() []blame.Trait { return traits("poison") }) != blame.Refused {
		t.Error("the cause was not found among many other parts")
	}
}
