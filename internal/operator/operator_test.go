package operator_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"regexp"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/google/go-cmp/cmp"

	"filbertusher/internal/config"
	"filbertusher/internal/declare"
	"filbertusher/internal/operator"
	"filbertusher/internal/standin/store"
	"filbertusher/pkg/usher"
	"filbertusher/platform"
)

// bench is a store with its faults.
type bench struct {
	client *platform.Client
	url    string
}

func newBench(t *testing.T) *bench {
	server := httptest.NewServer(store.New(store.NewMemory(), store.Budget{ReadsPerSecond: 1e9, WritesPerSecond: 1e9}, 0).Handler())
	t.Cleanup(server.Close)
	return &bench{client: platform.NewClientAt(server.Listener.Addr().String()), url: server.URL}
}

func (b *bench) faults(t *testing.T, faults store.Faults) {
	t.Helper()
	encoded, _ := json.Marshal(faults)
	request, _ := http.NewRequest(http.MethodPut, b.url+"/control/faults", bytes.NewReader(encoded))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
}

var masked = regexp.MustCompile(`\b[0-9a-f]{16}\b|\d{4}-\d\d-\d\dT[0-9:]+Z`)

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		b := newBench(t)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return masked.ReplaceAllString(b.run(t, d), "*")
		})
	})
}

// run runs one directive; the arguments author and expect apply to all.
func (b *bench) run(t *testing.T, d *datadriven.TestData) string {
	author, expect := "ann", uint64(0)
	d.MaybeScanArgs(t, "author", &author)
	d.MaybeScanArgs(t, "expect", &expect)
	o := operator.New(b.client, author)
	switch d.Cmd {
	case "apply":
		set, err := declare.Parse("input", []byte(d.Input))
		if err != nil {
			return err.Error() + "\n"
		}
		return outcome(o.Apply(t.Context(), operator.Change{Put: set.Objects, Expect: usher.Version(expect)}))
	case "preset":
		return outcome(o.UsePreset(t.Context(), usher.PresetName(d.CmdArgs[0].Key), ""))
	case "rollback":
		var version uint64
		d.ScanArgs(t, "to", &version)
		return outcome(o.Rollback(t.Context(), usher.Version(version), ""))
	case "faults":
		var faults store.Faults
		if err := json.Unmarshal([]byte(d.Input), &faults); err != nil {
			t.Fatal(err)
		}
		b.faults(t, faults)
		return ""
	case "get":
		return b.objects(t)
	default:
		t.Fatalf("unknown directive %s", d.Cmd)
		return ""
	}
}

func outcome(head *config.Head, err error) string {
	if err != nil {
		return fmt.Sprintf("%T\n%s\n", err, err)
	}
	return operator.DescribeHead(head) + "\n"
}

func (b *bench) objects(t *testing.T) string {
	current, err := operator.New(b.client, "").Current(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	for _, object := range current.Objects() {
		lines = append(lines, strings.TrimPrefix(string(object.Key), string(config.Prefix))+" "+string(object.Value))
	}
	sort.Strings(lines)
	return strings.Join(lines, "\n") + "\n"
}

func tier(name string, rank int) usher.Object {
	value, _ := json.Marshal(usher.Tier{Name: usher.TierName(name), Rank: usher.Rank(rank), Deadline: usher.Duration(time.Second)})
	return usher.Object{Key: config.Key(config.KindTier, name), Value: value}
}

// Of operators that change the same object at the same moment, one wins and
// all others get a conflict that names the winner.
func TestSameObjectOneWins(t *testing.T) {
	b := newBench(t)
	base, err := operator.New(b.client, "base").Apply(t.Context(), operator.Change{Put: []usher.Object{tier("x", 0)}})
	if err != nil {
		t.Fatal(err)
	}
	const racers = 8
	errs := make([]error, racers)
	var wait sync.WaitGroup
	for i := range racers {
		wait.Go(func() {
			_, errs[i] = operator.New(b.client, fmt.Sprint("racer", i)).Apply(t.Context(),
				operator.Change{Put: []usher.Object{tier("x", i+1)}, Expect: base.Version})
		})
	}
	wait.Wait()
	current, err := operator.New(b.client, "").Current(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	won := 0
	for i, err := range errs {
		if err == nil {
			won++
			if current.Head.Author != fmt.Sprint("racer", i) {
				t.Error("the accepted change is not in force:", current.Head)
			}
			continue
		}
		conflict, ok := err.(*operator.ConflictError)
		if !ok || conflict.Theirs.ID != current.Head.ID {
			t.Errorf("racer %d: %T %v", i, err, err)
		}
	}
	if won != 1 || current.Version != base.Version+1 {
		t.Errorf("%d racers won; version %d", won, current.Version)
	}
}

// Changes of different objects are all accepted, also when every few writes
// lose their answer, and each exactly once.
func TestDifferentObjectsAllAccepted(t *testing.T) {
	b := newBench(t)
	const operators, changes = 4, 6
	var wait sync.WaitGroup
	for i := range operators {
		wait.Go(func() {
			o := operator.New(b.client, fmt.Sprint("operator", i))
			for n := range changes {
				if n%2 == 1 {
					b.faults(t, store.Faults{LoseAnswers: 3})
				}
				if _, err := o.Apply(t.Context(), operator.Change{Put: []usher.Object{tier(fmt.Sprintf("t%d-%d", i, n), n)}}); err != nil {
					t.Error(err)
				}
			}
		})
	}
	wait.Wait()
	b.faults(t, store.Faults{})
	current, err := operator.New(b.client, "").Current(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	got := [2]int{len(current.Tiers), int(current.Version)}
	if diff := cmp.Diff([2]int{operators * changes, operators * changes}, got); diff != "" {
		t.Error("tiers and versions:", diff)
	}
}
