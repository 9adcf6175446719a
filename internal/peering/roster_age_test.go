package peering

import (
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"filbertusher/internal/blame"
	"filbertusher/internal/boottime"
	"filbertusher/internal/dispatch"
	"filbertusher/internal/peerrpc"
	"filbertusher/internal/quota"
	"filbertusher/internal/roster"
	"filbertusher/internal/routing"
	"filbertusher/internal/streamorigin"
	"filbertusher/pkg/usher"
)

// reportingPeer is the RPC service of a peer that replies with a report as it is.
type reportingPeer struct{ report Report }

// Exchange is the method that peers call.
func (p *reportingPeer) Exchange(_, reply *Report) error {
	*reply = p.report
	return nil
}

// A peer's proof counts for the same registrations only.
func TestPeerProvesRosterOfSameRegistrations(t *testing.T) {
	const proofAge = 300 * time.Millisecond
	endpoint := usher.EndpointChange{Usable: true, Registration: usher.Registration{Name: "e", Service: "s", Address: "10.0.0.1:80", Slots: 4}}
	leaving := endpoint
	leaving.Leaving = true
	digestOf := func(changes ...usher.EndpointChange) uint64 {
		r := roster.New(0, time.Now, nil)
		r.Apply(changes, 9)
		return r.Snapshot().Digest
	}
	for name, test := range map[string]struct {
		digest uint64
		want   bool
	}{
		"same":            {digestOf(endpoint), true},
		"leaving":         {digestOf(leaving), false},
		"none":            {digestOf(), false},
		"earlier version": {0, false},
	} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := peerrpc.NewServer(listener, peerrpc.SmallMessages)
		if err := server.Register(serviceName, &reportingPeer{Report{RosterVersion: 5, RosterDigest: test.digest, RosterAge: proofAge}}); err != nil {
			t.Fatal(err)
		}
		go func() { _ = server.Serve(t.Context()) }()
		client := peerrpc.New(listener.Addr().String(), peerrpc.SmallMessages)
		known := roster.New(0, time.Now, nil)
		known.Apply([]usher.EndpointChange{endpoint}, 5)
		p := New(usher.GatewayInstance{Name: "self"}, nil, Dependencies{
			Routes: routing.NewHolder(nil), Roster: known, Scheduler: dispatch.New(dispatch.Options{Self: "self"}),
			Quota: quota.New(quota.Tolerance{}, "i", false, time.Now), Blame: blame.New(time.Now, nil), Streams: streamorigin.New(time.Now),
			Log: zerolog.Nop(), OnStoreAnswered: func(boottime.Time) {}, OnEndpointsChanged: func() {},
		})
		before := boottime.Now()
		p.exchange(t.Context(), &peer{client: client})
		if age := known.Age(); age < proofAge || (age < boottime.Since(before)+2*proofAge) != test.want {
			t.Errorf("%s: the age of the roster is %v, want one of the peer's: %v", name, age, test.want)
		}
		client.Close()
	}
}
