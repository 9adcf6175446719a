package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"filbertusher/internal/pause"
	"filbertusher/internal/peerrpc"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

const (
	// idleCollectWait is how long a companion holds a Collect call open while
	// there are no streams and no pending calls; it is the interval between
	// messages on an idle connection. busyCollectWait applies otherwise.
	idleCollectWait = 5 * time.Second
	busyCollectWait = time.Second
	// collectGrace is how long after that wait the entry treats a connection
	// without a reply as dead.
	collectGrace = 2 * time.Second
	// reconnectDelay is the delay after a failed Collect or Fetch call.
	reconnectDelay = 100 * time.Millisecond
	// lostReconnectDelay is the mean delay between attempts to reach a lost peer.
	// It is randomized, so that an availability zone that recovers does not get
	// all reconnects at once.
	lostReconnectDelay = 2 * time.Second
	// lostPeerTimeout is how long a peer may be unreachable before its streams
	// and pending responses are failed.
	lostPeerTimeout = 3 * time.Second
	// maxPendingWithdrawals is the maximum number of withdrawals queued for an
	// unreachable peer.
	maxPendingWithdrawals = 10000
)

// reachability is the state of the connection to a peer.
type reachability int

const (
	// reachUntried means that no Collect has completed yet.
	reachUntried reachability = iota
	// reachUp means that the last Collect succeeded.
	reachUp
	// reachInterrupted means that Collect fails, for less than lostPeerTimeout.
	reachInterrupted
	// reachLost means that Collect has failed for longer than lostPeerTimeout,
	// that the first one was refused, or that the peer was closed.
	reachLost
)

// connState is the connection state of a peer. It is immutable and replaced as a
// whole, so that the request path reads it without a lock.
type connState struct {
	reachability reachability
	incarnation  usher.Incarnation
	session      uint64
	// changed is closed when this state was replaced.
	changed chan struct{}
}

// PeerUnreachableError is the cause of calls that fail because the peer is known to
// be unreachable.
type PeerUnreachableError struct{}

// Error implements error.
func (*PeerUnreachableError) Error() string { return "the peer has not answered lately" }

// peer is the connection to the companion of one endpoint. Its collect loop
// long-polls for events, which also serves as the health check.
type peer struct {
	entry     *Entry
	endpoint  usher.EndpointName
	link      *peerrpc.Client
	cancel    context.CancelFunc
	connState atomic.Pointer[connState]
	// pendingCalls is the number of calls that wait for a reply, without Collect and
	// without calls that use link directly.
	pendingCalls atomic.Int64
	// lastUsed is when the peer was last looked up, in nanoseconds since 1970.
	lastUsed atomic.Int64

	nextStream atomic.Uint64
	mu         sync.Mutex
	// streams holds the open incoming streams by number.
	streams map[uint64]*incomingStream
	// pendingWithdrawals holds requests that are to be withdrawn at the next
	// Collect, because an earlier withdrawal got no reply or none was sent.
	pendingWithdrawals []usher.RequestID
}

func newPeer(entry *Entry, endpoint usher.EndpointName, peerLink *peerrpc.Client, cancel context.CancelFunc) *peer {
	p := &peer{entry: entry, endpoint: endpoint, link: peerLink, cancel: cancel, streams: make(map[uint64]*incomingStream)}
	p.connState.Store(&connState{changed: make(chan struct{})})
	return p
}

func (p *peer) close() {
	p.cancel()
	p.link.Close()
}

// isUnused reports whether the peer has no work and was not used for
// unusedPeerTimeout.
func (p *peer) isUnused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := len(p.streams) == 0 && len(p.pendingWithdrawals) == 0 && p.pendingCalls.Load() == 0
	return idle && time.Since(time.Unix(0, p.lastUsed.Load())) > unusedPeerTimeout
}

func (p *peer) state() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	current := p.connState.Load()
	return map[string]any{
		"address": p.link.Address(), "streams": len(p.streams), "withdrawn": len(p.pendingWithdrawals),
		"reached": current.reachability == reachUp, "incarnation": current.incarnation, "pending": p.pendingCalls.Load(),
	}
}

// openStream registers a stream before the request is sent, because its events
// may arrive before the reply. Requests without streaming only get a number.
func (p *peer) openStream(req *request) *incomingStream {
	stream := &incomingStream{peer: p, number: p.nextStream.Add(1), memory: p.entry.options.Memory}
	if !req.Stream {
		return stream
	}
	stream.ready = make(chan struct{}, 1)
	p.mu.Lock()
	p.streams[stream.number] = stream
	p.mu.Unlock()
	return stream
}

// awaitReachable returns the connection state of a reachable peer. It waits for
// a peer that was not tried yet, and if waitIfInterrupted is set also for an
// interrupted one, until the peer is reachable or lost.
func (p *peer) awaitReachable(ctx context.Context, waitIfInterrupted bool) (*connState, error) {
	for {
		current := p.connState.Load()
		switch {
		case current.reachability == reachUp:
			return current, nil
		case current.reachability == reachLost, current.reachability == reachInterrupted && !waitIfInterrupted:
			return nil, &peerrpc.UnreachableError{Address: p.link.Address(), Cause: &PeerUnreachableError{}}
		}
		select {
		case <-current.changed:
		case <-ctx.Done():
			return nil, &peerrpc.UnreachableError{Address: p.link.Address(), Cause: context.Cause(ctx)}
		}
	}
}

// submit offers a request. It stores in the stream the connection state at the
// time of sending, which identifies the companion's incarnation.
func (p *peer) submit(ctx context.Context, stream *incomingStream, args *wire.SubmitArgs, reply *wire.SubmitReply) error {
	return p.submitWith(ctx, args.MayWait, stream, args, reply)
}

// submitWith is like submit, with an explicit waitIfInterrupted.
func (p *peer) submitWith(ctx context.Context, waitIfInterrupted bool, stream *incomingStream, args *wire.SubmitArgs, reply *wire.SubmitReply) error {
	current, err := p.awaitReachable(ctx, waitIfInterrupted)
	if err != nil {
		return err
	}
	stream.mu.Lock()
	stream.connState = current
	stream.mu.Unlock()
	return p.call(ctx, wire.MethodSubmit, args, reply)
}

func (p *peer) call(ctx context.Context, method string, args, reply any) error {
	p.pendingCalls.Add(1)
	defer p.pendingCalls.Add(-1)
	return p.link.Call(ctx, method, args, reply)
}

// queueWithdrawal withdraws the request at the next successful Collect.
func (p *peer) queueWithdrawal(id usher.RequestID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.pendingWithdrawals) < maxPendingWithdrawals {
		p.pendingWithdrawals = append(p.pendingWithdrawals, id)
	}
}

// collect fetches batches of events from the companion until ctx is done.
func (p *peer) collect(ctx context.Context) {
	var ack uint64
	var failingSince time.Time
	for ctx.Err() == nil {
		reply, err := p.collectOnce(ctx, ack)
		if err != nil {
			if failingSince.IsZero() {
				failingSince = time.Now()
			}
			p.handleCollectFailure(failingSince, err)
			p.link.Reset()
			pause.For(ctx, p.reconnectPause())
			continue
		}
		failingSince = time.Time{}
		ack = p.handleReply(reply, ack)
	}
	p.setConnState(connState{reachability: reachLost})
	p.failStreams(0, "the endpoint is not served any more")
}

func (p *peer) reconnectPause() time.Duration {
	if p.connState.Load().reachability != reachLost {
		return reconnectDelay
	}
	return lostReconnectDelay/2 + rand.N(lostReconnectDelay)
}

func (p *peer) collectOnce(ctx context.Context, ack uint64) (*wire.CollectReply, error) {
	current := p.connState.Load()
	p.mu.Lock()
	withdraw := append([]usher.RequestID(nil), p.pendingWithdrawals...)
	busy := len(p.streams) > 0
	p.mu.Unlock()
	args := &wire.CollectArgs{Caller: p.entry.caller(), Session: current.session, Ack: ack, Withdraw: withdraw}
	switch {
	case current.reachability != reachUp:
		// Get the first reply at once, to learn early that the peer is reachable.
		args.Wait = 0
	case busy || p.pendingCalls.Load() > 0:
		args.Wait = busyCollectWait
	default:
		args.Wait = p.entry.peers.idleWait()
	}
	reply := &wire.CollectReply{}
	callCtx, cancel := context.WithTimeout(ctx, args.Wait+collectGrace)
	defer cancel()
	if err := p.link.Call(callCtx, wire.MethodCollect, args, reply); err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.pendingWithdrawals = p.pendingWithdrawals[len(withdraw):]
	p.mu.Unlock()
	return reply, nil
}

// handleReply processes a Collect reply and returns the batch to acknowledge.
func (p *peer) handleReply(reply *wire.CollectReply, ack uint64) uint64 {
	previous := p.connState.Load()
	if reply.Session != previous.session {
		ack = 0
	}
	if reply.Session != previous.session || previous.reachability != reachUp {
		p.setConnState(connState{reachability: reachUp, incarnation: reply.Incarnation, session: reply.Session})
		p.failStreams(reply.Session, "the endpoint's companion was restarted")
	}
	p.entry.Placer.Observe(reply.Load)
	p.entry.Suspects.Merge(reply.Suspects)
	p.entry.Blame.Merge(reply.Blame)
	p.entry.Config.ReportPeerVersion(p.link.Address(), reply.ConfigVersion)
	if reply.Batch != ack {
		p.deliver(reply.Events)
	}
	return reply.Batch
}

// handleCollectFailure updates the state after a failed Collect. For a peer that
// was reachable before, a refused connection and a missing reply count alike:
// the peer is lost only after lostPeerTimeout.
func (p *peer) handleCollectFailure(failingSince time.Time, cause error) {
	previous := p.connState.Load()
	var unreachable *peerrpc.UnreachableError
	refused := errors.As(cause, &unreachable)
	lost := previous.reachability == reachLost || (previous.reachability == reachUntried && refused) || time.Since(failingSince) > lostPeerTimeout
	next := connState{reachability: reachInterrupted, incarnation: previous.incarnation, session: previous.session}
	if lost {
		next.reachability = reachLost
	}
	if next.reachability == previous.reachability {
		return
	}
	p.entry.Log.Warn().Err(cause).Str("endpoint", string(p.endpoint)).Bool("lost", lost).Msg("peerUnreached")
	p.setConnState(next)
	if lost {
		p.failStreams(0, "the endpoint's companion can't be reached")
	}
}

func (p *peer) setConnState(next connState) {
	next.changed = make(chan struct{})
	previous := p.connState.Swap(&next)
	close(previous.changed)
}

// failStreams fails the streams that belong to another session than the given
// one, because their outcome can no longer be determined. Session numbers are not
// 0, so 0 fails every stream whose request was sent.
func (p *peer) failStreams(session uint64, message string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for number, stream := range p.streams {
		stream.mu.Lock()
		otherSession := stream.connState != nil && stream.connState.session != session
		stream.mu.Unlock()
		if otherSession {
			delete(p.streams, number)
			stream.fail(usher.NewUnknownOutcome(usher.RefusalEndpointFailed, message))
		}
	}
}

// deliver appends each event to its stream. Duplicate events and events of
// closed streams are dropped and counted.
func (p *peer) deliver(events []wire.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, event := range events {
		stream := p.streams[event.Stream]
		if stream == nil || !stream.add(event) {
			p.entry.metrics.strayEvents(1)
		}
	}
}
