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

// silentStore is a store that answers no watch. The call ends as late as one of the client
// of the platform's store.
type silentStore struct{ *store.Direct }

// Watch implements usher.Store.
func (silentStore) Watch(ctx context.Context, prefix usher.ObjectKey, _ usher.Version, wait time.Duration) ([]usher.WatchEvent, usher.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+2*time.Second)
	defer cancel()
	<-ctx.Done()
	return nil, 0, &usher.UnavailableError{Operation: "watch " + string(prefix), Cause: ctx.Err()}
}

// Guards against a version that comes into force late because a watch of the store was lost.
func TestVersionArrivesThoughWatchIsLost(t *testing.T) {
	// A change may take so long (docs/design/control.md).
	const bound = 4 * time.Second
	synctest.Test(t, func(t *testing.T) {
		memory := store.NewMemory()
		holder := config.NewHolder()
		syncer := New(LocalProcess{Incarnation: "one"}, silentStore{store.NewDirect(memory)}, holder, zerolog.Nop())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			for ctx.Err() == nil {
				syncer.watchStore(ctx)
			}
		}()
		defer func() { cancel(); <-done }()
		for version := usher.Version(1); version <= 3; version++ {
			value, err := json.Marshal(usher.Tier{Name: usher.TierName("t" + string('0'+rune(version)))})
			if err != nil {
				t.Fatal(err)
			}
			change := operator.Change{Put: []usher.Object{{Key: config.Key(config.KindTier, "t"+string('0'+rune(version))), Value: value}}}
			if _, err := operator.New(store.NewDirect(memory), "test").Apply(t.Context(), change); err != nil {
				t.Fatal(err)
			}
			time.Sleep(bound)
			if got := holder.Current().Version; got != version {
				t.Errorf("version %d is in force %v after version %d was accepted", got, bound, version)
			}
		}
	})
}
