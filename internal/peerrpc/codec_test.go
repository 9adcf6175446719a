package peerrpc

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
)

// testLimit is the bound on messages in the tests of it.
const testLimit = 1 << 20

// endlessMessages are bytes that a peer may send where a message is due. After them, it sends
// more without end.
var endlessMessages = map[string]string{
	// The length is 1 GB.
	"long message": "\xfc\x3f\xff\xff\xff",
	"other bytes":  "\xff\xff\xff",
	"text":         "GET / HTTP/1.1\r\n",
}

// writeEndless writes bytes until the connection is closed, and returns whether that came
// within what a peer may send.
func writeEndless(conn net.Conn, begin string) bool {
	const most = 64 * testLimit
	block := []byte(strings.Repeat("x", 1<<16))
	_, err := io.WriteString(conn, begin)
	for sent := 0; err == nil && sent < most; sent += len(block) {
		_, err = conn.Write(block)
	}
	return err != nil
}

// A peer that sent a message without end used up to 1 GB of memory for each connection.
func TestServerClosesConnectionOfEndlessMessage(t *testing.T) {
	for name, begin := range endlessMessages {
		t.Run(name, func(t *testing.T) {
			client, server := net.Pipe()
			defer client.Close()
			s := NewServer(listen(t), testLimit)
			if err := s.Register("Echo", &Echo{}); err != nil {
				t.Fatal(err)
			}
			ended := make(chan struct{})
			go func() {
				s.serve(server)
				close(ended)
			}()
			if !writeEndless(client, begin) {
				t.Error("the connection was not closed")
			}
			_ = client.Close()
			<-ended
		})
	}
}

func TestClientClosesConnectionOfEndlessReply(t *testing.T) {
	for name, begin := range endlessMessages {
		t.Run(name, func(t *testing.T) {
			listener := listen(t)
			closed := make(chan bool, 1)
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					closed <- false
					return
				}
				defer conn.Close()
				closed <- writeEndless(conn, begin)
			}()
			client := New(listener.Addr().String(), testLimit)
			defer client.Close()
			err := client.Call(t.Context(), "Echo.Back", &[]byte{}, &[]byte{})
			lost := new(ReplyLostError)
			if !errors.As(err, &lost) {
				t.Errorf("error is %v, want a ReplyLostError", err)
			}
			if !<-closed {
				t.Error("the connection was not closed")
			}
		})
	}
}

// A message as long as the limit allows is read, and one that is longer fails its call only.
func TestMessagesUpToLimit(t *testing.T) {
	listener := listen(t)
	server := NewServer(listener, testLimit)
	if err := server.Register("Echo", &Echo{}); err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(t.Context()) }()
	client := New(listener.Addr().String(), testLimit)
	defer client.Close()
	const overhead = 16
	for _, length := range []int{testLimit - overhead, testLimit + 1, testLimit - overhead} {
		args, reply := make([]byte, length), []byte(nil)
		err := client.Call(t.Context(), "Echo.Back", &args, &reply)
		if fits := length < testLimit; fits != (err == nil) || fits && len(reply) != length {
			t.Errorf("a message of %d bytes: %d bytes returned, error %v", length, len(reply), err)
		}
	}
}
