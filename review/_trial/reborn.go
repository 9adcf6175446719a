package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// rebornEvents is the number of events of a whole answer.
	rebornEvents  = 58
	rebornClients = 8
	// cutFor is how long the replica is partitioned. It is shorter than the two seconds
	// after which a second keep-alive probe of the gateway goes without a reply.
	cutFor = 1900 * time.Millisecond
	// crashAfter and downFor are when the replica crashes behind the cut, and for how long
	// it is down.
	crashAfter = 200 * time.Millisecond
	downFor    = 2 * time.Second
	// repeatedAfter is when what was sent at the beginning of the cut arrives. A kernel
	// repeats it, also the end of a connection whose process is gone, after 0.2, 0.6, 1.4
	// and 3.0 s. Clients leave a stream of this route after a gap of 4 s, four times the
	// objective.
	repeatedAfter = 3100 * time.Millisecond
)

// serveReplica is the process of a replica whose answers have no length: they end with
// their connection. It prints what it runs.
func serveReplica(address, id string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Println("listens")
	return http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		attempt := request.Header.Get("X-Filbertusher-Attempt-Id")
		if request.Header.Get("X-Filbertusher-Expect-Instance") != id {
			w.Header().Set("X-Filbertusher-Attempt-Id", attempt)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		fmt.Println("runs", attempt)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Filbertusher-Attempt-Id: %s\r\nX-Filbertusher-Response-Seal: %s.%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", attempt, id, attempt)
		first, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
		for n := first + 1; n <= rebornEvents; n++ {
			time.Sleep(eventInterval)
			if _, err := fmt.Fprintf(conn, "id: %d\ndata: %s %d\n\n", n, attempt, n); err != nil {
				fmt.Println("breaks off", attempt)
				return
			}
		}
		fmt.Println("ends", attempt)
	}))
}

// link is the network between the machines and a replica. While it is cut, no connection
// is opened, and what either side sends, also the end of a connection, is held up until it
// is repeated.
type link struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	// healed is closed when connections can be opened, and repeated when what was held
	// up arrives.
	healed, repeated chan struct{}
}

func newLink(ip, target string) (*link, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, healed: make(chan struct{}), repeated: make(chan struct{})}
	close(l.healed)
	close(l.repeated)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.carry(conn.(*net.TCPConn))
		}
	}()
	return l, nil
}

func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.healed, l.repeated = make(chan struct{}), make(chan struct{})
}

func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.healed)
}

func (l *link) repeat() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.repeated)
}

func (l *link) gates() (healed, repeated chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.healed, l.repeated
}

func (l *link) carry(near *net.TCPConn) {
	healed, _ := l.gates()
	<-healed
	conn, err := net.Dial("tcp", l.target)
	if err != nil {
		// No process listens: a real machine resets the connection.
		_ = near.SetLinger(0)
		_ = near.Close()
		return
	}
	far := conn.(*net.TCPConn)
	var wait sync.WaitGroup
	// Only connections of before the cut have to wait for what is repeated.
	_, opened := l.gates()
	one := func(from, to *net.TCPConn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			if _, repeated := l.gates(); repeated != opened {
				<-repeated
			}
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					_ = from.SetLinger(0)
					_ = from.Close()
					return
				}
			}
			switch {
			case err == io.EOF:
				_ = to.CloseWrite()
				return
			case err != nil:
				_ = to.SetLinger(0)
				_ = to.Close()
				return
			}
		}
	}
	wait.Go(func() { one(near, far) })
	wait.Go(func() { one(far, near) })
	wait.Wait()
	_ = near.Close()
	_ = far.Close()
}

// startProcess starts the process of a replica and records what it prints.
func (d *deployment) startProcess(address, id string, ran *sync.Map) (*exec.Cmd, error) {
	command := exec.Command(os.Args[0], "replica", address, id)
	output, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := command.Start(); err != nil {
		return nil, err
	}
	listens := make(chan bool, 1)
	go func() {
		lines := bufio.NewScanner(output)
		for lines.Scan() {
			if lines.Text() == "listens" {
				listens <- true
				continue
			}
			d.record.add("replica %s %s", id, lines.Text())
			if attempt, found := strings.CutPrefix(lines.Text(), "runs "); found {
				ran.Store(attempt, true)
			}
		}
		close(listens)
	}()
	if !<-listens {
		return nil, fmt.Errorf("the replica does not listen on %s", address)
	}
	return command, nil
}

// playReborn cuts a replica off while it streams answers without a length. It crashes behind
// the cut and starts again.
func playReborn(recordPath string, trouble bool) (bool, error) {
	d, err := newDeployment(recordPath, 284)
	if err != nil {
		return false, err
	}
	defer d.close()
	d.configure([]object{{
		"name": "installer-answer", "hostname": siteHost, "path_prefix": "/answer/", "route_type": "streaming", "timeout_ms": 15000,
		"target_latency_ms": 1000, "priority": 1, "service": "advice-models", "max_attempts": 1, "public": false,
		"session_affinity": true, "stream_resume": false, "gap_aim_ms": 400,
	}}, []object{engineService("advice-models", 14)}, nil)
	addresses, err := freePorts(d.ip+".3", 1)
	if err != nil {
		return false, err
	}
	const id = "i-advice-1"
	var ran sync.Map
	process, err := d.startProcess(addresses[0], id, &ran)
	if err != nil {
		return false, err
	}
	defer func() { _ = process.Process.Kill(); _ = process.Wait() }()
	network, err := newLink(d.ip+".4", addresses[0])
	if err != nil {
		return false, err
	}
	var born, silent atomic.Int64
	born.Store(time.Now().UnixMilli())
	go func() {
		for sequence := 1; ; sequence++ {
			if silent.Load() == 0 {
				d.write("servers/"+id, object{
					"service": "advice-models", "address": network.listener.Addr().String(), "zone": "zone-bern", "version": "v1", "slots": 14,
					"state": "ready", "cold_remaining_ms": 0, "sequence": sequence, "born": born.Load(),
				})
			}
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	if err := d.newGateways(1); err != nil {
		return false, err
	}
	g := d.gateways[0]
	if err := g.start(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var short, whole, cutOff atomic.Int64
	var wait sync.WaitGroup
	for n := range rebornClients {
		wait.Go(func() {
			c, err := d.dialClient(g.frontend)
			if err != nil {
				return
			}
			defer c.Close()
			attempt := fmt.Sprintf("request-%d", n)
			if err := c.send("POST", "/answer/x", attempt, 15*time.Second, "X-Filbertusher-Model-Name: m\r\nX-Filbertusher-Token-Count: 628,290\r\n", nil); err != nil {
				return
			}
			got := c.receive("POST")
			events := strings.Count(got.body, "\n\n")
			_, didRun := ran.Load(attempt)
			d.record.add("%s got %v, seal %q, %d events of %d, run by a replica: %v", attempt, got, got.seal, events, rebornEvents, didRun)
			switch {
			case got.err != nil || got.status != http.StatusOK:
				cutOff.Add(1)
			case events < rebornEvents:
				short.Add(1)
			default:
				whole.Add(1)
			}
		})
		time.Sleep(13 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		network.cut()
		silent.Store(1)
		d.record.say("the replica is cut off")
		time.Sleep(crashAfter)
		_ = process.Process.Signal(syscall.SIGKILL)
		_ = process.Wait()
		d.record.say("the replica crashes behind the cut")
		time.Sleep(cutFor - crashAfter)
		network.heal()
		d.record.say("the cut heals")
		time.Sleep(crashAfter + downFor - cutFor)
		if process, err = d.startProcess(addresses[0], id, &ran); err != nil {
			return false, err
		}
		born.Store(time.Now().UnixMilli())
		silent.Store(0)
		d.record.say("the replica has started again")
		time.Sleep(repeatedAfter - crashAfter - downFor)
		network.repeat()
		d.record.say("what was held up by the cut is repeated and arrives")
	}
	wait.Wait()
	d.record.say("%d streams ended as complete with all events, %d ended as complete before their last event, %d were cut off", whole.Load(), short.Load(), cutOff.Load())
	if !trouble && whole.Load() == 0 {
		return false, fmt.Errorf("no stream was answered")
	}
	return short.Load() > 0, nil
}
