package waiting

import (
	"fmt"
	"testing"
	"time"

	"filbertusher/pkg/usher"
)

// BenchmarkAdmit is one request through a room in which others wait: the cost
// of a decision grows with the workspaces that wait, not with all of them.
func BenchmarkAdmit(b *testing.B) {
	for _, waiting := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			room := New("engine", Options{Running: 1, Waiting: waiting + 2, Fixed: true})
			deadline := time.Now().Add(time.Hour)
			headers := make([]usher.RequestHeader, waiting+1)
			for i := range headers {
				headers[i] = *header(fmt.Sprint("r", i), usher.Rank(i%4), fmt.Sprint("w", i), 100, 100, deadline)
			}
			line := make([]*ticket, 0, len(headers))
			for i := range headers {
				t, _ := room.enter(&headers[i])
				line = append(line, t)
			}
			running := line[0]
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				again := running.header
				running.slot.Release()
				t, _ := room.enter(again)
				line = append(line, t)
				for i, one := range line {
					if one.slot != nil && one != running {
						running, line[i] = one, line[len(line)-1]
						line = line[:len(line)-1]
						break
					}
				}
			}
		})
	}
}
