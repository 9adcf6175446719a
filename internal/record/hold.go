package record

import (
	"context"
	"math/rand/v2"
	"time"

	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

const (
	// maxHold bounds the decisions in one message.
	maxHold = 256
	// holdAttempts is how many companions are asked to hold a decision.
	holdAttempts = 3
)

// holdRequest is a decision that waits for a second process to hold it.
type holdRequest struct {
	decision *usher.Decision
	// holder gets the companion that holds the decision, or is closed.
	holder chan usher.EndpointName
}

// hold has a companion keep a copy of the decision. Decisions that come while
// a message is under way share the next one, so that a storm of refusals costs
// few messages.
func (r *Recorder) hold(ctx context.Context, decision *usher.Decision) (usher.EndpointName, bool) {
	r.metrics.held(1)
	request := &holdRequest{decision: decision, holder: make(chan usher.EndpointName, 1)}
	select {
	case r.holds <- request:
	case <-ctx.Done():
		return "", false
	}
	select {
	case holder, ok := <-request.holder:
		return holder, ok
	case <-ctx.Done():
		return "", false
	}
}

// runHolds serves hold until ctx ends.
func (r *Recorder) runHolds(ctx context.Context) {
	var last usher.EndpointName
	for {
		select {
		case first := <-r.holds:
			last = r.holdTogether(ctx, last, r.gather(first))
		case <-ctx.Done():
			r.refuseHolds()
			return
		}
	}
}

func (r *Recorder) gather(first *holdRequest) []*holdRequest {
	requests := []*holdRequest{first}
	for len(requests) < maxHold {
		select {
		case next := <-r.holds:
			requests = append(requests, next)
		default:
			return requests
		}
	}
	return requests
}

// refuseHolds lets no caller wait for a recorder that has ended.
func (r *Recorder) refuseHolds() {
	for {
		select {
		case request := <-r.holds:
			close(request.holder)
		default:
			return
		}
	}
}

// holdTogether asks companions in turn, beginning with the one that answered
// last, and returns the one that holds the decisions.
func (r *Recorder) holdTogether(ctx context.Context, last usher.EndpointName, requests []*holdRequest) usher.EndpointName {
	args := &wire.RecordArgs{}
	for _, request := range requests {
		args.Hold = append(args.Hold, *request.decision)
	}
	for _, endpoint := range r.candidates(last, holdAttempts) {
		if !r.send(ctx, endpoint, args) {
			continue
		}
		for _, request := range requests {
			request.holder <- endpoint
		}
		return endpoint
	}
	for _, request := range requests {
		close(request.holder)
	}
	return ""
}

// candidates returns up to most companions, first in front if it is one.
func (r *Recorder) candidates(first usher.EndpointName, most int) []usher.EndpointName {
	r.mu.Lock()
	peers := r.peers
	r.mu.Unlock()
	if peers == nil {
		return nil
	}
	names := peers.Names()
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for i, name := range names {
		if name == first {
			names[0], names[i] = names[i], names[0]
		}
	}
	return names[:min(len(names), most)]
}

// send sends copies to a companion and says whether it holds them.
func (r *Recorder) send(ctx context.Context, endpoint usher.EndpointName, args *wire.RecordArgs) bool {
	args.Prefix = r.outbox.writer + "-"
	args.Head = r.outbox.storedHead()
	limit, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	reply, err := r.peers.Exchange(limit, endpoint, args)
	if err != nil {
		r.log.Debug().Err(err).Str("endpoint", string(endpoint)).Msg("recordExchangeFailed")
		return false
	}
	r.learn(endpoint, reply)
	return reply.Held
}

// learn takes in what a companion replied. A companion that was restarted has
// lost its copies, so what it held is stored at once.
func (r *Recorder) learn(endpoint usher.EndpointName, reply *wire.RecordReply) {
	r.mu.Lock()
	known := r.copyHolder(endpoint)
	lost := known.restarted(reply.Incarnation)
	known.incarnation = reply.Incarnation
	for _, head := range reply.Seen {
		if head.Writer != r.outbox.writer && head.Digest != "" {
			r.noteSeen(head)
		}
	}
	r.mu.Unlock()
	if reply.Writers > 0 {
		r.writers.Store(int64(reply.Writers))
	}
	if lost {
		r.copiesLost(endpoint)
	}
}

// noteSeen needs the lock.
func (r *Recorder) noteSeen(head wire.RecordHead) {
	if signed, ok := r.countersigned[head.Writer]; ok && signed >= head.Sequence {
		return
	}
	if known, ok := r.seen[head.Writer]; !ok || known.Sequence < head.Sequence {
		r.seen[head.Writer] = head
	}
}

// copiesLost makes up for a companion that is gone: the open lines are stored
// now, and sealed batches get another holder.
func (r *Recorder) copiesLost(endpoint usher.EndpointName) {
	r.log.Info().Str("endpoint", string(endpoint)).Msg("recordCopiesLost")
	for _, batch := range r.outbox.unstored() {
		r.outbox.setHolder(batch, endpoint, "")
	}
	r.mu.Lock()
	r.sealedAt = time.Time{}
	r.mu.Unlock()
	r.flush()
}

// jitter spreads the writers of a fleet over an interval.
func jitter(interval time.Duration) time.Duration {
	return interval*3/4 + rand.N(interval/2+1)
}
