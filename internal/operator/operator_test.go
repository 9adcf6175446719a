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

// testStore is an in-memory store behind HTTP that can inject faults.
type testStore struct {
	client *platform.Client
	url    string
}

func newTestStore(t *testing.T) *testStore {
	server := httptest.NewServer(store.New(store.NewMemory(), store.RateLimits{ReadsPerSecond: 1e9, WritesPerSecond: 1e9}, 0).Handler())
	t.Cleanup(server.Close)
	return &testStore{client: platform.NewClientAt(server.Listener.Addr().String()), url: server.URL}
}

func (s *testStore) setFaults(t *testing.T, faults store.Faults) {
	t.Helper()
	encoded, _ := json.Marshal(faults)
	request, _ := http.NewRequest(http.MethodPut, s.url+"/control/faults", bytes.NewReader(encoded))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
}

var variableText = regexp.MustCompile(`\b[0-9a-f]{16}\b|\d{4}-\d\d-\d\dT[0-9:]+Z`)

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := newTestStore(t)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return variableText.ReplaceAllString(s.runDirective(t, d), "*")
		})
	})
}

// runDirective runs one directive of a script. All directives take the arguments
// author and expect.
func (s *testStore) runDirective(t *testing.T, d *datadriven.TestData) string {
	author, expect := "ann", uint64(0)
	d.MaybeScanArgs(t, "author", &author)
	d.MaybeScanArgs(t, "expect", &expect)
	o := operator.New(s.client, author)
	switch d.Cmd {
	case "apply":
		declared, err := declare.Parse("input", []byte(d.Input))
		if err != nil {
			return err.Error() + "\n"
		}
		return formatResult(o.Apply(t.Context(), operator.Change{Put: declared.Objects, BaseVersion: usher.Version(expect)}))
	case "preset":
		return formatResult(o.ActivatePreset(t.Context(), usher.PresetName(d.CmdArgs[0].Key), ""))
	case "rollback":
		var version uint64
		d.ScanArgs(t, "to", &version)
		return formatResult(o.Rollback(t.Context(), usher.Version(version), ""))
	case "faults":
		var faults store.Faults
		if err := json.Unmarshal([]byte(d.Input), &faults); err != nil {
			t.Fatal(err)
		}
		s.setFaults(t, faults)
		return ""
	case "get":
		return s.formatObjects(t)
	default:
		t.Fatalf("unknown directive %s", d.Cmd)
		return ""
	}
}

func formatResult(head *config.Head, err error) string {
	if err != nil {
		return fmt.Sprintf("%T\n%s\n", err, err)
	}
	return operator.FormatHead(head) + "\n"
}

func (s *testStore) formatObjects(t *testing.T) string {
	current, err := operator.New(s.client, "").Current(t.Context())
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

// When several operators change the same object concurrently, exactly one change
// is accepted and all others fail with a conflict that names the accepted one.
func TestConcurrentChangesOfSameObject(t *testing.T) {
	s := newTestStore(t)
	base, err := operator.New(s.client, "base").Apply(t.Context(), operator.Change{Put: []usher.Object{tier("x", 0)}})
	if err != nil {
		t.Fatal(err)
	}
	const writers = 8
	errs := make([]error, writers)
	var wait sync.WaitGroup
	for i := range writers {
		wait.Go(func() {
			_, errs[i] = operator.New(s.client, fmt.Sprint("writer", i)).Apply(t.Context(),
				operator.Change{Put: []usher.Object{tier("x", i+1)}, BaseVersion: base.Version})
		})
	}
	wait.Wait()
	current, err := operator.New(s.client, "").Current(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	accepted := 0
	for i, err := range errs {
		if err == nil {
			accepted++
			if current.Head.Author != fmt.Sprint("writer", i) {
				t.Error("the current version is not the accepted change:", current.Head)
			}
			continue
		}
		conflict, ok := err.(*operator.ConflictError)
		if !ok || conflict.Theirs.ID != current.Head.ID {
			t.Errorf("writer %d: %T %v", i, err, err)
		}
	}
	if accepted != 1 || current.Version != base.Version+1 {
		t.Errorf("%d changes were accepted; version %d", accepted, current.Version)
	}
}

// Concurrent changes of different objects are each accepted exactly once, even if
// the responses to some of the writes are lost.
func TestConcurrentChangesOfDifferentObjects(t *testing.T) {
	s := newTestStore(t)
	const operators, changes = 4, 6
	var wait sync.WaitGroup
	for i := range operators {
		wait.Go(func() {
			o := operator.New(s.client, fmt.Sprint("operator", i))
			for n := range changes {
				if n%2 == 1 {
					s.setFaults(t, store.Faults{LostResponses: 3})
				}
				if _, err := o.Apply(t.Context(), operator.Change{Put: []usher.Object{tier(fmt.Sprintf("t%d-%d", i, n), n)}}); err != nil {
					t.Error(err)
				}
			}
		})
	}
	wait.Wait()
	s.setFaults(t, store.Faults{})
	current, err := operator.New(s.client, "").Current(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	got := [2]int{len(current.Tiers), int(current.Version)}
	if diff := cmp.Diff([2]int{operators * changes, operators * changes}, got); diff != "" {
		t.Error("number of tiers and current version:", diff)
	}
}
