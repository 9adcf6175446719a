package blame_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"filbertusher/internal/blame"
	"filbertusher/internal/standin/store"
	"filbertusher/pkg/usher"
	"filbertusher/platform"
)

// TestStoredCauses stores a blamed part, takes it over into a new table and clears it as
// an operator does.
func TestStoredCauses(t *testing.T) {
	server := httptest.NewServer(store.New(store.NewMemory(), store.RateLimits{ReadsPerSecond: 1000, WritesPerSecond: 1000}, 0).Handler())
	defer server.Close()
	client := platform.NewClientAt(server.Listener.Addr().String())
	start := func() *blame.Table {
		table := blame.New(time.Now, func(blame.Trait, int) {})
		go table.Sync(t.Context(), client, blame.ReadOnce, zerolog.Nop())
		return table
	}
	first := start()
	for _, endpoint := range []usher.EndpointName{"e1", "e2", "e3"} {
		first.RecordCrash(traits("p#"+string(endpoint)), blame.CrashOf(endpoint, ""))
	}
	await(t, "the cause is stored", func() bool { return len(list(t, client)) == 1 })
	second := start()
	await(t, "another table refuses the part", func() bool {
		return second.Check(func() []blame.Trait { return traits("p#4") }) == blame.Refused
	})

	key := list(t, client)[0].Key.String()
	if _, err := blame.Clear(t.Context(), client, "abc"); cmp.Diff(&blame.UnknownKeyError{Key: "abc"}, err) != "" {
		t.Errorf("clearing an unknown key: %v", err)
	}
	if cleared, err := blame.Clear(t.Context(), client, key); cleared != 1 || err != nil {
		t.Errorf("cleared %d, %v; want 1", cleared, err)
	}
	third := start()
	time.Sleep(50 * time.Millisecond)
	if got := third.Check(func() []blame.Trait { return traits("p#5") }); got != blame.Allowed {
		t.Errorf("a cleared part: %v", got)
	}
}

// TestAnswerClearsStoredCause checks that a part that turned out to be sound is not
// blamed again by a table that reads the store.
func TestAnswerClearsStoredCause(t *testing.T) {
	server := httptest.NewServer(store.New(store.NewMemory(), store.RateLimits{ReadsPerSecond: 1000, WritesPerSecond: 1000}, 0).Handler())
	defer server.Close()
	client := platform.NewClientAt(server.Listener.Addr().String())
	table := blame.New(time.Now, func(blame.Trait, int) {})
	go table.Sync(t.Context(), client, blame.ReadOnce, zerolog.Nop())
	for _, endpoint := range []usher.EndpointName{"e1", "e2", "e3"} {
		table.RecordCrash(traits("s,p#"+string(endpoint)), blame.CrashOf(endpoint, ""))
	}
	await(t, "both parts are stored", func() bool { return len(list(t, client)) == 2 })
	table.RecordAnswer(traits("s#5"))
	await(t, "the clearance is stored", func() bool {
		cleared := 0
		for _, record := range list(t, client) {
			if len(record.Crashes) == 0 {
				cleared++
			}
		}
		return cleared == 1
	})
}

func TestCausesLostByRestoredStoreAreStoredAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := store.NewMemory()
		direct := store.NewDirect(memory)
		table := blame.New(time.Now, func(blame.Trait, int) {})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go table.Sync(ctx, direct, blame.ReadOnce, zerolog.Nop())
		memory.Backup()
		for _, endpoint := range []usher.EndpointName{"e1", "e2", "e3"} {
			table.RecordCrash(traits("p#"+string(endpoint)), blame.CrashOf(endpoint, ""))
		}
		time.Sleep(time.Second)
		synctest.Wait()
		if _, stored := memory.Get(blame.ObjectKey); !stored {
			t.Fatal("the cause was not stored")
		}
		memory.Restore()
		if records, _, err := blame.List(ctx, direct); err != nil || len(records) != 0 {
			t.Fatalf("the store has lost nothing: %v, error %v", records, err)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		if _, stored := memory.Get(blame.ObjectKey); !stored {
			t.Error("the cause was not stored again within a second")
		}
	})
}

func list(t *testing.T, client *platform.Client) []blame.StoredRecord {
	t.Helper()
	records, _, err := blame.List(t.Context(), client)
	if err != nil {
		t.Fatal(err)
	}
	return records
}

func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for !holds() {
		if ctx.Err() != nil {
			t.Fatalf("timed out waiting until %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}
