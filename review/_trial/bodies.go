package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// bodyBytes is a little less than max_body_bytes.
	bodyBytes = 4_000_000
	// uploads is how many clients send such a body at once.
	uploads = 48
	// streamClients have a stream on a kept connection meanwhile.
	streamClients = 20
	// lostAllowed is how many such requests may be closed without an answer.
	lostAllowed = 3
	bodiesMB    = 284
)

// residentMB returns the resident memory of the process in MB.
func (g *gateway) residentMB() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", g.command.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return float64(pages) * float64(os.Getpagesize()) / (1 << 20)
}

// limitMemory kills the process when it exceeds memory_mb, as the platform does.
func (g *gateway) limitMemory(peak *atomic.Int64, killed *atomic.Bool) {
	for g.running() {
		mb := g.residentMB()
		peak.Store(max(peak.Load(), int64(mb)))
		if mb > float64(g.deployment.memoryMB) {
			g.deployment.record.say("%s uses %.0f MB of %d: the platform kills it", g.name, mb, g.deployment.memoryMB)
			killed.Store(true)
			g.signal(syscall.SIGKILL)
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// playBodies lets clients send bodies of nearly max_body_bytes at once, while others receive
// streams.
func playBodies(recordPath string, trouble bool) (bool, error) {
	d, err := newDeployment(recordPath, bodiesMB)
	if err != nil {
		return false, err
	}
	defer d.close()
	d.configure([]object{{
		"name": "sizing-report", "hostname": siteHost, "path_prefix": "/plan/", "route_type": "streaming", "timeout_ms": 15000,
		"target_latency_ms": 800, "priority": 0, "service": "advice-models", "max_attempts": 2, "public": false, "session_affinity": true, "stream_resume": true, "gap_aim_ms": 400,
	}, {
		"name": "pump-order", "hostname": siteHost, "path_prefix": "/order/", "route_type": "unsafe", "timeout_ms": 5000,
		"target_latency_ms": 1000, "priority": 2, "service": "order-desk", "max_attempts": 1, "public": false,
	}}, []object{engineService("advice-models", 14), plainService("order-desk")}, nil)
	// The path names how many events the answer has.
	length := func(request *http.Request) (n int) {
		_, _ = fmt.Sscanf(strings.TrimPrefix(request.URL.Path, "/plan/"), "%d", &n)
		return n
	}
	var models []*replica
	for n := range 2 {
		r, err := d.startReplica(fmt.Sprintf("i-advice-%d", n+1), "advice-models", 14, stream(100*time.Millisecond, length))
		if err != nil {
			return false, err
		}
		models = append(models, r)
	}
	for n := range 4 {
		if _, err := d.startReplica(fmt.Sprintf("i-desk-%d", n+1), "order-desk", 6, answerAfter(30*time.Millisecond)); err != nil {
			return false, err
		}
	}
	if err := d.newGateways(1); err != nil {
		return false, err
	}
	g := d.gateways[0]
	if err := g.start(); err != nil {
		return false, err
	}
	var peak atomic.Int64
	var killed atomic.Bool
	go g.limitMemory(&peak, &killed)
	time.Sleep(4 * time.Second)

	const header = "X-Filbertusher-Model-Name: m\r\nX-Filbertusher-Token-Count: 6610,380\r\n"
	var lost, complete atomic.Int64
	var wait sync.WaitGroup
	for n := range streamClients {
		wait.Go(func() {
			c, err := d.dialClient(g.frontend)
			if err != nil {
				return
			}
			defer c.Close()
			id := fmt.Sprintf("stream-%d", n)
			// The connection is kept: it has served a request before.
			if err := c.send("POST", "/plan/3", "before-"+id, 15*time.Second, header, nil); err != nil {
				return
			}
			if got := c.receive("POST"); got.err != nil || got.closes {
				return
			}
			if err := c.send("POST", "/plan/76", id, 15*time.Second, header, nil); err != nil {
				return
			}
			got := c.receive("POST")
			ran := models[0].ran(id) || models[1].ran(id)
			d.record.add("%s got %v, %d events of 76, run by a replica: %v", id, got, strings.Count(got.body, "\n\n"), ran)
			switch {
			case got.err == nil:
				complete.Add(1)
			case ran:
				lost.Add(1)
			}
		})
	}
	time.Sleep(2 * time.Second)
	statuses := map[int]int{}
	var mu sync.Mutex
	if trouble {
		d.record.say("%d clients send a body of %d bytes each", uploads, bodyBytes)
		body := bytes.Repeat([]byte("x"), bodyBytes)
		for n := range uploads {
			wait.Go(func() {
				c, err := d.dialClient(g.frontend)
				if err != nil {
					return
				}
				defer c.Close()
				id := fmt.Sprintf("upload-%d", n)
				var got answer
				if err := c.upload("/order/x", id, body); err != nil {
					got = answer{err: err}
				} else {
					got = c.receive("POST")
				}
				d.record.add("%s got %v", id, got)
				mu.Lock()
				defer mu.Unlock()
				statuses[got.status]++
			})
		}
	}
	wait.Wait()
	d.record.say("uploads by status (0: no answer): %v; the most memory was %d MB of %d", statuses, peak.Load(), bodiesMB)
	d.record.say("%d streams were passed on to a replica and closed without a complete answer, %d were complete", lost.Load(), complete.Load())
	return lost.Load() > lostAllowed, nil
}

// upload sends a request at the pace that the machine's link of 1,000 Mbit/s leaves to each
// of the clients.
func (c *client) upload(path, id string, body []byte) error {
	c.note("POST", path, id, len(body))
	const linkBytesPerSecond = 1000e6 / 8
	if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Filbertusher-Attempt-Id: %s\r\nX-Filbertusher-Deadline-Ms: 5000\r\nContent-Length: %d\r\n\r\n", path, siteHost, id, len(body)); err != nil {
		return err
	}
	_ = c.SetDeadline(time.Now().Add(8 * time.Second))
	const chunk = 50_000
	began := time.Now()
	for sent := 0; sent < len(body); sent += chunk {
		if _, err := c.Write(body[sent:min(len(body), sent+chunk)]); err != nil {
			return err
		}
		time.Sleep(time.Until(began.Add(time.Duration(float64(sent+chunk) * uploads / linkBytesPerSecond * float64(time.Second)))))
	}
	return nil
}
