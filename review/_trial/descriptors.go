package main

import (
	"fmt"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// usualRate is the traffic of the deployment sheet in requests a second, and
	// burstFactor and burstFor the largest burst of the site files.
	usualRate   = 160
	burstFactor = 2.5
	burstFor    = 10 * time.Second
	// idleFor is how long a client leaves a connection idle: four fifths of
	// idle_timeout_ms.
	idleFor = 12 * time.Second
	// keptClients are the clients that use one connection for all of their requests.
	keptClients = 20
	// configApply is config_apply_ms.
	configApply = 2 * time.Second
)

// playDescriptors lets many users come at once while a machine is replaced, and changes the
// configuration once they have gone.
func playDescriptors(recordPath string, trouble bool) (bool, error) {
	d, err := newDeployment(recordPath, 284)
	if err != nil {
		return false, err
	}
	defer d.close()
	services := []object{plainService("order-desk"), plainService("order-desk-2")}
	routeTo := func(service string) []object {
		return []object{{
			"name": "stock-check", "hostname": siteHost, "path_prefix": "/stock/", "route_type": "safe", "timeout_ms": 1000,
			"target_latency_ms": 150, "priority": 2, "service": service, "max_attempts": 2, "public": false,
		}}
	}
	d.configure(routeTo("order-desk"), services, nil)
	var old []*replica
	for n := range 3 {
		r, err := d.startReplica(fmt.Sprintf("i-desk-%d", n+1), "order-desk", 6, answerAfter(5*time.Millisecond))
		if err != nil {
			return false, err
		}
		old = append(old, r)
		if _, err := d.startReplica(fmt.Sprintf("i-desk2-%d", n+1), "order-desk-2", 6, answerAfter(5*time.Millisecond)); err != nil {
			return false, err
		}
	}
	if err := d.newGateways(3); err != nil {
		return false, err
	}
	first, leaving, added := d.gateways[0], d.gateways[1], d.gateways[2]
	for _, g := range []*gateway{first, leaving} {
		if err := g.start(); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)

	var ids, open, answered, unanswered atomic.Int64
	ask := func(c *client) (string, answer) {
		id := fmt.Sprintf("r%d", ids.Add(1))
		if err := c.send("GET", "/stock/x", id, time.Second, "", nil); err != nil {
			return id, answer{err: err}
		}
		return id, c.receive("GET")
	}
	stop := make(chan struct{})
	var kept []*client
	for range keptClients {
		c, err := d.dialClient(first.frontend)
		if err != nil {
			return false, err
		}
		kept = append(kept, c)
	}
	var keptWait sync.WaitGroup
	for _, c := range kept {
		keptWait.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Second):
					_, _ = ask(c)
				}
			}
		})
	}
	// user sends one request on a new connection and leaves that open for a while.
	user := func() {
		c, err := d.dialClient(first.frontend)
		if err != nil {
			unanswered.Add(1)
			return
		}
		open.Add(1)
		defer open.Add(-1)
		defer c.Close()
		if _, a := ask(c); a.err != nil {
			unanswered.Add(1)
			return
		}
		answered.Add(1)
		time.Sleep(idleFor)
	}
	come := func(rate float64, span time.Duration) {
		began := time.Now()
		for n := 0; time.Since(began) < span; n++ {
			go user()
			time.Sleep(time.Until(began.Add(time.Duration(float64(n+1) / rate * float64(time.Second)))))
		}
	}
	d.record.say("%s is taken away: the platform sends it SIGTERM", leaving.name)
	leaving.signal(syscall.SIGTERM)
	come(usualRate, 4*time.Second)
	rate := float64(usualRate)
	if trouble {
		rate *= burstFactor
		d.record.say("burst: %.0f users a second for %v", rate, burstFor)
	}
	started := make(chan error, 1)
	go func() {
		time.Sleep(burstFor)
		d.record.say("%s is added; users have %d connections open, %d requests were answered, %d were not", added.name, open.Load(), answered.Load(), unanswered.Load())
		started <- added.start()
	}()
	come(rate, burstFor)
	come(usualRate, 5*time.Second)
	if err := <-started; err != nil {
		d.record.say("%v", err)
	}
	// The users' connections end.
	time.Sleep(idleFor + time.Second)
	d.record.say("users have %d connections open; %s runs: %v, and says that it is ready: %v", open.Load(), first.name, first.running(), first.ready())
	// More than contact_ms later.
	time.Sleep(4 * time.Second)
	close(stop)
	keptWait.Wait()
	d.configure(routeTo("order-desk-2"), services, nil)
	time.Sleep(configApply + 4*time.Second)
	ran, late := 0, 0
	for _, c := range kept {
		id, a := ask(c)
		atOld := false
		for _, r := range old {
			atOld = atOld || r.ran(id)
		}
		d.record.add("kept connection: %s got %v, run by the old service: %v", id, a, atOld)
		if a.err != nil {
			continue
		}
		ran++
		if atOld {
			late++
		}
	}
	d.record.say("%d requests were sent to %s on kept connections %v after the acknowledgement; the old service ran %d of them", ran, first.name, configApply+4*time.Second, late)
	first.trace(filepath.Dir(recordPath))
	first.signal(syscall.SIGTERM)
	for end := time.Now().Add(graceS * time.Second); first.running() && time.Now().Before(end); {
		time.Sleep(100 * time.Millisecond)
	}
	d.record.say("after a SIGTERM and grace_s %s still runs: %v", first.name, first.running())
	return late > 0, nil
}
