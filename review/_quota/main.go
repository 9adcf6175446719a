// Command quota prints for how long a gateway refuses a tenant after it has dropped a peer and
// hears of it again, and after it starts while another gateway is silent. It uses the buckets of
// internal/quota alone, in simulated time.
package main

import (
	"fmt"
	"time"

	"filbertusher/internal/quota"
	"filbertusher/pkg/usher"
)

func main() {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	tolerance := quota.Tolerance{Window: 8 * time.Second, Overage: 0.1, Slack: 140000}
	tenant := &usher.WorkspaceSpec{Name: "t", Rate: 100000, Burst: 100000, CountsTokens: true}
	own := quota.New(tolerance, "own", true, clock)
	own.SetInstanceCount(2)
	own.AddPeer("peer")
	began, used := now, 0.0
	report := func() quota.Report {
		return quota.Report{Incarnation: "peer", Age: now.Sub(began), Used: quota.Amounts{"t": used}, Demand: quota.Amounts{"t": 25000}}
	}
	for range 36000 {
		now = now.Add(100 * time.Millisecond)
		used += 2500
		own.Merge("peer", report())
		own.Take(tenant, 2500)
	}
	fmt.Printf("after an hour, half of the quota used: allowed %t\n", own.Check(tenant, 1000).Allowed)
	own.RemovePeer("peer")
	own.SetInstanceCount(1)
	now = now.Add(100 * time.Millisecond)
	own.Merge("peer", report())
	again := own.Check(tenant, 1000)
	fmt.Printf("the peer was dropped and is heard again: allowed %t, refused for %v\n", again.Allowed, again.Wait.Round(time.Second))
	started := quota.New(tolerance, "new", false, clock)
	started.SetInstanceCount(3)
	started.Merge("peer", report())
	fresh := started.Check(tenant, 1000)
	fmt.Printf("a new process, one of three instances is silent: allowed %t, refused for %v\n", fresh.Allowed, fresh.Wait.Round(time.Second))
}
