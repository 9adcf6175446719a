package dispatch

import (
	"fmt"
	"testing"
	"time"

	"filbertusher/pkg/usher"
)

// An endpoint resets connections beyond its limit. Requests were sent to it beyond that, and
// idle connections kept, whatever the limit was.
func TestConnectionsStayWithinLimit(t *testing.T) {
	const others = 3
	for _, engine := range []bool{true, false} {
		for _, slots := range []int{1, 4, 16} {
			for _, limit := range []int{1, 2, 6, 40} {
				t.Run(fmt.Sprintf("engine=%v/slots=%d/connections=%d", engine, slots, limit), func(t *testing.T) {
					now := time.Unix(1000, 0)
					s := New(Options{Self: "g0", Now: func() time.Time { return now }})
					members := []string{"g0"}
					for n := range others {
						members = append(members, fmt.Sprint("g", n+1))
					}
					s.SetMembers(members)
					s.SetEndpoints("s", ServiceSpec{Engine: engine, Slots: slots, MaxConnections: limit}, []usher.Registration{{Name: "a", Service: "s", Slots: slots}})
					running := min(limit, others)
					for n := range running {
						s.ApplyReport(members[1+n], Report{Loads: map[usher.EndpointName]Load{"a": {Running: 1}}})
					}
					for {
						now = now.Add(time.Millisecond)
						grant := s.TryAdmit(&Request{Service: "s", Arrived: now, Target: now.Add(time.Second), Deadline: now.Add(time.Minute)})
						if grant == nil {
							break
						}
						running++
						if idle := grant.MaxIdle * len(members); idle > max(len(members), limit-min(slots, limit)) {
							t.Fatalf("the instances may keep %d idle connections together", idle)
						}
					}
					if running > limit {
						t.Errorf("%d requests run at the endpoint", running)
					}
				})
			}
		}
	}
}
