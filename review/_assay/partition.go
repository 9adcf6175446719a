package main

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// partition is the link of a replica. While it is cut, nothing passes in either direction, and
// connections to it hang. What was sent, and the ends of connections, arrive once it has healed,
// unless the machine has lost power.
type partition struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	healed *sync.Cond
	isCut  bool
	// era grows when the machine loses power.
	era int
	// fillers take the places of the queue of new connections while the link is cut, so that
	// the kernel drops further ones.
	fillers []net.Conn
}

func (w *world) newPartition(target string) (*partition, error) {
	listener, err := net.Listen("tcp", w.newIP()+":0")
	if err != nil {
		return nil, err
	}
	p := &partition{listener: listener, target: target}
	p.healed = sync.NewCond(&p.mu)
	go func() {
		for {
			p.await()
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.pass(conn)
		}
	}()
	return p, nil
}

// await waits until the link is whole, and returns its era.
func (p *partition) await() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.isCut {
		p.healed.Wait()
	}
	return p.era
}

// setQueue sets how many connections may wait to be accepted.
func (p *partition) setQueue(length int) {
	if raw, err := p.listener.(*net.TCPListener).SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), length) })
	}
}

func (p *partition) cut(isCut bool) {
	p.mu.Lock()
	p.isCut = isCut
	p.mu.Unlock()
	if isCut {
		p.setQueue(0)
		// The call of Accept in progress returns one of these, and the queue holds the others.
		for range 4 {
			conn, err := net.DialTimeout("tcp", p.listener.Addr().String(), 20*time.Millisecond)
			if err != nil {
				break
			}
			p.fillers = append(p.fillers, conn)
		}
		return
	}
	for _, conn := range p.fillers {
		_ = conn.Close()
	}
	p.fillers = nil
	p.setQueue(128)
	p.healed.Broadcast()
}

// forget drops the connections of a machine that has lost power: nothing more comes of them.
func (p *partition) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.era++
}

func (p *partition) pass(conn net.Conn) {
	era := p.await()
	to, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		if tcp, ok := conn.(*net.TCPConn); ok {
			// Nothing listens there.
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.copy(to, conn, era) })
	both.Go(func() { p.copy(conn, to, era) })
	both.Wait()
	_ = conn.Close()
	_ = to.Close()
}

func (p *partition) copy(to, from net.Conn, era int) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if p.await() != era {
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if half, ok := to.(*net.TCPConn); ok {
				_ = half.CloseWrite()
			}
			return
		}
	}
}
