package main

import (
	"net"
	"sync"
	"time"
)

// partition is the link of a replica. While it is cut, nothing passes in either direction, and
// what was sent, and the ends of connections, arrive once it has healed.
type partition struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	healed *sync.Cond
	isCut  bool
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
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.pass(conn)
		}
	}()
	return p, nil
}

func (p *partition) await() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.isCut {
		p.healed.Wait()
	}
}

func (p *partition) cut(isCut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = isCut
	p.healed.Broadcast()
}

func (p *partition) pass(conn net.Conn) {
	p.await()
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
	both.Go(func() { p.copy(to, conn) })
	both.Go(func() { p.copy(conn, to) })
	both.Wait()
	_ = conn.Close()
	_ = to.Close()
}

func (p *partition) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.await()
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
