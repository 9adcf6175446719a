package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	silenceClients = 6
	// silenceEvents is the length of an answer and silentAfter the event after which the
	// engine preempts it.
	silenceEvents = 40
	silentAfter   = 15
	// silentFor is how long a preempted request makes no event. Clients leave a stream of
	// this route after a gap of 3.2 s.
	silentFor = 2600 * time.Millisecond
)

// playSilence stops a gateway while an engine preempts some streams for a while.
func playSilence(recordPath string, trouble bool) (bool, error) {
	d, err := newDeployment(recordPath, 284)
	if err != nil {
		return false, err
	}
	defer d.close()
	d.configure([]object{{
		"name": "sizing-report", "hostname": siteHost, "path_prefix": "/plan/", "route_type": "streaming", "timeout_ms": 15000,
		"target_latency_ms": 800, "priority": 0, "service": "advice-models", "max_attempts": 2, "public": false,
		"session_affinity": true, "stream_resume": true, "gap_aim_ms": 400,
	}}, []object{engineService("advice-models", 14)}, nil)
	var preempts, full atomic.Bool
	run := func(w http.ResponseWriter, request *http.Request, id string) {
		w.Header().Set("Content-Type", "text/event-stream")
		first, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
		for n := first + 1; n <= silenceEvents; n++ {
			wait := 50 * time.Millisecond
			if n == silentAfter+1 && preempts.Load() {
				wait = silentFor
			}
			select {
			case <-time.After(wait):
			case <-request.Context().Done():
				return
			}
			fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n)
			_ = http.NewResponseController(w).Flush()
		}
	}
	var replicas []*replica
	for n := range 2 {
		r, err := d.startReplica(fmt.Sprintf("i-%d", n+1), "advice-models", 14, run)
		if err != nil {
			return false, err
		}
		// Others call the replicas too, so that they are full for a while. What they run
		// goes on.
		r.shed = func(*http.Request) (bool, string) { return full.Load(), "" }
		replicas = append(replicas, r)
	}
	if err := d.newGateways(1); err != nil {
		return false, err
	}
	g := d.gateways[0]
	if err := g.start(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	preempts.Store(trouble)
	var cut, whole atomic.Int64
	var wait sync.WaitGroup
	for n := range silenceClients {
		wait.Go(func() {
			c, err := d.dialClient(g.frontend)
			if err != nil {
				return
			}
			defer c.Close()
			id := fmt.Sprintf("request-%d", n)
			if err := c.send("POST", "/plan/x", id, 15*time.Second, "X-Filbertusher-Model-Name: m\r\nX-Filbertusher-Token-Count: 6610,200\r\n", nil); err != nil {
				return
			}
			got := c.receive("POST")
			ran := replicas[0].ran(id) || replicas[1].ran(id)
			d.record.add("%s got %v, %d events of %d, run by a replica: %v", id, got, strings.Count(got.body, "\n\n"), silenceEvents, ran)
			switch {
			case got.err == nil && got.status == http.StatusOK:
				whole.Add(1)
			case ran:
				cut.Add(1)
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		d.record.say("the platform sends SIGTERM to %s", g.name)
		g.signal(syscall.SIGTERM)
	}
	time.Sleep(500 * time.Millisecond)
	full.Store(true)
	wait.Wait()
	full.Store(false)
	d.record.say("%d streams were complete, %d were passed on to a replica and closed without a complete answer", whole.Load(), cut.Load())
	return cut.Load() > 0, nil
}
