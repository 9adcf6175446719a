package record

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"filbertusher/internal/pause"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

const (
	// maxSeen bounds the batches of other writers that one batch countersigns.
	maxSeen = 4
	// exchangeAtOnce bounds the messages under way at the end of an interval.
	exchangeAtOnce = 4
	// closeTimeout bounds one try to store what is left at a planned stop.
	closeTimeout = time.Minute
	// maxReleased bounds the releases that are kept for a companion that does
	// not answer. It stores the copies itself in the end; a reader merges them.
	maxReleased = 10000
)

// Run gathers, stores and releases until ctx ends. Close has to be called
// before, while the peers can still be reached.
func (r *Recorder) Run(ctx context.Context, peers Peers) error {
	r.mu.Lock()
	r.peers = peers
	r.mu.Unlock()
	go r.runHolds(ctx)
	defer close(r.stopped)
	working, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-r.stop:
			cancel()
		case <-working.Done():
		}
	}()
	for r.await(working); working.Err() == nil; r.await(working) {
		r.step(working)
	}
	return nil
}

// await waits for the next interval, or for a reason to be early. While there
// is a backlog that the store takes, it does not wait.
func (r *Recorder) await(ctx context.Context) {
	r.mu.Lock()
	down := r.down
	r.mu.Unlock()
	if !down && r.outbox.oldest() != nil {
		return
	}
	timer := time.NewTimer(jitter(r.interval()))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.early:
	case <-ctx.Done():
	}
}

// step seals what was gathered, stores what is sealed, and tells the
// companions which copies they may drop.
func (r *Recorder) step(ctx context.Context) {
	if r.maySeal() {
		r.outbox.Seal(r.countersign(), false)
	}
	r.drain(ctx)
	r.exchange(ctx)
}

// maySeal says whether the open batch should be sealed. During an outage
// batches are larger.
func (r *Recorder) maySeal() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.down && now.Sub(r.sealedAt) < outageIntervals*r.options.Interval {
		return false
	}
	r.sealedAt = now
	return true
}

// countersign takes the batches of other writers that the next batch names.
func (r *Recorder) countersign() []wire.RecordHead {
	r.mu.Lock()
	defer r.mu.Unlock()
	var heads []wire.RecordHead
	for writer, head := range r.seen {
		if len(heads) == maxSeen {
			break
		}
		heads = append(heads, head)
		r.countersigned[writer] = head.Sequence
		delete(r.seen, writer)
	}
	return heads
}

// drain stores the sealed batches. When the store does not take them, each
// goes to a companion as it is, and the copies of its lines are released.
func (r *Recorder) drain(ctx context.Context) {
	err := r.outbox.Drain(ctx, r.gap(1), r.options.Interval, r.stored)
	r.mu.Lock()
	changed := r.down != (err != nil)
	r.down = err != nil
	r.mu.Unlock()
	if changed {
		r.log.Info().Bool("storeDown", err != nil).AnErr("cause", err).Msg("recordStore")
	}
	if err == nil {
		return
	}
	r.metrics.failures(1)
	for _, batch := range r.outbox.unstored() {
		r.handOver(ctx, batch, "")
	}
}

// stored takes in that a batch is stored.
func (r *Recorder) stored(batch *sealedBatch, err error) {
	r.metrics.batches(1)
	r.metrics.stored(int64(len(batch.Value)))
	if err != nil {
		r.metrics.displaced(1)
		r.log.Error().Err(err).Msg("recordDisplaced")
	}
	r.release(batch.items)
	r.mu.Lock()
	defer r.mu.Unlock()
	if holder := r.outbox.holderOf(batch); holder != "" {
		one := r.copyHolder(holder)
		one.releasedBatches = append(one.releasedBatches, batch.Key, r.outbox.announcement().Key)
		one.held--
	}
}

// release notes that the copies of lines are not needed any more.
func (r *Recorder) release(items []item) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, one := range items {
		_, suffix := SplitID(one.id)
		for _, endpoint := range one.at {
			known := r.copyHolder(endpoint)
			known.held--
			if len(known.released) < maxReleased {
				known.released = append(known.released, suffix)
			}
		}
	}
}

// handOver has a companion other than not hold a sealed batch, together with
// the object that announces its chain. It says whether one does.
func (r *Recorder) handOver(ctx context.Context, batch *sealedBatch, not usher.EndpointName) bool {
	held := r.outbox.holderOf(batch)
	if held != "" && not == "" {
		return true
	}
	args := &wire.RecordArgs{Sealed: []wire.SealedBatch{r.outbox.announcement(), batch.SealedBatch}}
	for _, endpoint := range r.candidates("", holdAttempts+1) {
		if endpoint == not || !r.send(ctx, endpoint, args) {
			continue
		}
		r.mu.Lock()
		r.copyHolder(endpoint).held++
		r.mu.Unlock()
		r.outbox.setHolder(batch, held, endpoint)
		r.release(r.outbox.drop(batch))
		return true
	}
	return false
}

// exchange sends each companion what it may drop. The message also tells the
// companions that hold copies that this entry is alive.
func (r *Recorder) exchange(ctx context.Context) {
	group := errgroup.Group{}
	group.SetLimit(exchangeAtOnce)
	for endpoint, args := range r.outgoing() {
		group.Go(func() error {
			if !r.send(ctx, endpoint, args) {
				r.unsent(endpoint, args)
			}
			return nil
		})
	}
	_ = group.Wait()
}

func (r *Recorder) outgoing() map[usher.EndpointName]*wire.RecordArgs {
	r.mu.Lock()
	defer r.mu.Unlock()
	messages := make(map[usher.EndpointName]*wire.RecordArgs)
	for endpoint, one := range r.copyHolders {
		if one.held <= 0 && len(one.released) == 0 && len(one.releasedBatches) == 0 {
			delete(r.copyHolders, endpoint)
			continue
		}
		messages[endpoint] = &wire.RecordArgs{Released: one.released, ReleasedBatches: one.releasedBatches}
		one.released, one.releasedBatches = nil, nil
	}
	return messages
}

// unsent keeps releases for the next message. A companion that can't be
// reached may be gone with its copies.
func (r *Recorder) unsent(endpoint usher.EndpointName, args *wire.RecordArgs) {
	r.mu.Lock()
	one := r.copyHolder(endpoint)
	one.released = append(args.Released, one.released...)
	one.released = one.released[:min(len(one.released), maxReleased)]
	one.releasedBatches = append(args.ReleasedBatches, one.releasedBatches...)
	holds := one.held > 0
	gone := one.incarnation == goneIncarnation
	one.incarnation = goneIncarnation
	r.mu.Unlock()
	if holds && !gone {
		r.copiesLost(endpoint)
	}
}

// goneIncarnation stands for a companion that did not answer. When it answers
// again its incarnation differs, but its copies were made up for already.
const goneIncarnation usher.Incarnation = "gone"

// Close stores everything and marks the end of the chain. While the store is
// down, two companions get every batch that is not stored; they store it when
// it is up. It gives up when ctx ends and says whether nothing depends on this
// process any more.
func (r *Recorder) Close(ctx context.Context) bool {
	close(r.stop)
	<-r.stopped
	r.outbox.Seal(r.countersign(), true)
	for {
		err := r.outbox.Drain(ctx, 0, closeTimeout, r.stored)
		if err == nil {
			_ = r.outbox.storeIndex(ctx, true)
			r.exchange(ctx)
			return true
		}
		if r.handOverAll(ctx) {
			r.log.Warn().Err(err).Int("batches", len(r.outbox.unstored())).Msg("recordHandedOver")
			return true
		}
		if ctx.Err() != nil {
			r.log.Error().Err(err).Int("batches", len(r.outbox.unstored())).Msg("recordNotStored")
			return false
		}
		pause.For(ctx, holdTimeout)
	}
}

func (r *Recorder) handOverAll(ctx context.Context) bool {
	for _, batch := range r.outbox.unstored() {
		if !r.handOver(ctx, batch, "") {
			return false
		}
		first := r.outbox.holderOf(batch)
		if !r.handOver(ctx, batch, first) {
			return false
		}
	}
	return true
}
