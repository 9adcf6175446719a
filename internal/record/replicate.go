package record

import (
	"context"
	"math/rand/v2"
	"time"

	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

const (
	// maxExchangeDecisions bounds the number of decisions in one message.
	maxExchangeDecisions = 256
	// replicationAttempts is the maximum number of companions that are asked to
	// hold a decision.
	replicationAttempts = 3
)

// replicationRequest is a decision that waits until a second process holds it.
type replicationRequest struct {
	decision *usher.Decision
	// holder receives the endpoint whose companion holds the decision. It is closed
	// if no companion does.
	holder chan usher.EndpointName
}

// replicate asks a companion to hold a copy of the decision, and returns the
// companion's endpoint if it does. Decisions that arrive while a message is in
// flight share the next message, so that a burst of refusals takes few messages.
func (r *Recorder) replicate(ctx context.Context, decision *usher.Decision) (usher.EndpointName, bool) {
	r.metrics.copiesAsked(1)
	request := &replicationRequest{decision: decision, holder: make(chan usher.EndpointName, 1)}
	select {
	case r.replications <- request:
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

// runReplication serves replication requests until ctx is done.
func (r *Recorder) runReplication(ctx context.Context) {
	var last usher.EndpointName
	for {
		select {
		case first := <-r.replications:
			last = r.replicateRequests(ctx, last, r.collectRequests(first))
		case <-ctx.Done():
			r.rejectPending()
			return
		}
	}
}

func (r *Recorder) collectRequests(first *replicationRequest) []*replicationRequest {
	requests := []*replicationRequest{first}
	for len(requests) < maxExchangeDecisions {
		select {
		case next := <-r.replications:
			requests = append(requests, next)
		default:
			return requests
		}
	}
	return requests
}

// rejectPending rejects the queued requests, so that no caller waits for a
// recorder that has stopped.
func (r *Recorder) rejectPending() {
	for {
		select {
		case request := <-r.replications:
			close(request.holder)
		default:
			return
		}
	}
}

// replicateRequests asks companions one after the other, beginning with the one
// that took the previous decisions, until one holds the decisions. It returns the
// endpoint of that companion.
func (r *Recorder) replicateRequests(ctx context.Context, last usher.EndpointName, requests []*replicationRequest) usher.EndpointName {
	args := &wire.RecordArgs{}
	for _, request := range requests {
		args.Hold = append(args.Hold, *request.decision)
	}
	for _, endpoint := range r.candidates(last, replicationAttempts) {
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

// candidates returns up to limit companions in random order, except that the
// preferred one comes first if it is connected.
func (r *Recorder) candidates(preferred usher.EndpointName, limit int) []usher.EndpointName {
	r.mu.Lock()
	peers := r.peers
	r.mu.Unlock()
	if peers == nil {
		return nil
	}
	names := peers.Names()
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for i, name := range names {
		if name == preferred {
			names[0], names[i] = names[i], names[0]
		}
	}
	return names[:min(len(names), limit)]
}

// send sends a message to a companion and reports whether the companion holds
// all copies in it.
func (r *Recorder) send(ctx context.Context, endpoint usher.EndpointName, args *wire.RecordArgs) bool {
	args.Prefix = r.chain.writer + "-"
	args.Head = r.chain.storedHead()
	exchangeCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := r.peers.Exchange(exchangeCtx, endpoint, args)
	if err != nil {
		r.log.Debug().Err(err).Str("endpoint", string(endpoint)).Msg("recordExchangeFailed")
		return false
	}
	r.applyReply(endpoint, reply)
	return reply.Held
}

// applyReply updates the recorder's state from a companion's reply. A companion
// that restarted has lost its copies, so the decisions that it held are stored at
// once.
func (r *Recorder) applyReply(endpoint usher.EndpointName, reply *wire.RecordReply) {
	r.mu.Lock()
	holder := r.copyHolderFor(endpoint)
	lost := holder.restarted(reply.Incarnation)
	holder.incarnation = reply.Incarnation
	for _, head := range reply.Seen {
		if head.Writer != r.chain.writer && head.Digest != "" {
			r.addSeenHead(head)
		}
	}
	r.mu.Unlock()
	if reply.Writers > 0 {
		r.writerCount.Store(int64(reply.Writers))
	}
	if lost {
		r.handleLostCopies(endpoint)
	}
}

// addSeenHead notes a stored batch of another writer for countersigning. The
// caller must hold r.mu.
func (r *Recorder) addSeenHead(head wire.RecordHead) {
	if signed, ok := r.countersigned[head.Writer]; ok && signed >= head.Sequence {
		return
	}
	if known, ok := r.seenHeads[head.Writer]; !ok || known.Sequence < head.Sequence {
		r.seenHeads[head.Writer] = head
	}
}

// handleLostCopies replaces the copies of a companion that restarted or can't be
// reached: the open batch is sealed and stored now, and sealed batches become
// free for another holder.
func (r *Recorder) handleLostCopies(endpoint usher.EndpointName) {
	r.log.Info().Str("endpoint", string(endpoint)).Msg("recordCopiesLost")
	for _, batch := range r.chain.unstoredBatches() {
		r.chain.setHolder(batch, endpoint, "")
	}
	r.mu.Lock()
	r.sealedAt = time.Time{}
	r.mu.Unlock()
	r.requestSeal()
}

// jitter randomizes an interval by up to a quarter in both directions, so that the
// processes of a fleet don't write at the same time.
func jitter(interval time.Duration) time.Duration {
	return interval*3/4 + rand.N(interval/2+1)
}
