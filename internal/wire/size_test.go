package wire

import (
	"bytes"
	"encoding/gob"
	"testing"
	"time"

	"filbertusher/pkg/usher"
)

// BenchmarkReservation reports the size in bytes of the messages that late
// binding (reserving, then submitting) adds to a queued request, and of those with which
// an entry tells a companion that it stops. Gob sends type
// descriptions once per connection, so they are not counted.
func BenchmarkReservation(b *testing.B) {
	header := usher.RequestHeader{
		ID: "f3a1c2d4-0000-4000-8000-000000000000-1a2b", Attempt: 2, Workspace: "regenfass-2", Service: "advice",
		Tier: "urgent", Deadline: time.Now(), Cost: usher.RequestCost{PromptTokens: 100, AnswerTokens: 40},
		Digest: usher.DigestOf([]byte("body")), Idempotent: true, Stream: true,
	}
	caller := Caller{Incarnation: "f3a1c2d4-0000-4000-8000-000000000000", ConfigVersion: 12345}
	load := usher.LoadReport{Endpoint: "advice-0", Running: 10, Waiting: 3, Limit: 16, DecodePerToken: time.Millisecond, PrefillPerToken: time.Microsecond}
	for i := range load.WaitByRank {
		load.WaitByRank[i] = time.Second
	}
	status := Status{Incarnation: caller.Incarnation, ConfigVersion: 12345, Load: load}
	stopping := caller
	stopping.StopsIn = 30 * time.Second
	messages := []struct {
		name    string
		message any
	}{
		{"reserve", &ReserveArgs{Caller: caller, Header: header, Remaining: time.Second}},
		{"granted", &ReserveReply{Status: status, Grant: 7}},
		{"takeBack", &WithdrawArgs{Caller: caller, ID: header.ID, TakeBack: true}},
		{"takenBack", &WithdrawReply{Status: status, Outcome: usher.OutcomeNotRun}},
		{"stop", &PingArgs{Caller: stopping}},
		{"stopReply", &PingReply{Status: status}},
	}
	for _, test := range messages {
		b.Run(test.name, func(b *testing.B) {
			var buffer bytes.Buffer
			encoder := gob.NewEncoder(&buffer)
			if err := encoder.Encode(test.message); err != nil {
				b.Fatal(err)
			}
			buffer.Reset()
			for range b.N {
				if err := encoder.Encode(test.message); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(buffer.Len())/float64(b.N), "B/message")
		})
	}
}
