package streamorigin_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	_ "filbertusher/internal/standin/property"
	"filbertusher/internal/standin/store"
	"filbertusher/internal/streamorigin"
	"filbertusher/pkg/usher"
)

// endpoints returns one endpoint of service "s" for each of the versions.
func endpoints(versions ...usher.SoftwareVersion) map[usher.EndpointName]usher.Registration {
	registered := make(map[usher.EndpointName]usher.Registration)
	for i, version := range versions {
		name := usher.EndpointName(fmt.Sprint(i))
		registered[name] = usher.Registration{Name: name, Service: "s", Software: version}
	}
	return registered
}

// tell makes one instance report to another that knows nothing.
func tell(from, to *streamorigin.Table) {
	report, _ := from.Report(streamorigin.Cursor{})
	to.Merge(report)
}

// loaded returns a table that knows which versions served before.
func loaded(now func() time.Time) *streamorigin.Table {
	table := streamorigin.New(now)
	table.Merge(streamorigin.Report{Loaded: true})
	return table
}

func origin(version usher.SoftwareVersion) streamorigin.Origin {
	return streamorigin.Origin{Service: "s", Software: version}
}

func TestOriginsOfStreams(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	one, two := loaded(clock), loaded(clock)
	check := func(what string, table *streamorigin.Table, id usher.RequestID, want streamorigin.Origin, knowledge streamorigin.Knowledge) {
		t.Helper()
		got, known := table.Of(id, []usher.ServiceName{"s"})
		if diff := cmp.Diff(want, got); diff != "" || known != knowledge {
			t.Errorf("%s: knowledge %v, want %v %s", what, known, knowledge, diff)
		}
	}
	check("no endpoint", one, "a", streamorigin.Origin{}, streamorigin.Unknown)
	one.SetEndpoints(endpoints("v1", "v1"))
	two.SetEndpoints(endpoints("v1", "v1"))
	one.Began("a", origin("v1"))
	check("begun here", one, "a", origin("v1"), streamorigin.Recorded)
	check("one version serves", two, "a", origin("v1"), streamorigin.Inferred)
	check("without the name of the request", two, "", origin("v1"), streamorigin.Inferred)
	if _, known := two.Of("a", []usher.ServiceName{"s", "other"}); known != streamorigin.Unknown {
		t.Errorf("a route to two services: %v", known)
	}
	starting := streamorigin.New(clock)
	starting.SetEndpoints(endpoints("v1"))
	check("the versions before the start are not known", starting, "a", streamorigin.Origin{}, streamorigin.Unknown)

	one.SetEndpoints(endpoints("v1", "v2"))
	two.SetEndpoints(endpoints("v1", "v2"))
	check("two versions serve", two, "a", streamorigin.Origin{}, streamorigin.Unknown)
	tell(one, two)
	check("told", two, "a", origin("v1"), streamorigin.Recorded)
	third := streamorigin.New(clock)
	tell(two, third)
	check("told by one that was told", third, "a", origin("v1"), streamorigin.Recorded)

	one.SetEndpoints(endpoints("v2"))
	check("the old version has just left", one, "b", streamorigin.Origin{}, streamorigin.Unknown)
	now = now.Add(time.Minute)
	one.SetEndpoints(endpoints("v2"))
	check("the old version has left long ago", one, "b", origin("v2"), streamorigin.Inferred)
}

func TestClaimedStreamDoesNotReplaceItsOrigin(t *testing.T) {
	table := loaded(time.Now)
	table.Infer("a", origin("v1"))
	table.Began("a", origin("v2"))
	table.Infer("a", origin("v1"))
	if got, _ := table.Of("a", nil); got != origin("v2") {
		t.Errorf("got %v", got)
	}
}

func TestVersionsSurviveRestartOfAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := store.NewMemory()
		start := func() (*streamorigin.Table, context.CancelFunc) {
			table := streamorigin.New(time.Now)
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() { defer close(done); table.Sync(ctx, store.NewDirect(memory), "one", zerolog.Nop()) }()
			return table, func() { cancel(); <-done }
		}
		one, stopOne := start()
		two, stopTwo := start()
		one.SetEndpoints(endpoints("v1"))
		two.SetEndpoints(endpoints("v1"))
		time.Sleep(time.Minute)
		if _, stored := memory.Get(streamorigin.ObjectKey); stored {
			t.Error("a single version is stored")
		}
		one.SetEndpoints(endpoints("v1", "v2"))
		two.SetEndpoints(endpoints("v1", "v2"))
		time.Sleep(5 * time.Minute)
		one.SetEndpoints(endpoints("v2"))
		two.SetEndpoints(endpoints("v2"))
		time.Sleep(time.Second)
		stopOne()
		stopTwo()
		again, stop := start()
		defer stop()
		again.SetEndpoints(endpoints("v2"))
		synctest.Wait()
		if _, known := again.Of("a", []usher.ServiceName{"s"}); known != streamorigin.Unknown {
			t.Errorf("a second after the old version has left: %v", known)
		}
		time.Sleep(time.Minute)
		if _, known := again.Of("a", []usher.ServiceName{"s"}); known != streamorigin.Inferred {
			t.Errorf("a minute after the old version has left: %v", known)
		}
	})
}

func TestUnfinishedStreamsSurviveRestartOfAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := store.NewMemory()
		start := func(name string) (*streamorigin.Table, context.CancelFunc) {
			table, direct := streamorigin.New(time.Now), store.NewDirect(memory)
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{}, 2)
			go func() { table.Sync(ctx, direct, name, zerolog.Nop()); done <- struct{}{} }()
			go func() { table.Persist(ctx, direct, name, zerolog.Nop()); done <- struct{}{} }()
			return table, func() { cancel(); <-done; <-done }
		}
		known := func(table *streamorigin.Table, id usher.RequestID, want streamorigin.Origin) {
			t.Helper()
			if got, knowledge := table.Of(id, []usher.ServiceName{"s"}); got != want || knowledge == streamorigin.Unknown {
				t.Errorf("%s: got %v, %v", id, got, knowledge)
			}
		}
		one, stopOne := start("one")
		two, stopTwo := start("two")
		for _, table := range []*streamorigin.Table{one, two} {
			table.SetEndpoints(endpoints("v1"))
		}
		one.Began("before", origin("v1"))
		for _, table := range []*streamorigin.Table{one, two} {
			table.SetEndpoints(endpoints("v1", "v2"))
		}
		one.Began("a", origin("v1"))
		two.Began("b", origin("v2"))
		one.Began("whole", origin("v2"))
		one.Finished("whole")
		time.Sleep(time.Second)
		_, revision := memory.List("")
		time.Sleep(time.Second)
		if _, later := memory.List(""); later != revision {
			t.Error("what has not changed is written again")
		}
		// All instances are killed twice.
		for range 2 {
			stopOne()
			stopTwo()
			one, stopOne = start("one")
			two, stopTwo = start("two")
			for _, table := range []*streamorigin.Table{one, two} {
				table.SetEndpoints(endpoints("v1", "v2"))
			}
			time.Sleep(time.Second)
		}
		for _, table := range []*streamorigin.Table{one, two} {
			known(table, "before", origin("v1"))
			known(table, "a", origin("v1"))
			known(table, "b", origin("v2"))
			if _, knowledge := table.Of("whole", []usher.ServiceName{"s"}); knowledge != streamorigin.Unknown {
				t.Error("a stream that its caller has received is stored")
			}
		}
		stopOne()
		stopTwo()
	})
}

// Reports are lost, and instances restart. Once an instance has got the reports that were
// due since, it knows each stream that another one that still runs has begun.
func TestReportsTellAllStreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const instances = 3
		type link struct{ from, to int }
		now := time.Unix(1000, 0)
		tables := make([]*streamorigin.Table, instances)
		cursors := make(map[link]streamorigin.Cursor)
		begun := make([]map[usher.RequestID]streamorigin.Origin, instances)
		start := func(i int) {
			tables[i] = loaded(func() time.Time { return now })
			tables[i].SetEndpoints(endpoints("v1", "v2"))
			begun[i] = make(map[usher.RequestID]streamorigin.Origin)
			for j := range instances {
				delete(cursors, link{i, j})
				delete(cursors, link{j, i})
			}
		}
		for i := range tables {
			start(i)
		}
		send := func(l link, arrives bool) {
			report, next := tables[l.from].Report(cursors[l])
			if arrives {
				tables[l.to].Merge(report)
				cursors[l] = next
			}
		}
		drawInstance := func(name string) int { return rapid.IntRange(0, instances-1).Draw(t, name) }
		streams := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				start(drawInstance("restarted"))
			case 1, 2, 3:
				send(link{drawInstance("from"), drawInstance("to")}, rapid.Bool().Draw(t, "arrives"))
			default:
				i := drawInstance("instance")
				streams++
				id := usher.RequestID(fmt.Sprint("stream", streams))
				begun[i][id] = origin(rapid.SampledFrom([]usher.SoftwareVersion{"v1", "v2"}).Draw(t, "version"))
				tables[i].Began(id, begun[i][id])
			}
		}
		for from := range instances {
			for to := range instances {
				send(link{from, to}, true)
			}
		}
		for from := range instances {
			for to := range instances {
				for id, want := range begun[from] {
					if got, known := tables[to].Of(id, nil); known != streamorigin.Recorded || got != want {
						t.Fatalf("%s began at %v: got %v, %v", id, want, got, known)
					}
				}
			}
		}
	})
}

func TestHostileEndpointsAndCallersAreBounded(t *testing.T) {
	table := loaded(time.Now)
	registered := make(map[usher.EndpointName]usher.Registration)
	for i := range 10000 {
		name := usher.EndpointName(fmt.Sprint(i))
		registered[name] = usher.Registration{Name: name, Service: "s", Software: usher.SoftwareVersion(name)}
	}
	table.SetEndpoints(registered)
	for i := range 100000 {
		table.Infer(usher.RequestID(fmt.Sprint(i)), origin("v1"))
	}
	report, _ := table.Report(streamorigin.Cursor{})
	streams := 0
	for _, group := range report.Streams {
		streams += len(group.Keys)
	}
	if len(report.Versions) > 64 || streams > 1024 {
		t.Errorf("a report has %d versions and %d streams", len(report.Versions), streams)
	}
	if _, known := table.Of("0", []usher.ServiceName{"s"}); known != streamorigin.Unknown {
		t.Error("more streams are kept than the bound")
	}
	if _, known := table.Of("99999", nil); known != streamorigin.Recorded {
		t.Error("the newest stream is not kept")
	}
}
