package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	stopClients   = 12
	eventInterval = 100 * time.Millisecond
	// secondEvents is the length of the stream that is cut: 5.8 s.
	secondEvents = 58
	// excusedUntil is how long after SIGTERM a request may be sent that the rule allows
	// to be cut.
	excusedUntil = 3 * time.Second
)

// playStop stops a gateway while its clients receive streams on kept connections. A client
// whose stream ends sends its next request at once.
func playStop(recordPath string, trouble bool) (bool, error) {
	d, err := newDeployment(recordPath, 284)
	if err != nil {
		return false, err
	}
	defer d.close()
	d.configure([]object{{
		"name": "installer-answer", "hostname": siteHost, "path_prefix": "/plan/", "route_type": "streaming", "timeout_ms": 15000,
		"target_latency_ms": 1000, "priority": 1, "service": "advice-models", "max_attempts": 1, "public": false,
		"session_affinity": true, "stream_resume": false, "gap_aim_ms": 400,
	}}, []object{engineService("advice-models", 14)}, nil)
	// The path names how many events the answer has.
	length := func(request *http.Request) (n int) {
		_, _ = fmt.Sscanf(strings.TrimPrefix(request.URL.Path, "/plan/"), "%d", &n)
		return n
	}
	var replicas []*replica
	for n := range 2 {
		r, err := d.startReplica(fmt.Sprintf("i-%d", n+1), "advice-models", 14, stream(eventInterval, length))
		if err != nil {
			return false, err
		}
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

	const header = "X-Filbertusher-Model-Name: m\r\nX-Filbertusher-Token-Count: 628,290\r\n"
	const lead = time.Second
	stopAt := time.Now().Add(lead)
	var mu sync.Mutex
	counted, cut := 0, 0
	var wait sync.WaitGroup
	for n := range stopClients {
		wait.Go(func() {
			c, err := d.dialClient(g.frontend)
			if err != nil {
				d.record.add("client %d: no connection: %v", n, err)
				return
			}
			defer c.Close()
			// The first streams end from 3.05 s to 3.5 s after the signal.
			time.Sleep(time.Duration(50+40*n%100) * time.Millisecond)
			first := 40 + n*4/stopClients
			id := fmt.Sprintf("first-%d", n)
			if err := c.send("POST", fmt.Sprintf("/plan/%d", first), id, 15*time.Second, header, nil); err != nil {
				d.record.add("client %d: %s not sent: %v", n, id, err)
				return
			}
			got := c.receive("POST")
			d.record.add("client %d: %s got %v, %d events", n, id, got, strings.Count(got.body, "\n\n"))
			if got.err != nil || got.closes {
				return
			}
			id = fmt.Sprintf("second-%d", n)
			sent := time.Since(stopAt)
			if err := c.send("POST", fmt.Sprintf("/plan/%d", secondEvents), id, 15*time.Second, header, nil); err != nil {
				d.record.add("client %d: %s crossed the close: %v", n, id, err)
				return
			}
			d.record.add("client %d: sent %s, %.3f s after the signal", n, id, sent.Seconds())
			got = c.receive("POST")
			ran := replicas[0].ran(id) || replicas[1].ran(id)
			d.record.add("client %d: %s got %v, %d events of %d, run by a replica: %v", n, id, got, strings.Count(got.body, "\n\n"), secondEvents, ran)
			mu.Lock()
			defer mu.Unlock()
			if sent > excusedUntil && ran {
				counted++
				if got.err != nil {
					cut++
				}
			}
		})
	}
	time.Sleep(time.Until(stopAt))
	if trouble {
		d.record.say("the platform sends SIGTERM to %s", g.name)
		g.signal(syscall.SIGTERM)
	}
	wait.Wait()
	d.record.say("%d requests were sent later than %v after the time of the signal and passed on to a replica; %d of them got no complete answer", counted, excusedUntil, cut)
	if !trouble && counted == 0 {
		return false, fmt.Errorf("no request was sent in time")
	}
	return cut > 0, nil
}
