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
	// maxCountersigned bounds the batches of other writers that one batch
	// countersigns.
	maxCountersigned = 4
	// maxConcurrentExchanges bounds the messages in flight at the end of a cycle.
	maxConcurrentExchanges = 4
	// closeDrainTimeout bounds one attempt to store the remaining batches during a
	// planned shutdown.
	closeDrainTimeout = time.Minute
	// rewriteJitter spreads the writes of processes that store again what the store lost.
	rewriteJitter = time.Second
	// maxPendingReleases bounds the decision releases queued for a companion that
	// does not reply. Copies beyond it are stored by the companion too, once they
	// are overdue; readers merge the duplicates.
	maxPendingReleases = 10000
)

// Run seals and stores batches and releases their copies until Close is called or
// ctx is done. Close must be called before ctx is done, while the peers can still be
// reached.
func (r *Recorder) Run(ctx context.Context, peers Peers) error {
	r.mu.Lock()
	r.peers = peers
	r.mu.Unlock()
	go r.runReplication(ctx)
	defer close(r.stopped)
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-r.stop:
			cancel()
		case <-runCtx.Done():
		}
	}()
	for r.waitForInterval(runCtx); runCtx.Err() == nil; r.waitForInterval(runCtx) {
		r.runCycle(runCtx)
	}
	return nil
}

// waitForInterval waits until the batch interval has passed or a seal is
// requested. It does not wait while the store is up and sealed batches are left to
// store.
func (r *Recorder) waitForInterval(ctx context.Context) {
	r.mu.Lock()
	storeDown := r.storeDown
	r.mu.Unlock()
	if !storeDown && r.chain.oldestUnstored() != nil {
		return
	}
	timer := time.NewTimer(jitter(r.batchInterval()))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.sealRequests:
	case <-r.chain.objects.store.Restored():
		pause.For(ctx, jitter(rewriteJitter))
	case <-ctx.Done():
	}
}

// runCycle seals the open batch, stores the sealed batches, and tells the
// companions which copies they may drop.
func (r *Recorder) runCycle(ctx context.Context) {
	if r.shouldSeal() {
		r.chain.Seal(r.takeSeenHeads(), false)
	}
	r.drain(ctx)
	r.sendReleases(ctx)
}

// shouldSeal reports whether the open batch should be sealed now. Batches are
// sealed less often, and are larger, during an outage of the store.
func (r *Recorder) shouldSeal() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.storeDown && now.Sub(r.sealedAt) < outageSealIntervals*r.options.BatchInterval {
		return false
	}
	r.sealedAt = now
	return true
}

// takeSeenHeads removes and returns the batches of other writers that the next
// batch countersigns.
func (r *Recorder) takeSeenHeads() []wire.RecordHead {
	r.mu.Lock()
	defer r.mu.Unlock()
	var heads []wire.RecordHead
	for writer, head := range r.seenHeads {
		if len(heads) == maxCountersigned {
			break
		}
		heads = append(heads, head)
		r.countersigned[writer] = head.Sequence
		delete(r.seenHeads, writer)
	}
	return heads
}

// drain stores the sealed batches. If the store fails, each sealed batch is handed
// off to a companion, and the copies of its decisions are released.
func (r *Recorder) drain(ctx context.Context) {
	err := r.chain.Drain(ctx, r.writeGap(1), r.options.BatchInterval, r.onStored)
	r.mu.Lock()
	changed := r.storeDown != (err != nil)
	r.storeDown = err != nil
	r.mu.Unlock()
	if changed {
		r.log.Info().Bool("storeDown", err != nil).AnErr("cause", err).Msg("recordStore")
	}
	if err == nil {
		return
	}
	r.metrics.storeFailures(1)
	for _, batch := range r.chain.unstoredBatches() {
		r.handOff(ctx, batch, "")
	}
}

// onStored updates metrics and queues releases after a batch was stored. A non-nil
// err is the DisplacedError of a batch that was stored under its displaced key.
func (r *Recorder) onStored(batch *sealedBatch, err error) {
	r.metrics.batchesStored(1)
	r.metrics.bytesStored(int64(len(batch.Value)))
	if err != nil {
		r.metrics.displaced(1)
		r.log.Error().Err(err).Msg("recordDisplaced")
	}
	r.queueReleases(batch.refs)
	r.mu.Lock()
	defer r.mu.Unlock()
	if holder := r.chain.holderOf(batch); holder != "" {
		state := r.copyHolderFor(holder)
		state.pendingBatchReleases = append(state.pendingBatchReleases, batch.Key, r.chain.announcement().Key)
		state.unreleased--
	}
}

// queueReleases queues the release of the decisions' copies at all their holders.
func (r *Recorder) queueReleases(refs []lineRef) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, ref := range refs {
		_, suffix := SplitID(ref.id)
		for _, endpoint := range ref.holders {
			holder := r.copyHolderFor(endpoint)
			holder.unreleased--
			if len(holder.pendingReleases) < maxPendingReleases {
				holder.pendingReleases = append(holder.pendingReleases, suffix)
			}
		}
	}
}

// handOff asks companions to hold a sealed batch, together with the announcement
// of its chain, and reports whether one does. A non-empty exclude asks for a
// further holder other than exclude; without it, an existing holder suffices.
func (r *Recorder) handOff(ctx context.Context, batch *sealedBatch, exclude usher.EndpointName) bool {
	current := r.chain.holderOf(batch)
	if current != "" && exclude == "" {
		return true
	}
	args := &wire.RecordArgs{Sealed: []wire.SealedBatch{r.chain.announcement(), batch.SealedBatch}}
	// The additional candidate makes up for exclude, which may be among them.
	for _, endpoint := range r.candidates("", replicationAttempts+1) {
		if endpoint == exclude || !r.send(ctx, endpoint, args) {
			continue
		}
		r.mu.Lock()
		r.copyHolderFor(endpoint).unreleased++
		r.mu.Unlock()
		r.chain.setHolder(batch, current, endpoint)
		r.queueReleases(r.chain.dropLineRefs(batch))
		return true
	}
	return false
}

// sendReleases sends each companion the releases queued for it. The message also
// serves as a heartbeat to the companions that hold copies of this entry.
func (r *Recorder) sendReleases(ctx context.Context) {
	group := errgroup.Group{}
	group.SetLimit(maxConcurrentExchanges)
	for endpoint, args := range r.takeReleases() {
		group.Go(func() error {
			if !r.send(ctx, endpoint, args) {
				r.requeueReleases(endpoint, args)
			}
			return nil
		})
	}
	_ = group.Wait()
}

func (r *Recorder) takeReleases() map[usher.EndpointName]*wire.RecordArgs {
	r.mu.Lock()
	defer r.mu.Unlock()
	messages := make(map[usher.EndpointName]*wire.RecordArgs)
	for endpoint, holder := range r.copyHolders {
		if holder.unreleased <= 0 && len(holder.pendingReleases) == 0 && len(holder.pendingBatchReleases) == 0 {
			delete(r.copyHolders, endpoint)
			continue
		}
		messages[endpoint] = &wire.RecordArgs{Released: holder.pendingReleases, ReleasedBatches: holder.pendingBatchReleases}
		holder.pendingReleases, holder.pendingBatchReleases = nil, nil
	}
	return messages
}

// requeueReleases puts unsent releases back into the queue. Because a companion
// that can't be reached may have lost its copies, they are replaced once.
func (r *Recorder) requeueReleases(endpoint usher.EndpointName, args *wire.RecordArgs) {
	r.mu.Lock()
	holder := r.copyHolderFor(endpoint)
	holder.pendingReleases = append(args.Released, holder.pendingReleases...)
	holder.pendingReleases = holder.pendingReleases[:min(len(holder.pendingReleases), maxPendingReleases)]
	holder.pendingBatchReleases = append(args.ReleasedBatches, holder.pendingBatchReleases...)
	hasCopies := holder.unreleased > 0
	knownUnreachable := holder.incarnation == unreachableIncarnation
	holder.incarnation = unreachableIncarnation
	r.mu.Unlock()
	if hasCopies && !knownUnreachable {
		r.handleLostCopies(endpoint)
	}
}

// unreachableIncarnation marks a companion that did not reply, whose copies are
// replaced already. It keeps the companion's next reply from being taken for a
// restart that needs the copies to be replaced again.
const unreachableIncarnation usher.Incarnation = "gone"

// Close stops Run, stores all batches and marks the end of the chain. If the store
// is down, it hands each unstored batch off to two companions, which store it when
// the store is up again. It gives up when ctx is done, and reports whether no
// decision depends on this process any more.
func (r *Recorder) Close(ctx context.Context) bool {
	close(r.stop)
	<-r.stopped
	r.chain.Seal(r.takeSeenHeads(), true)
	for {
		err := r.chain.Drain(ctx, 0, closeDrainTimeout, r.onStored)
		if err == nil && len(r.chain.unstoredBatches()) > 0 {
			// The attempt has taken its time, and the store takes batches.
			continue
		}
		if err == nil {
			_ = r.chain.storeIndex(ctx, true)
			r.sendReleases(ctx)
			return true
		}
		if r.handOffAll(ctx) {
			r.log.Warn().Err(err).Int("batches", len(r.chain.unstoredBatches())).Msg("recordHandedOver")
			return true
		}
		if ctx.Err() != nil {
			r.log.Error().Err(err).Int("batches", len(r.chain.unstoredBatches())).Msg("recordNotStored")
			return false
		}
		pause.For(ctx, exchangeTimeout)
	}
}

func (r *Recorder) handOffAll(ctx context.Context) bool {
	for _, batch := range r.chain.unstoredBatches() {
		if !r.handOff(ctx, batch, "") {
			return false
		}
		first := r.chain.holderOf(batch)
		if !r.handOff(ctx, batch, first) {
			return false
		}
	}
	return true
}
