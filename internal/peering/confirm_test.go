package peering

import (
	"testing"
	"time"

	"filbertusher/internal/boottime"
	"filbertusher/internal/roster"
	"filbertusher/pkg/usher"
)

// What most instances state since a time confirms the endpoints that are known. A minority
// may have been cut off from the store together.
func TestRosterConfirmation(t *testing.T) {
	const own, newer = 10, 11
	const since = boottime.Time(1000)
	agrees, agreedBefore, knowsNewer := peer{rosterVersion: own, askedAt: since}, peer{rosterVersion: own, askedAt: since - 1}, peer{rosterVersion: newer, askedAt: since}
	sameLater, othersLater := knowsNewer, knowsNewer
	sameLater.rosterDigest, othersLater.rosterDigest = roster.New(0, time.Now, nil).Snapshot().Digest, 7
	for name, test := range map[string]struct {
		peers []peer
		want  bool
	}{
		"no peers":                 {nil, false},
		"one agrees":               {[]peer{agrees}, true},
		"one is silent":            {[]peer{agreedBefore}, false},
		"half":                     {[]peer{agrees, agreedBefore, agreedBefore}, false},
		"most":                     {[]peer{agrees, agrees, agreedBefore}, true},
		"one knows newer":          {[]peer{agrees, agrees, knowsNewer}, false},
		"same at a later revision": {[]peer{agrees, agrees, sameLater}, true},
		"others at a later one":    {[]peer{agrees, agrees, othersLater}, false},
	} {
		r := roster.New(0, time.Now, nil)
		r.Apply(nil, own)
		p := New(usher.GatewayInstance{Name: "self"}, nil, Dependencies{Roster: r})
		for i := range test.peers {
			p.peers[string(rune('a'+i))] = &test.peers[i]
		}
		if got := p.isRosterConfirmed(since); got != test.want {
			t.Errorf("%s: confirmed %v, want %v", name, got, test.want)
		}
	}
}
