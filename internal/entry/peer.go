package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"filbertusher/internal/link"
	"filbertusher/internal/pause"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

const (
	// idleWait is how long a companion holds a Collect while nothing is under
	// way there; it costs one message in that time. busyWait holds otherwise.
	idleWait = 5 * time.Second
	busyWait = time.Second
	// collectGrace is how much longer the entry waits for the reply before it
	// takes the connection for dead.
	collectGrace = 2 * time.Second
	// reconnectDelay is the pause after a failed Collect.
	reconnectDelay = 100 * time.Millisecond
	// lostDelay is about the pause after each failed try to reach a lost peer.
	// It is spread, so that a zone that comes back is not met by all at once.
	lostDelay = 2 * time.Second
	// lostAfter is how long a peer may be out of reach before the streams and
	// answers that are expected from it are given up.
	lostAfter = 3 * time.Second
	// maxWithdrawn bounds the withdrawals that wait for a peer to come back.
	maxWithdrawn = 10000
)

// reach says whether calls to a peer make sense.
type reach int

const (
	// reachNew peers were not tried yet.
	reachNew reach = iota
	// reachUp peers answered the last Collect.
	reachUp
	// reachBroken peers did not, but may be back in a moment.
	reachBroken
	// reachLost peers have not answered for longer than lostAfter.
	reachLost
)

// contact is what is known of a peer. It is replaced as a whole, so that the
// path of a request reads it without a lock.
type contact struct {
	reach       reach
	incarnation usher.Incarnation
	session     uint64
	// changed is closed when this contact was replaced.
	changed chan struct{}
}

// NotReachedError is the cause when a peer is known to be out of reach.
type NotReachedError struct{}

// Error implements error.
func (*NotReachedError) Error() string { return "the peer has not answered lately" }

// peer is the companion of one endpoint as seen by the entry. Its collector
// fetches events all the time, and by that knows whether the companion lives.
type peer struct {
	entry    *Entry
	endpoint usher.EndpointName
	link     *link.Link
	cancel   context.CancelFunc
	contact  atomic.Pointer[contact]
	// pending counts the calls that wait for a reply.
	pending atomic.Int64
	// used is when the peer was last asked for, in nanoseconds since 1970.
	used atomic.Int64

	next atomic.Uint64
	mu   sync.Mutex
	// streams holds the streams that are being received, by number.
	streams map[uint64]*incoming
	// withdrawn lists requests whose withdrawal got no reply.
	withdrawn []usher.RequestID
}

func newPeer(entry *Entry, endpoint usher.EndpointName, peerLink *link.Link, cancel context.CancelFunc) *peer {
	p := &peer{entry: entry, endpoint: endpoint, link: peerLink, cancel: cancel, streams: make(map[uint64]*incoming)}
	p.contact.Store(&contact{changed: make(chan struct{})})
	return p
}

func (p *peer) close() {
	p.cancel()
	p.link.Close()
}

// unused says whether nothing is under way and was not for some time.
func (p *peer) unused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := len(p.streams) == 0 && len(p.withdrawn) == 0 && p.pending.Load() == 0
	return idle && time.Since(time.Unix(0, p.used.Load())) > unusedTerm
}

func (p *peer) state() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.contact.Load()
	return map[string]any{
		"address": p.link.Address(), "streams": len(p.streams), "withdrawn": len(p.withdrawn),
		"reached": now.reach == reachUp, "incarnation": now.incarnation, "pending": p.pending.Load(),
	}
}

// open registers a stream before the request is sent, because its events may
// arrive before the reply.
func (p *peer) open(accepted *request) *incoming {
	stream := &incoming{peer: p, number: p.next.Add(1)}
	if !accepted.Stream {
		return stream
	}
	stream.wake = make(chan struct{}, 1)
	p.mu.Lock()
	p.streams[stream.number] = stream
	p.mu.Unlock()
	return stream
}

func (s *incoming) close() {
	s.peer.mu.Lock()
	delete(s.peer.streams, s.number)
	s.peer.mu.Unlock()
}

// await returns the contact of a peer that can be called. A peer that is out
// of reach is waited for until it is lost, if patient is set.
func (p *peer) await(ctx context.Context, patient bool) (*contact, error) {
	for {
		now := p.contact.Load()
		switch {
		case now.reach == reachUp:
			return now, nil
		case now.reach == reachLost, now.reach == reachBroken && !patient:
			return nil, &link.UnreachableError{Address: p.link.Address(), Cause: &NotReachedError{}}
		}
		select {
		case <-now.changed:
		case <-ctx.Done():
			return nil, &link.UnreachableError{Address: p.link.Address(), Cause: context.Cause(ctx)}
		}
	}
}

// submit offers a request. The stream notes which incarnation it was sent to.
func (p *peer) submit(ctx context.Context, stream *incoming, args *wire.SubmitArgs, reply *wire.SubmitReply) error {
	return p.submitWith(ctx, args.MayWait, stream, args, reply)
}

// submitWith is submit for callers that say themselves whether they wait for a
// peer that is out of reach.
func (p *peer) submitWith(ctx context.Context, patient bool, stream *incoming, args *wire.SubmitArgs, reply *wire.SubmitReply) error {
	now, err := p.await(ctx, patient)
	if err != nil {
		return err
	}
	stream.mu.Lock()
	stream.contact = now
	stream.mu.Unlock()
	return p.call(ctx, wire.MethodSubmit, args, reply)
}

func (p *peer) call(ctx context.Context, method string, args, reply any) error {
	p.pending.Add(1)
	defer p.pending.Add(-1)
	return p.link.Call(ctx, method, args, reply)
}

// withdrawLater has the request withdrawn as soon as the peer can be reached.
func (p *peer) withdrawLater(id usher.RequestID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.withdrawn) < maxWithdrawn {
		p.withdrawn = append(p.withdrawn, id)
	}
}

// collect fetches batches of events from the companion until ctx ends.
func (p *peer) collect(ctx context.Context) {
	var ack uint64
	var failing time.Time
	for ctx.Err() == nil {
		reply, err := p.collectOnce(ctx, ack)
		if err != nil {
			if failing.IsZero() {
				failing = time.Now()
			}
			p.unreached(failing, err)
			p.link.Reset()
			pause.For(ctx, p.reconnectPause())
			continue
		}
		failing = time.Time{}
		ack = p.receive(reply, ack)
	}
	p.publish(contact{reach: reachLost})
	p.failStreams(0, "the endpoint is not served any more")
}

func (p *peer) reconnectPause() time.Duration {
	if p.contact.Load().reach != reachLost {
		return reconnectDelay
	}
	return lostDelay/2 + rand.N(lostDelay)
}

func (p *peer) collectOnce(ctx context.Context, ack uint64) (*wire.CollectReply, error) {
	now := p.contact.Load()
	p.mu.Lock()
	withdraw := append([]usher.RequestID(nil), p.withdrawn...)
	busy := len(p.streams) > 0
	p.mu.Unlock()
	args := &wire.CollectArgs{Caller: p.entry.caller(), Session: now.session, Ack: ack, Withdraw: withdraw}
	switch {
	case now.reach != reachUp:
		// The first reply tells at once that the peer is there.
		args.Wait = 0
	case busy || p.pending.Load() > 0:
		args.Wait = busyWait
	default:
		args.Wait = p.entry.peers.idleWait()
	}
	reply := &wire.CollectReply{}
	limit, cancel := context.WithTimeout(ctx, args.Wait+collectGrace)
	defer cancel()
	if err := p.link.Call(limit, wire.MethodCollect, args, reply); err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.withdrawn = p.withdrawn[len(withdraw):]
	p.mu.Unlock()
	return reply, nil
}

// receive takes in a reply and returns the batch to acknowledge.
func (p *peer) receive(reply *wire.CollectReply, ack uint64) uint64 {
	known := p.contact.Load()
	if reply.Session != known.session {
		ack = 0
	}
	if reply.Session != known.session || known.reach != reachUp {
		p.publish(contact{reach: reachUp, incarnation: reply.Incarnation, session: reply.Session})
		p.failStreams(reply.Session, "the endpoint's companion was restarted")
	}
	p.entry.Placer.Observe(reply.Load)
	p.entry.Suspects.Merge(reply.Suspects)
	p.entry.Config.Hear(p.link.Address(), reply.ConfigVersion)
	if reply.Batch != ack {
		p.deliver(reply.Events)
	}
	return reply.Batch
}

// unreached notes a failed Collect. A call that is refused at once and one
// that gets no reply are the same here: only time tells that a peer is lost.
func (p *peer) unreached(failing time.Time, cause error) {
	known := p.contact.Load()
	var unreachable *link.UnreachableError
	refused := errors.As(cause, &unreachable)
	lost := known.reach == reachLost || (known.reach == reachNew && refused) || time.Since(failing) > lostAfter
	next := contact{reach: reachBroken, incarnation: known.incarnation, session: known.session}
	if lost {
		next.reach = reachLost
	}
	if next.reach == known.reach {
		return
	}
	p.entry.Log.Warn().Err(cause).Str("endpoint", string(p.endpoint)).Bool("lost", lost).Msg("peerUnreached")
	p.publish(next)
	if lost {
		p.failStreams(0, "the endpoint's companion can't be reached")
	}
}

func (p *peer) publish(next contact) {
	next.changed = make(chan struct{})
	previous := p.contact.Swap(&next)
	close(previous.changed)
}

// failStreams ends the streams that were sent in another session than the
// given one: what became of them can't be known any more.
func (p *peer) failStreams(session uint64, message string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for number, stream := range p.streams {
		stream.mu.Lock()
		foreign := stream.contact != nil && stream.contact.session != session
		stream.mu.Unlock()
		if foreign {
			delete(p.streams, number)
			stream.fail(usher.NewUnknown(usher.RefusalEndpointFailed, message))
		}
	}
}

// deliver hands each event to its stream. Events of streams that ended are
// dropped and counted, and so are events that came before.
func (p *peer) deliver(events []wire.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, event := range events {
		stream := p.streams[event.Stream]
		if stream == nil || !stream.add(event) {
			p.entry.metrics.stray(1)
		}
	}
}
