package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"filbertusher/internal/standin/store"
)

// callMany sends requests to a path until stop is closed, a number of them at a time, and
// returns the results.
func (g *gateway) callMany(stop <-chan struct{}, callers int, path string) []callResult {
	var mu sync.Mutex
	var results []callResult
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				got := g.call(context.Background(), http.MethodGet, path, fmt.Sprint(g.callerAddress, path, caller, "-", n), "Via-Gateway", g.callerAddress)
				mu.Lock()
				results = append(results, got)
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	group.Wait()
	return results
}

// arrivalsSince returns the number of requests that have arrived since a time.
func (r *replica) arrivalsSince(since time.Time) (count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.arrivals {
		if a.at.After(since) {
			count++
		}
	}
	return count
}

// A gateway that can't reach the store learns from responses that a replica leaves, and
// the store's older word does not count afterwards.
func TestReplicaThatLeavesIsKnownFromItsResponses(t *testing.T) {
	for _, c := range []struct{ path, service string }{{"/check/a", "desk"}, {"/plan/a", "model"}} {
		t.Run(c.service, func(t *testing.T) {
			cl := newCluster(t)
			cl.revokeMS = 60000
			events := 0
			if c.service == "model" {
				events = 3
			}
			one, two := newReplica(t, "r1", c.service, 8, events), newReplica(t, "r2", c.service, 8, events)
			cl.register(one, "ready")
			cl.register(two, "ready")
			g := cl.startGateway("g1")
			method := http.MethodGet
			if c.service == "model" {
				method = http.MethodPost
			}
			n := 0
			call := func() callResult {
				n++
				return g.call(t.Context(), method, c.path, fmt.Sprint("r", n))
			}
			cl.eventually("a replica serves", func() bool { return call().status == http.StatusOK })
			if two.totalExecutions() > 0 {
				one, two = two, one
			}
			cl.setStoreFaults(store.Faults{Down: true})
			cl.awaitLogged(g, "dependencyLost")
			one.update(func() { one.leaving = true })
			cl.eventually("the replica has said that it leaves", func() bool {
				call()
				return g.logs("endpointChanged", "leaving=true")
			})
			since := time.Now()
			for range 30 {
				if got := call(); got.status != http.StatusOK {
					t.Errorf("status %d although a replica is ready", got.status)
				}
			}
			// The registration says ready all the time.
			cl.setStoreFaults(store.Faults{})
			cl.awaitLogged(g, "dependencyRegained")
			cl.register(two, "ready")
			time.Sleep(time.Second)
			for range 30 {
				call()
			}
			if got := one.arrivalsSince(since); got != 0 {
				t.Errorf("the replica that leaves received %d requests", got)
			}
			one.update(func() { one.leaving = false })
			one.born++
			cl.register(one, "ready")
			cl.register(two, "draining")
			cl.eventually("the next incarnation serves", func() bool {
				call()
				return one.arrivalsSince(since) > 0
			})
		})
	}
}

// logs reports whether the gateway has logged an event with a field.
func (g *gateway) logs(event, field string) bool {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := g.Await(ctx, event, field)
	return err == nil
}

// A replica sheds under a burst from three gateways while another one serves. Each gateway
// leaves it alone for as long as it asks.
func TestReplicaThatShedsIsLeftAlone(t *testing.T) {
	c := newCluster(t)
	c.revokeMS = 60000
	shedding, serving := newReplica(t, "d1", "desk", 8, 0), newReplica(t, "d2", "desk", 8, 0)
	c.register(shedding, "ready")
	c.register(serving, "ready")
	gateways := []*gateway{c.startGateway("g1"), c.startGateway("g2"), c.startGateway("g3")}
	for _, g := range gateways {
		c.awaitServed(g, "/check/a")
	}
	const pause = 2 * time.Second
	shedding.update(func() { shedding.shedFor, shedding.arrivals = strconv.FormatFloat(pause.Seconds(), 'f', -1, 64), nil })
	stop := make(chan struct{})
	var group sync.WaitGroup
	for _, g := range gateways {
		group.Go(func() { g.callMany(stop, 8, "/check/a") })
	}
	time.Sleep(3 * pause)
	close(stop)
	group.Wait()
	for _, g := range gateways {
		if late := shedding.lateArrivals(g, pause); late > 2 {
			t.Errorf("%d requests of one gateway arrived while the replica had asked to be left alone", late)
		}
	}
	if serving.totalExecutions() < 100 {
		t.Errorf("the other replica has served %d requests", serving.totalExecutions())
	}
}

// lateArrivals returns the most requests of a gateway that arrived between half a second
// after the replica had shed one of its requests and the end of the pause.
func (r *replica) lateArrivals(g *gateway, pause time.Duration) (most int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, shed := range r.arrivals {
		if !shed.shed || shed.from != "school"+g.callerAddress {
			continue
		}
		late := 0
		for _, a := range r.arrivals {
			if a.from == shed.from && a.at.Sub(shed.at) > 500*time.Millisecond && a.at.Sub(shed.at) < pause {
				late++
			}
		}
		most = max(most, late)
	}
	return most
}

// All replicas of a service shed at once. Callers are refused at once and told when to come
// back, at different times, and none of them waits.
func TestCallersAreToldWhenAllReplicasShed(t *testing.T) {
	c := newCluster(t)
	c.revokeMS = 60000
	g := c.startGateway("g1")
	var replicas []*replica
	for i := range 2 {
		r := newReplica(t, fmt.Sprint("d", i), "desk", 8, 0)
		c.register(r, "ready")
		replicas = append(replicas, r)
	}
	c.awaitServed(g, "/check/a")
	for _, r := range replicas {
		r.update(func() { r.shedFor, r.arrivals = "3", nil })
	}
	c.eventually("both replicas have shed", func() bool {
		g.call(t.Context(), http.MethodGet, "/check/a", fmt.Sprint("s", time.Now().UnixNano()))
		return replicas[0].arrivalsSince(time.Time{}) > 0 && replicas[1].arrivalsSince(time.Time{}) > 0
	})
	since := time.Now()
	earliest, latest := time.Hour, time.Duration(0)
	for i := range 40 {
		got := g.call(t.Context(), http.MethodGet, "/check/a", fmt.Sprint("r", i))
		seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		if got.status != http.StatusServiceUnavailable || err != nil {
			t.Fatalf("status %d, Retry-After %q", got.status, got.header.Get("Retry-After"))
		}
		back := time.Since(since) + time.Duration(seconds*float64(time.Second))
		earliest, latest = min(earliest, back), max(latest, back)
	}
	if took := time.Since(since); took > time.Second {
		t.Errorf("40 refusals took %v", took)
	}
	if earliest < 2*time.Second || latest-earliest < 500*time.Millisecond {
		t.Errorf("callers come back %v to %v after the replicas asked for 3 s", earliest, latest)
	}
	if got := replicas[0].arrivalsSince(since) + replicas[1].arrivalsSince(since); got != 0 {
		t.Errorf("the replicas received %d requests", got)
	}
}

// A replica sheds and leaves while a gateway is restarted as planned.
func TestReplicaThatShedsAndLeavesDuringPlannedRestart(t *testing.T) {
	c := newCluster(t)
	c.revokeMS = 60000
	leaving, serving := newReplica(t, "d1", "desk", 8, 0), newReplica(t, "d2", "desk", 8, 0)
	// Gateways prefer the other replica, so that each soon learns from it that it leaves.
	serving.processingTime = 150 * time.Millisecond
	c.register(serving, "ready")
	gateways := []*gateway{c.startGateway("g1"), c.startGateway("g2")}
	for _, g := range gateways {
		c.awaitServed(g, "/check/a")
	}
	leaving.update(func() { leaving.shedFor, leaving.leaving = "1", true })
	c.register(leaving, "ready")
	stop := make(chan struct{})
	stopCallers := sync.OnceFunc(func() { close(stop) })
	defer stopCallers()
	var group sync.WaitGroup
	results := make([][]callResult, len(gateways))
	for i, g := range gateways {
		group.Go(func() { results[i] = g.callMany(stop, 4, "/check/a") })
	}
	for _, g := range gateways {
		c.awaitLogged(g, "endpointChanged", "endpoint=d1", "leaving=true")
	}
	time.Sleep(500 * time.Millisecond)
	// The replica serves requests that it gets nevertheless, so that only its statement
	// keeps them away.
	leaving.update(func() { leaving.shedFor = "" })
	since := time.Now()
	if err := gateways[0].Stop(); err != nil {
		t.Error(err)
	}
	time.Sleep(500 * time.Millisecond)
	stopCallers()
	group.Wait()
	if got := leaving.arrivalsSince(since); got != 0 {
		t.Errorf("the replica that leaves received %d requests", got)
	}
	for _, got := range results[1] {
		if got.status != http.StatusOK {
			t.Errorf("status %d, error %v although a replica is ready", got.status, got.err)
		}
	}
}
