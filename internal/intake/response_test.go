package intake

import (
	"bytes"
	"errors"
	"io"
	"runtime"
	"runtime/debug"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"
)

// endless never ends.
type endless struct{}

func (endless) Read(buf []byte) (int, error) { return len(buf), nil }

// Guards against bodies that were given up and still take memory beyond the bound.
func TestEndlessResponsesReuseMemory(t *testing.T) {
	const size, bodies = 4 << 20, 100
	// Otherwise the result depends on when the collector runs.
	defer debug.SetGCPercent(debug.SetGCPercent(-1))
	responses := NewResponses(size, 1<<30)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range bodies {
		tooLong := new(ResponseTooLongError)
		if _, err := responses.Read(endless{}); !errors.As(err, &tooLong) {
			t.Fatalf("got %v, want a ResponseTooLongError", err)
		}
	}
	runtime.ReadMemStats(&after)
	// The race detector makes sync.Pool drop a quarter of what it gets.
	if grown := after.TotalAlloc - before.TotalAlloc; grown > bodies*size/2 {
		t.Errorf("%d bodies allocated %d MB of which %d MB may be used at once", bodies, grown>>20, size>>20)
	}
}

func TestResponseIsWrittenAsRead(t *testing.T) {
	for _, length := range []int{0, 1, firstChunkBytes, firstChunkBytes + 1, firstChunkBytes + responseChunkBytes, firstChunkBytes + 3*responseChunkBytes + 7} {
		responses := NewResponses(4*responseChunkBytes, 1<<30)
		want := strings.Repeat("0123456789a", length/11+1)[:length]
		body, err := responses.Read(iotest.HalfReader(strings.NewReader(want)))
		if err != nil {
			t.Fatal(err)
		}
		var got bytes.Buffer
		if n, err := body.WriteTo(&got); err != nil || int(n) != length || body.Len() != length {
			t.Errorf("wrote %d of %d bytes, %v", n, length, err)
		}
		if diff := cmp.Diff(want, got.String()); diff != "" {
			t.Errorf("%d bytes (-want +got):\n%s", length, diff)
		}
		if diff := cmp.Diff(want, string(body.Copy())); diff != "" {
			t.Errorf("copy of %d bytes (-want +got):\n%s", length, diff)
		}
		body.Release()
		body.Release()
		if !responses.memory.TryAcquire(4 * responseChunkBytes) {
			t.Errorf("%d bytes: the memory was not returned", length)
		}
	}
}

func TestCutResponseReturnsItsMemory(t *testing.T) {
	responses := NewResponses(4*responseChunkBytes, 1<<30)
	cut := io.MultiReader(strings.NewReader(strings.Repeat("x", 3*responseChunkBytes)), iotest.ErrReader(io.ErrUnexpectedEOF))
	if _, err := responses.Read(cut); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got %v", err)
	}
	if !responses.memory.TryAcquire(4 * responseChunkBytes) {
		t.Error("the memory was not returned")
	}
}

func TestResponseThatIsTooLong(t *testing.T) {
	const limit = firstChunkBytes + responseChunkBytes
	tooLong := new(ResponseTooLongError)
	_, err := NewResponses(1<<30, limit).Read(endless{})
	if !errors.As(err, &tooLong) || tooLong.Limit != limit {
		t.Errorf("got %v, want an error with the limit %d", err, limit)
	}
}
