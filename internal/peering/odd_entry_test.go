package peering

import (
	"context"
	"math"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"filbertusher/internal/peerrpc"
	"filbertusher/internal/roster"
	"filbertusher/internal/routing"
	"filbertusher/pkg/usher"
)

// A peer of an earlier version passes on odd entries of another writer, which it took from
// the store. They name no endpoint to use, wherever they stand, and the others hold. They
// were used before, and slots beyond the range of an integer made the sum of a service's
// slots negative.
func TestOddEntriesFromPeer(t *testing.T) {
	sound := usher.Registration{Name: "e0", Service: "s", Address: "10.0.0.1:80", Slots: 4, Born: 1}
	for name, odd := range map[string]usher.Registration{
		"slots":      {Name: "odd", Service: "s", Address: "10.0.0.2:80", Slots: math.MaxInt},
		"no slots":   {Name: "odd", Service: "s", Address: "10.0.0.2:80"},
		"port":       {Name: "odd", Service: "s", Address: "10.0.0.2:65536", Slots: 4},
		"port zero":  {Name: "odd", Service: "s", Address: "10.0.0.2:0", Slots: 4},
		"no address": {Name: "odd", Service: "s", Slots: 4},
		"no service": {Name: "odd", Address: "10.0.0.2:80", Slots: 4},
	} {
		for _, oddIsLast := range []bool{false, true} {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			list := []usher.EndpointChange{{Registration: sound, Usable: true}, {Registration: odd, Usable: true}}
			if !oddIsLast {
				list[0], list[1] = list[1], list[0]
			}
			server := peerrpc.NewServer(listener, peerrpc.SmallMessages)
			if err := server.Register(serviceName, &earlierPeer{list: EndpointList{Revision: 5, Endpoints: list}}); err != nil {
				t.Fatal(err)
			}
			go func() { _ = server.Serve(ctx) }()
			client := peerrpc.New(listener.Addr().String(), peerrpc.SmallMessages)
			known := roster.New(0, time.Now, func(usher.EndpointChange, string) {})
			p := New(usher.GatewayInstance{Name: "self"}, nil, Dependencies{
				Routes: routing.NewHolder(func(usher.Version, usher.Version, string) {}), Roster: known, Log: zerolog.Nop(),
				OnEndpointsChanged: func() {},
			})
			p.fetchNewer(ctx, &peer{client: client}, &Report{RosterVersion: 5})
			if diff := cmp.Diff(map[usher.EndpointName]usher.Registration{"e0": sound}, known.Snapshot().ByName); diff != "" {
				t.Errorf("%s, last %v: endpoints (-want +got):\n%s", name, oddIsLast, diff)
			}
			client.Close()
			cancel()
		}
	}
}

// earlierPeer is the RPC service of a peer that passes on a list as it is.
type earlierPeer struct{ list EndpointList }

// Endpoints is the method that peers call.
func (p *earlierPeer) Endpoints(_ *Empty, reply *EndpointList) error {
	*reply = p.list
	return nil
}
