package companion

import (
	"testing"

	"github.com/rs/zerolog"

	"filbertusher/internal/standin/store"
	"filbertusher/pkg/usher"
)

func TestFencingTokenGrowsWhenStoreWentBack(t *testing.T) {
	memory := store.NewMemory()
	acquire := func(incarnation usher.Incarnation) usher.FencingToken {
		t.Helper()
		fence := NewFence(store.NewDirect(memory), "e", incarnation, zerolog.Nop())
		if err := fence.Run(t.Context()); err != nil {
			t.Fatal(err)
		}
		return fence.Current()
	}
	first := acquire("first")
	memory.Backup()
	acquire("second")
	third := acquire("third")
	memory.Restore()
	if fourth := acquire("fourth"); first >= third || fourth <= third {
		t.Errorf("tokens %d, %d, and %d after the restoration", first, third, fourth)
	}
}
