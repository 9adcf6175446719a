package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// shedSlots is the number of slots of each of the two replicas.
	shedSlots = 14
	// waitersPerRoute is how many requests of each route wait at the gateway.
	waitersPerRoute = 45
	// leaverShare is the share of these clients that leave (give_up: at most 0.3).
	leaverShare = 0.3
	// probeTimeout is the timeout_ms of the route of the probes.
	probeTimeout = time.Second
	// lateBy is how long after timeout_ms the rule lets the answer take.
	lateBy = 500 * time.Millisecond
)

// shedding makes both replicas hold what arrives and reject all of it at once.
type shedding struct {
	mu      sync.Mutex
	release chan struct{}
	held    atomic.Int64
}

func (s *shedding) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.release = make(chan struct{})
	s.held.Store(0)
}

func (s *shedding) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.release)
	s.release = nil
}

// ask implements replica.shed. The replica is full, because others call it too: a request
// waits in its queue for a moment and is rejected.
func (s *shedding) ask(request *http.Request) (bool, string) {
	s.mu.Lock()
	release := s.release
	s.mu.Unlock()
	if release == nil {
		return false, ""
	}
	s.held.Add(1)
	select {
	case <-release:
		return true, "1"
	case <-request.Context().Done():
		return true, ""
	}
}

// playPause lets the replicas of a service shed load for a second while some of the clients
// that wait for it leave. Requests for another service, whose replica is idle, show whether
// the gateway still answers.
func playPause(recordPath string, trouble bool) (bool, error) {
	d, err := newDeployment(recordPath, 284)
	if err != nil {
		return false, err
	}
	defer d.close()
	routes := []object{{
		"name": "stock-check", "hostname": siteHost, "path_prefix": "/stock/", "route_type": "safe", "timeout_ms": probeTimeout.Milliseconds(),
		"target_latency_ms": 150, "priority": 2, "service": "order-desk", "max_attempts": 2, "public": false,
	}}
	const ranks = 4
	for rank := range ranks {
		routes = append(routes, object{
			"name": fmt.Sprintf("advice-%d", rank), "hostname": siteHost, "path_prefix": fmt.Sprintf("/advice%d/", rank), "route_type": "streaming", "timeout_ms": 15000,
			"target_latency_ms": 800, "priority": rank, "service": "advice-models", "max_attempts": 1, "public": false, "session_affinity": true, "stream_resume": false, "gap_aim_ms": 400,
		})
	}
	d.configure(routes, []object{engineService("advice-models", shedSlots), plainService("order-desk")}, nil)
	shed := &shedding{}
	for n := range 2 {
		r, err := d.startReplica(fmt.Sprintf("i-advice-%d", n+1), "advice-models", shedSlots, stream(5*time.Millisecond, func(*http.Request) int { return 4 }))
		if err != nil {
			return false, err
		}
		r.shed = shed.ask
	}
	if _, err := d.startReplica("i-desk-1", "order-desk", 6, answerAfter(10*time.Millisecond)); err != nil {
		return false, err
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
	var ids atomic.Int64
	// ask sends one request on a new connection, and calls sent with the connection.
	ask := func(path string, deadline time.Duration, sent func(*client)) answer {
		c, err := d.dialClient(g.frontend)
		if err != nil {
			return answer{err: err}
		}
		defer c.Close()
		id := fmt.Sprintf("r%d", ids.Add(1))
		if err := c.send("GET", path, id, deadline, header, nil); err != nil {
			return answer{err: err}
		}
		if sent != nil {
			sent(c)
		}
		return c.receive("GET")
	}
	var wait sync.WaitGroup
	statuses := map[int]int{}
	var mu sync.Mutex
	count := func(a answer) {
		mu.Lock()
		defer mu.Unlock()
		statuses[a.status]++
	}
	// Requests that the engines answer normally.
	normal := func(n int) {
		var group sync.WaitGroup
		for i := range n {
			group.Go(func() { count(ask(fmt.Sprintf("/advice%d/x", i%ranks), 15*time.Second, nil)) })
		}
		group.Wait()
	}
	probe := func() answer {
		return ask("/stock/x", probeTimeout+lateBy+500*time.Millisecond, nil)
	}
	normal(60)
	d.record.say("before: answers by status: %v; the probe got %v", statuses, probe())
	began := time.Now()
	hung := false
	rounds := 0
	for ; time.Since(began) < 85*time.Second && !hung; rounds++ {
		// More than the replicas reject in a round: they fail less than 0.45 of their requests.
		normal(36 + rand.Intn(7))
		if trouble {
			shed.begin()
		}
		for i := range 2 * shedSlots {
			wait.Go(func() { count(ask(fmt.Sprintf("/advice%d/held", i%ranks), 3*time.Second, nil)) })
		}
		for end := time.Now().Add(100 * time.Millisecond); trouble && shed.held.Load() < 2*shedSlots && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		var leavers []*client
		for i := range ranks * waitersPerRoute {
			leaves := i < int(leaverShare*ranks*waitersPerRoute)
			wait.Go(func() {
				count(ask(fmt.Sprintf("/advice%d/waits", i%ranks), 3*time.Second, func(c *client) {
					if leaves {
						mu.Lock()
						leavers = append(leavers, c)
						mu.Unlock()
					}
				}))
			})
			if leaves && i%ranks == ranks-1 {
				// The first to come are the first to leave.
				time.Sleep(100 * time.Microsecond)
			}
		}
		time.Sleep(40 * time.Millisecond)
		leave := func() {
			mu.Lock()
			leaving := leavers
			mu.Unlock()
			rand.Shuffle(len(leaving), func(a, b int) { leaving[a], leaving[b] = leaving[b], leaving[a] })
			for _, c := range leaving {
				_ = c.Close()
			}
		}
		if trouble {
			go leave()
			time.Sleep(time.Duration(rand.Int63n(int64(1500 * time.Microsecond))))
			shed.end()
		}
		time.Sleep(20 * time.Millisecond)
		if a := probe(); a.err != nil {
			d.record.say("round %d: the probe got no answer: %v", rounds+1, a)
			hung = true
			break
		}
		// Until the replicas want requests again.
		time.Sleep(1050 * time.Millisecond)
		wait.Wait()
	}
	mu.Lock()
	d.record.say("%d rounds; answers by status (0: no answer, or the client left): %v", rounds, statuses)
	mu.Unlock()
	// The rule: of the requests that are still unanswered at their route's timeout_ms, more
	// than half have no answer half a second later.
	const probes = 40
	var unanswered, late, answered atomic.Int64
	var group sync.WaitGroup
	for range probes {
		group.Go(func() {
			sent := time.Now()
			a := probe()
			d.record.add("the probe got %v after %.3f s", a, time.Since(sent).Seconds())
			if a.err == nil && time.Since(sent) <= probeTimeout {
				answered.Add(1)
				return
			}
			unanswered.Add(1)
			if a.err != nil || time.Since(sent) > probeTimeout+lateBy {
				late.Add(1)
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	group.Wait()
	d.record.say("of %d more requests for a service with an idle replica, %d were answered within timeout_ms; of the other %d, %d had no answer half a second later", probes, answered.Load(), unanswered.Load(), late.Load())
	d.record.say("the gateway runs: %v, and says that it is ready: %v", g.running(), g.ready())
	g.trace(filepath.Dir(recordPath))
	return unanswered.Load() > 0 && 2*late.Load() > unanswered.Load(), nil
}
