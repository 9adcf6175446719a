package companion_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

// brokenStream delivers the events of one connection, and then an error.
type brokenStream struct {
	events []usher.StreamEvent
	err    error
}

func (b *brokenStream) Next() (usher.StreamEvent, error) {
	if len(b.events) == 0 {
		return usher.StreamEvent{}, b.err
	}
	event := b.events[0]
	b.events = b.events[1:]
	return event, nil
}

func (b *brokenStream) Close() error { return nil }

// scriptedStreams returns one element of connections for each attempt to open or resume
// a stream; nil stands for an attempt that fails.
type scriptedStreams struct {
	usher.Backend
	connections []*brokenStream
}

func (s *scriptedStreams) next() (usher.EventStream, error) {
	if len(s.connections) == 0 {
		return nil, &usher.BackendError{Operation: "resume", Cause: errors.New("no further connection")}
	}
	connection := s.connections[0]
	s.connections = s.connections[1:]
	if connection == nil {
		return nil, &usher.BackendError{Operation: "resume", Cause: errors.New("connection refused")}
	}
	return connection, nil
}

func (s *scriptedStreams) Stream(context.Context, usher.RequestID, usher.FencingToken, *usher.Call) (usher.EventStream, *usher.Response, error) {
	stream, err := s.next()
	return stream, nil, err
}

func (s *scriptedStreams) Resume(context.Context, usher.RequestID, uint64) (usher.EventStream, error) {
	return s.next()
}

func (s *scriptedStreams) Cancel(context.Context, usher.RequestID) error { return nil }

// A stream that breaks is resumed as often after an attempt that made progress as before.
func TestResumeAfterProgress(t *testing.T) {
	broken := &usher.BackendError{Operation: "read stream", Reached: true, Cause: io.ErrUnexpectedEOF}
	connection := func(offset uint64, err error) *brokenStream {
		return &brokenStream{events: []usher.StreamEvent{{Offset: offset, Data: []byte("x")}}, err: err}
	}
	for name, connections := range map[string][]*brokenStream{
		"before progress": {connection(0, broken), nil, nil, connection(1, io.EOF)},
		"after progress":  {connection(0, broken), connection(1, broken), nil, nil, connection(2, io.EOF)},
		"twice":           {connection(0, broken), nil, nil, connection(1, broken), nil, nil, connection(2, io.EOF)},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixtureWith(t, &scriptedStreams{connections: connections})
			args := &wire.SubmitArgs{
				Caller: wire.Caller{Incarnation: "entry"}, Header: usher.RequestHeader{ID: "r", Attempt: 1, Stream: true},
				Remaining: time.Minute, MayWait: true, Stream: 1,
			}
			var reply wire.SubmitReply
			if err := f.rpc.Submit(args, &reply); err != nil || reply.State != wire.StateStreaming {
				t.Fatalf("Submit: %v, %+v", err, reply)
			}
			var collected wire.CollectReply
			for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); {
				next := wire.CollectReply{}
				collect := &wire.CollectArgs{Caller: args.Caller, Session: collected.Session, Ack: collected.Batch, Wait: time.Second}
				if err := f.rpc.Collect(collect, &next); err != nil {
					t.Fatal(err)
				}
				collected = next
				for _, event := range next.Events {
					switch event.End {
					case wire.EndComplete:
						return
					case wire.EndIncomplete:
						t.Fatalf("the stream was given up: %+v", event.Refusal)
					}
				}
			}
			t.Error("the stream did not end")
		})
	}
}
