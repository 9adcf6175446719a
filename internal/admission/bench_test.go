package admission

import (
	"fmt"
	"testing"
	"time"

	"filbertusher/pkg/usher"
)

// BenchmarkAdmit measures the admission of one request while others wait. The
// cost of a decision grows with the number of waiting workspaces, not with the
// number of all workspaces.
func BenchmarkAdmit(b *testing.B) {
	for _, waiting := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			controller := New("engine", Options{MaxRunning: 1, MaxWaiting: waiting + 2, FixedLimit: true})
			deadline := time.Now().Add(time.Hour)
			headers := make([]usher.RequestHeader, waiting+1)
			for i := range headers {
				headers[i] = *newHeader(fmt.Sprint("r", i), usher.Rank(i%4), fmt.Sprint("w", i), 100, 100, deadline)
			}
			requests := make([]*request, 0, len(headers))
			for i := range headers {
				req, _ := controller.enqueue(&headers[i])
				requests = append(requests, req)
			}
			running := requests[0]
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				header := running.header
				running.slot.Release()
				req, _ := controller.enqueue(header)
				requests = append(requests, req)
				for i, candidate := range requests {
					if candidate.slot != nil && candidate != running {
						running, requests[i] = candidate, requests[len(requests)-1]
						requests = requests[:len(requests)-1]
						break
					}
				}
			}
		})
	}
}

// BenchmarkEndWork measures what the stop of an entry costs a companion where requests of
// many entries wait.
func BenchmarkEndWork(b *testing.B) {
	for _, waiting := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			controller := New("engine", Options{MaxRunning: 1, MaxWaiting: waiting + 2, FixedLimit: true})
			deadline := time.Now().Add(time.Hour)
			for i := range waiting + 1 {
				_, _ = controller.enqueue(newHeader(fmt.Sprint("r", i), usher.Rank(i%4), fmt.Sprint("w", i%50), 100, 100, deadline))
			}
			b.ReportAllocs()
			for n := range b.N {
				// Each message names an earlier end, so that none is ignored.
				controller.EndWork("w0", time.Hour/2-time.Duration(n)*100*time.Microsecond)
			}
		})
	}
}
