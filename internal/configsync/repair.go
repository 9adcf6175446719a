package configsync

import (
	"context"
	"math/rand/v2"
	"time"

	"filbertusher/internal/config"
	"filbertusher/internal/pause"
	"filbertusher/pkg/usher"
)

// repairJitter is the interval over which the processes that watch the store
// spread their repair attempts, so that one performs the repair and the others
// find it done.
const repairJitter = time.Second

// repairAuthor is recorded as the author of automatic changes.
const repairAuthor = "filbertusher"

// awaitRepairTurn waits a random delay and reports whether the head in the
// store is still the one to be repaired, at objectVersion.
func (s *Syncer) awaitRepairTurn(ctx context.Context, objectVersion usher.Version) bool {
	pause.For(ctx, time.Duration(rand.Int64N(int64(repairJitter))))
	_, now, err := config.LoadHead(ctx, s.store)
	return err == nil && now == objectVersion
}

// restore writes the accepted version back after the store has returned with an
// older one or empty. If the older head was only a stale read, the conditional
// update of the head makes the write fail.
func (s *Syncer) restore(ctx context.Context, objectVersion usher.Version) error {
	if !s.awaitRepairTurn(ctx, objectVersion) {
		return nil
	}
	current := s.holder.Current()
	if err := current.SaveParts(ctx, s.store, config.Empty()); err != nil {
		return err
	}
	if err := current.SaveHead(ctx, s.store, objectVersion); err != nil {
		return err
	}
	s.metrics.storeRepairs(1)
	s.log.Warn().Uint64("version", uint64(current.Version)).Msg("storeRestored")
	return nil
}

// merge combines two diverged histories. They arise when the store loses
// accepted changes and an operator changes the remaining version before the
// lost ones are restored. The changes of both were accepted, so those in the
// store are applied on top of those of this process.
func (s *Syncer) merge(ctx context.Context, current *config.Snapshot, head *config.Head, objectVersion usher.Version) error {
	if !s.awaitRepairTurn(ctx, objectVersion) {
		return nil
	}
	theirs, err := config.Load(ctx, s.store, head, config.Empty())
	if err != nil {
		return err
	}
	base, err := s.commonAncestor(ctx, &current.Head, head)
	if err != nil {
		return err
	}
	merged, err := mergeOnto(current, base, theirs)
	if err != nil {
		return err
	}
	if err := merged.SaveParts(ctx, s.store, config.Empty()); err != nil {
		return err
	}
	if err := theirs.ArchiveHead(ctx, s.store); err != nil {
		return err
	}
	if err := merged.SaveHead(ctx, s.store, objectVersion); err != nil {
		return err
	}
	s.metrics.storeRepairs(1)
	s.log.Warn().Uint64("version", uint64(merged.Version)).Msg("storeMerged")
	return nil
}

// mergeOnto applies the changes from base to theirs to current. If the result
// is invalid they are left out and remain in the history only, because an
// invalid configuration must not become active.
func mergeOnto(current, base, theirs *config.Snapshot) (*config.Snapshot, error) {
	draft := config.Head{
		ID: config.NewChangeID(), Author: repairAuthor, Time: time.Now().UTC(),
		Note: "merge of change " + string(theirs.Head.ID) + " after the store lost history",
	}
	changed, deleted := config.Diff(base, theirs)
	merged, err := current.Successor(draft, changed, deleted, &theirs.Head)
	if err == nil && merged.Validate() == nil {
		return merged, nil
	}
	draft.Note = "change " + string(theirs.Head.ID) + " was left out because it does not fit, after the store lost history"
	return current.Successor(draft, nil, nil, &theirs.Head)
}

// maxAncestorDistance is how many versions back a common ancestor is searched
// for.
const maxAncestorDistance = 128

// commonAncestor returns the newest version that both histories share, or an
// empty one if none is found, as when the store has lost everything.
func (s *Syncer) commonAncestor(ctx context.Context, current, head *config.Head) (*config.Snapshot, error) {
	known := map[config.ChangeID]bool{current.ID: true}
	for _, id := range current.Lineage {
		known[id] = true
	}
	for version := head.Version; version > 0 && head.Version-version < maxAncestorDistance; {
		version--
		past, err := config.LoadArchivedHead(ctx, s.store, version)
		if err != nil {
			break
		}
		if known[past.ID] {
			return config.Load(ctx, s.store, past, config.Empty())
		}
	}
	return config.Empty(), nil
}

func shuffled(addresses []string) []string {
	result := append([]string(nil), addresses...)
	rand.Shuffle(len(result), func(i, j int) { result[i], result[j] = result[j], result[i] })
	return result
}
