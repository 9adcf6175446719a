package peering

import (
	"expvar"

	"filbertusher/internal/blame"
	"filbertusher/internal/peerrpc"
	"filbertusher/internal/peerstate"
	"filbertusher/internal/streamorigin"
	"filbertusher/internal/telemetry"
	"filbertusher/pkg/usher"
)

const (
	// sameZone and otherZone say in the names of metrics where the peer is. One that is not
	// known yet counts as being in another zone.
	sameZone  = "SameZone"
	otherZone = "OtherZone"
)

// account counts the bytes of what this instance states to peers, by part and zone, and of
// all calls that it makes, in both directions.
type account struct {
	same, other zoneAccount
}

type zoneAccount struct {
	parts          []*expvar.Int
	blame, streams *expvar.Int
	calls          peerrpc.Meter
}

func newAccount() *account {
	return &account{same: newZoneAccount(sameZone), other: newZoneAccount(otherZone)}
}

func newZoneAccount(zone string) zoneAccount {
	metrics := telemetry.NewMetrics("peerBytes")
	a := zoneAccount{
		blame: metrics.Counter("blame" + zone), streams: metrics.Counter("streams" + zone),
		calls: peerrpc.Meter{In: metrics.Counter("replies" + zone), Out: metrics.Counter("calls" + zone)},
	}
	for _, part := range peerstate.Parts() {
		a.parts = append(a.parts, metrics.Counter(part.String()+zone))
	}
	return a
}

func (a *account) zone(isSame bool) *zoneAccount {
	if isSame {
		return &a.same
	}
	return &a.other
}

func (a *account) add(isSame bool, size *peerstate.PartBytes, rest *Report) {
	zone := a.zone(isSame)
	for part, bytes := range size {
		zone.parts[part].Add(int64(bytes))
	}
	zone.blame.Add(blameBytes(rest.Blame))
	zone.streams.Add(streamBytes(&rest.Streams))
}

// numberBytes is the size of a number that is mostly large, such as a digest.
const numberBytes = 9

// blameBytes returns about how many bytes the records take.
func blameBytes(records []blame.Record) (bytes int64) {
	for i := range records {
		bytes += int64(4+len(records[i].Crashes)) * numberBytes
	}
	return bytes
}

// streamBytes returns about how many bytes the origins of streams take.
func streamBytes(report *streamorigin.Report) (bytes int64) {
	origin := func(o *streamorigin.Origin) int64 { return int64(len(o.Service) + len(o.Software)) }
	for i := range report.Versions {
		bytes += origin(&report.Versions[i].Origin) + numberBytes
	}
	for i := range report.Streams {
		bytes += origin(&report.Streams[i].Origin) + int64(len(report.Streams[i].Keys))*numberBytes
	}
	return bytes
}

// BytesState returns the section of the diagnostic dump with the bytes that were stated to
// peers, by part, and those of the calls to them.
func (p *Peering) BytesState() any {
	a := p.account
	values := make(map[string]int64)
	add := func(zone string, z *zoneAccount) {
		for i, part := range peerstate.Parts() {
			values[part.String()+zone] = z.parts[i].Value()
		}
		values["blame"+zone], values["streams"+zone] = z.blame.Value(), z.streams.Value()
		values["replies"+zone], values["calls"+zone] = z.calls.In.Value(), z.calls.Out.Value()
	}
	add(sameZone, &a.same)
	add(otherZone, &a.other)
	return values
}

// meter returns the counters of the calls to a peer.
func (p *Peering) meter(zone usher.AvailabilityZone) *peerrpc.Meter {
	return &p.account.zone(zone == p.self.Zone).calls
}
