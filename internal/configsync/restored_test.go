package configsync

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"filbertusher/internal/config"
	"filbertusher/internal/operator"
	"filbertusher/internal/standin/store"
	"filbertusher/pkg/usher"
)

// The store's revisions pass the one that the watch continues from before the watch
// notices that the store went back.
func TestAcceptedVersionIsWrittenBackAfterStoreRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := store.NewMemory()
		apply := func(name usher.TierName) {
			t.Helper()
			value, err := json.Marshal(usher.Tier{Name: name})
			if err != nil {
				t.Fatal(err)
			}
			change := operator.Change{Put: []usher.Object{{Key: config.Key(config.KindTier, string(name)), Value: value}}}
			if _, err := operator.New(store.NewDirect(memory), "test").Apply(t.Context(), change); err != nil {
				t.Fatal(err)
			}
		}
		apply("first")
		holder := config.NewHolder()
		syncer := New(LocalProcess{Incarnation: "one"}, store.NewDirect(memory), holder, zerolog.Nop())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			for ctx.Err() == nil {
				syncer.watchStore(ctx)
			}
		}()
		defer func() { cancel(); <-done }()
		await := func(what string, holds func() bool) {
			t.Helper()
			for end := time.Now().Add(60 * time.Second); !holds(); time.Sleep(10 * time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("timed out waiting until %s", what)
				}
			}
		}
		await("the first version is in force", func() bool { return holder.Current().Version == 1 })
		memory.Backup()
		apply("second")
		await("the second version is in force", func() bool { return holder.Current().Version == 2 })
		memory.Restore()
		for range 50 {
			current, _ := memory.Get("other/o")
			memory.Write("other/o", current.Version, []byte(`""`), false)
		}
		await("the second version is in the store again", func() bool {
			head, _, err := config.LoadHead(t.Context(), store.NewDirect(memory))
			return err == nil && head.Version == 2
		})
		if holder.Current().Version != 2 {
			t.Errorf("version %d is in force", holder.Current().Version)
		}
	})
}
