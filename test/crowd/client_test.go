package crowd_test

import (
	"context"
	"encoding/gob"
	"fmt"
	"math"
	"net"
	"net/rpc"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"filbertusher/internal/pause"
)

const (
	// blockBytes is how much a client writes at once.
	blockBytes = 32 << 10
	// stayTime is how long the clients stay at least after they have sent all.
	stayTime = 4 * time.Second
	// againPause is how long a client waits until it connects anew.
	againPause = 20 * time.Millisecond
)

// crowd is a number of clients that send the same.
type crowd struct {
	connections int
	address     string
	again       bool
	beside      int
	parts       []part
}

// part is a text that is sent a number of times. block is the text repeated.
type part struct {
	bytes int64
	block []byte
}

// requestHead is the head of a request, without its end. The site and the entry ignore the
// fields that are meant for the other one.
const requestHead = "%s %s HTTP/1.1\r\nHost: site.example\r\nX-Filbertusher-Attempt-Id: crowd\r\nX-Filbertusher-Deadline-Ms: 9000\r\n" +
	"X-Filbertusher-Credential: key\r\nAuthorization: Bearer token-of-regenfass\r\n"

func newCrowd(t *testing.T, d *datadriven.TestData) *crowd {
	t.Helper()
	c := &crowd{address: "callers", again: d.HasArg("again")}
	d.ScanArgs(t, "connections", &c.connections)
	d.MaybeScanArgs(t, "address", &c.address)
	d.MaybeScanArgs(t, "beside", &c.beside)
	for line := range strings.Lines(d.Input) {
		first, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
		if first == "head" {
			method, path, _ := strings.Cut(rest, " ")
			c.parts = append(c.parts, newPart(1, fmt.Sprintf(requestHead, method, path)))
			continue
		}
		if first == "call" {
			c.parts = append(c.parts, newPart(1, encodeCall(t, rest)))
			continue
		}
		if first == "fields" {
			c.parts = append(c.parts, newPart(1, differentFields(t, rest)))
			continue
		}
		times, err := strconv.ParseInt(strings.Replace(first, "endless", strconv.Itoa(math.MaxInt32), 1), 10, 64)
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		text, err := strconv.Unquote(rest)
		if err != nil {
			d.Fatalf(t, "%s: %v", rest, err)
		}
		c.parts = append(c.parts, newPart(times, text))
	}
	return c
}

// encodeCall returns the header of a call as peers send it. The arguments follow it.
func encodeCall(t *testing.T, method string) string {
	t.Helper()
	var header strings.Builder
	if err := gob.NewEncoder(&header).Encode(&rpc.Request{ServiceMethod: method}); err != nil {
		t.Fatal(err)
	}
	return header.String()
}

// differentFields returns a number of header fields, each with another short name.
func differentFields(t *testing.T, count string) string {
	t.Helper()
	n, err := strconv.ParseInt(count, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	const base = 36
	var fields strings.Builder
	for name := int64(base * base); name < base*base+n; name++ {
		fields.WriteString(strconv.FormatInt(name, base) + ":\r\n")
	}
	return fields.String()
}

func newPart(times int64, text string) part {
	repeated := min(times, 1+blockBytes/int64(len(text)))
	return part{bytes: times * int64(len(text)), block: []byte(strings.Repeat(text, int(repeated)))}
}

// come lets the clients connect, and all of them send then. It returns stayTime after they
// have sent what they send or were closed, or after sendTime. They keep their connections
// until leave is called.
func (c *crowd) come(ctx context.Context, address string) (leave func()) {
	ctx, cancel := context.WithCancel(ctx)
	sendUntil := time.Now().Add(sendTime)
	var connecting, sending, staying sync.WaitGroup
	// Clients wait for each other, so all are counted before the first is done.
	connecting.Add(c.connections)
	sending.Add(c.connections)
	for range c.connections {
		staying.Go(func() {
			conn := dial(ctx, address, sendUntil)
			connecting.Done()
			connecting.Wait()
			c.visit(ctx, conn, address, sendUntil, sync.OnceFunc(sending.Done))
		})
	}
	sending.Wait()
	time.Sleep(stayTime)
	return func() {
		cancel()
		staying.Wait()
	}
}

// dial opens a connection. It returns nil if the process accepts none.
func dial(ctx context.Context, address string, until time.Time) net.Conn {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil
	}
	return conn
}

// visit is one client. It calls sent when it has sent all.
func (c *crowd) visit(ctx context.Context, conn net.Conn, address string, sendUntil time.Time, sent func()) {
	defer sent()
	if !c.again {
		c.use(ctx, conn, sendUntil, sent)
		return
	}
	// A client that comes again goes on until the crowd leaves.
	time.AfterFunc(time.Until(sendUntil), sent)
	for ctx.Err() == nil {
		c.use(ctx, conn, time.Now().Add(sendTime), func() {})
		pause.For(ctx, againPause)
		conn = dial(ctx, address, time.Now().Add(sendTime))
	}
	if conn != nil {
		_ = conn.Close()
	}
}

// use sends over a connection and keeps it until it is closed or ctx ends.
func (c *crowd) use(ctx context.Context, conn net.Conn, sendUntil time.Time, sent func()) {
	if conn == nil {
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	_ = conn.SetWriteDeadline(sendUntil)
	for _, part := range c.parts {
		for left := part.bytes; left > 0; {
			n, err := conn.Write(part.block[:min(left, int64(len(part.block)))])
			left -= int64(n)
			if err != nil {
				sent()
				c.stay(ctx, conn)
				return
			}
		}
	}
	sent()
	c.stay(ctx, conn)
}

// stay keeps a connection without reading what comes until the process closes it, which a
// client notices when it probes it.
func (c *crowd) stay(ctx context.Context, conn net.Conn) {
	for ctx.Err() == nil && !isClosed(conn) {
		pause.For(ctx, againPause)
	}
}
