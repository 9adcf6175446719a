package entry

import (
	"context"
	"time"

	"filbertusher/internal/record"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

// maxRecordedCandidates bounds how many of the ranked candidates a line of the
// record names. At the target size a service has dozens; those that were
// ranked last explain nothing.
const maxRecordedCandidates = 4

// recordPrecision is how exact times are in the record. Finer digits are noise
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

// recordedTime is when the request came.
func (r *request) recordedTime() time.Time { return r.started.UTC().Truncate(recordPrecision) }

// recordContext is what a companion needs to hold a whole line of the record.
func (r *request) recordContext() usher.RecordContext {
	made := usher.RecordContext{
		Time: r.recordedTime(), TokenName: r.tokenName, ConfigVersion: r.snapshot.Version,
		Candidates: r.recordedCandidates(),
	}
	if r.snapshot.InForce != nil {
		made.Preset = r.snapshot.InForce.Name
	}
	return made
}

// offeredTo notes that the endpoint's companion may hold a copy from now on.
// An endpoint that is offered the request again is named once, and last.
func (r *request) offeredTo(endpoint usher.EndpointName) {
	r.reply = nil
	for i, known := range r.copies.At {
		if known == endpoint {
			r.copies.At = append(r.copies.At[:i], r.copies.At[i+1:]...)
			break
		}
	}
	r.copies.At = append(r.copies.At, endpoint)
}

// setHeld notes whether the companion that replied last holds what the caller
// is told.
func (r *request) setHeld(held bool) {
	r.copies.Same, r.copies.By = held, ""
	if held && r.reply != nil {
		r.copies.By = r.reply.Incarnation
	}
}

// heldAs says whether the newest reply of a companion is what the caller is
// told, and a copy of it is held there. An entry that tells its caller
// something else, for example after a withdrawal, needs another copy.
func (r *request) heldAs(answer *usher.Answer, refusal *usher.Refusal) bool {
	if r.reply == nil || !r.reply.Held {
		return false
	}
	if refusal == nil {
		return answer == r.reply.Answer
	}
	told := r.reply.Refusal
	return told != nil && told.Kind == refusal.Kind && told.Outcome == refusal.Outcome
}

// recordPeers lets the recorder speak with the companions that the entry is
// connected to anyway.
type recordPeers struct{ peers *peers }

var _ record.Peers = recordPeers{}

// RecordPeers returns the companions for the recorder.
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
	peer := r.peers.of(endpoint)
	if peer == nil {
		return nil, &record.UnknownPeerError{Endpoint: endpoint}
	}
	args.Caller = r.peers.entry.caller()
	reply := &wire.RecordReply{}
	return reply, peer.link.Call(ctx, wire.MethodRecord, args, reply)
}
