package record

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"filbertusher/internal/standin/store"
	"filbertusher/pkg/usher"
)

// values returns the objects of a memory without their versions.
func values(memory *store.Memory) map[usher.ObjectKey]string {
	objects, _ := memory.List("")
	byKey := make(map[usher.ObjectKey]string, len(objects))
	for _, object := range objects {
		byKey[object.Key] = string(object.Value)
	}
	return byKey
}

func TestBatchesLostByRestoredStoreAreStoredAgain(t *testing.T) {
	memory := store.NewMemory()
	direct := store.NewDirect(memory)
	chain := newChainWriter(direct, "writer", RoleEntry)
	drain := func() {
		t.Helper()
		if err := chain.Drain(t.Context(), 0, time.Minute, func(*sealedBatch, error) {}); err != nil {
			t.Fatal(err)
		}
	}
	storeDecision := func(id usher.RequestID) {
		t.Helper()
		chain.add(&usher.Decision{ID: id, Time: time.Now()}, nil)
		chain.Seal(nil, false)
		drain()
	}
	memory.Backup()
	storeDecision("writer-1")
	storeDecision("writer-2")
	if err := chain.storeIndex(t.Context(), true); err != nil {
		t.Fatal(err)
	}
	before := values(memory)
	memory.Restore()
	if len(values(memory)) != 0 {
		t.Fatal("the store has lost nothing")
	}
	if _, _, err := direct.List(t.Context(), ""); err != nil {
		t.Fatal(err)
	}
	drain()
	if diff := cmp.Diff(before, values(memory)); diff != "" {
		t.Errorf("announcement, batches and index after the restoration: %s", diff)
	}
	_, revision := memory.List("")
	drain()
	if _, after := memory.List(""); after != revision {
		t.Error("what is stored again is written more than once")
	}
}

func TestStoredObjectsAreKeptInBoundedMemory(t *testing.T) {
	memory := store.NewMemory()
	writer := objectWriter{store: store.NewDirect(memory)}
	value := make([]byte, maxRewriteBytes/3)
	for _, key := range []usher.ObjectKey{"r/1", "r/2", "r/3", "r/4"} {
		if err := writer.put(t.Context(), key, value); err != nil {
			t.Fatal(err)
		}
	}
	if len(writer.written) != 3 || writer.writtenBytes > maxRewriteBytes {
		t.Errorf("%d objects of %d bytes are kept", len(writer.written), writer.writtenBytes)
	}
	writer.written[0].storedAt = time.Now().Add(-2 * rewritePeriod)
	writer.dropOldest()
	if len(writer.written) != 2 {
		t.Errorf("%d objects are kept, one of which is too old", len(writer.written))
	}
}
