package entry

import (
	"context"
	"time"

	"filbertusher/internal/record"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

// maxRecordedCandidates is the maximum number of candidates in a line of the
// record. At the target size a service has dozens, and the lowest ranked ones
// do not help to explain a decision.
const maxRecordedCandidates = 4

// recordPrecision is the precision of times in the record. More digits are noise
// that does not compress.
const recordPrecision = time.Millisecond

func (r *request) recordedCandidates() []usher.Candidate {
	recorded := make([]usher.Candidate, min(len(r.candidates), maxRecordedCandidates))
	copy(recorded, r.candidates)
	for i := range recorded {
		recorded[i].Finish = recorded[i].Finish.Round(recordPrecision)
	}
	return recorded
}

// recordedTime returns when the request arrived, at the record's precision.
func (r *request) recordedTime() time.Time { return r.started.UTC().Truncate(recordPrecision) }

// recordContext returns the fields that a companion needs, besides the request
// header, to hold a complete line of the record.
func (r *request) recordContext() usher.RecordContext {
	recorded := usher.RecordContext{
		Time: r.recordedTime(), TokenName: r.tokenName, ConfigVersion: r.snapshot.Version,
		Candidates: r.recordedCandidates(),
	}
	if r.snapshot.ActivePreset != nil {
		recorded.Preset = r.snapshot.ActivePreset.Name
	}
	return recorded
}

// noteOffer notes the time of an offer and adds the endpoint to those whose companions may hold a copy of the
// decision. An endpoint that gets the request again moves to the end of the
// list.
func (r *request) noteOffer(endpoint usher.EndpointName) {
	r.reply = nil
	now := time.Now()
	r.sent.Store(&now)
	for i, earlier := range r.copies.Holders {
		if earlier == endpoint {
			r.copies.Holders = append(r.copies.Holders[:i], r.copies.Holders[i+1:]...)
			break
		}
	}
	r.copies.Holders = append(r.copies.Holders, endpoint)
}

// setCopyHeld records whether the companion that replied last holds the outcome
// that the caller gets.
func (r *request) setCopyHeld(held bool) {
	r.copies.LastConfirmed, r.copies.ConfirmedBy = held, ""
	if held && r.reply != nil {
		r.copies.ConfirmedBy = r.reply.Incarnation
	}
}

// companionHolds reports whether the companion that replied last holds a copy of
// the outcome that the caller gets. If the caller gets a different outcome, for
// example after a withdrawal, another copy is needed.
func (r *request) companionHolds(response *usher.Response, refusal *usher.Refusal) bool {
	if r.reply == nil || !r.reply.Held {
		return false
	}
	if refusal == nil {
		return response == r.reply.Answer
	}
	sent := r.reply.Refusal
	return sent != nil && sent.Kind == refusal.Kind && sent.Outcome == refusal.Outcome
}

// recordPeers gives the recorder access to the entry's existing connections to
// companions.
type recordPeers struct{ peers *peerSet }

var _ record.Peers = recordPeers{}

// RecordPeers returns the connections to companions for use by the recorder.
func (e *Entry) RecordPeers() record.Peers { return recordPeers{peers: e.peers} }

// Names implements record.Peers.
func (r recordPeers) Names() []usher.EndpointName {
	r.peers.mu.RLock()
	defer r.peers.mu.RUnlock()
	names := make([]usher.EndpointName, 0, len(r.peers.byName))
	for name := range r.peers.byName {
		names = append(names, name)
	}
	return names
}

// Exchange implements record.Peers.
func (r recordPeers) Exchange(ctx context.Context, endpoint usher.EndpointName, args *wire.RecordArgs) (*wire.RecordReply, error) {
	peer := r.peers.get(endpoint)
	if peer == nil {
		return nil, &record.UnknownPeerError{Endpoint: endpoint}
	}
	args.Caller = r.peers.entry.caller()
	reply := &wire.RecordReply{}
	return reply, peer.link.Call(ctx, wire.MethodRecord, args, reply)
}
