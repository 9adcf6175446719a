package suspect

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"filbertusher/internal/standin/store"
	"filbertusher/pkg/usher"
)

func TestSuspectsLostByRestoredStoreAreStoredAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := store.NewMemory()
		direct := store.NewDirect(memory)
		table := NewTable()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = table.Sync(ctx, direct, true, zerolog.Nop()) }()
		memory.Backup()
		table.RecordCrash(&usher.RequestHeader{ID: "r"})
		synctest.Wait()
		if _, stored := memory.Get(Key); !stored {
			t.Fatal("the crash was not stored")
		}
		memory.Restore()
		if records, err := List(ctx, direct); err != nil || len(records) != 0 {
			t.Fatalf("the store has lost nothing: %v, error %v", records, err)
		}
		time.Sleep(maxRewriteDelay)
		synctest.Wait()
		if _, stored := memory.Get(Key); !stored {
			t.Error("the crash was not stored again within a second")
		}
	})
}
