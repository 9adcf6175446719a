package spread

import (
	"context"
	"math/rand/v2"
	"time"

	"filbertusher/internal/config"
	"filbertusher/internal/pause"
	"filbertusher/pkg/usher"
)

// repairSpread is the time over which the processes that watch the store try
// to repair it, so that one does it and the others find it done.
const repairSpread = time.Second

// repairAuthor is the author of changes that no operator made.
const repairAuthor = "filbertusher"

// stillAt waits for this process's turn to repair and says whether the head is
// still the one that has to be repaired.
func (s *Spread) stillAt(ctx context.Context, version usher.Version) bool {
	pause.For(ctx, time.Duration(rand.Int64N(int64(repairSpread))))
	_, now, err := config.LoadHead(ctx, s.store)
	return err == nil && now == version
}

// restore writes back the accepted version after the store came back with an
// older one, or empty. The condition on the head makes this harmless when the
// older head was only a late answer.
func (s *Spread) restore(ctx context.Context, version usher.Version) error {
	if !s.stillAt(ctx, version) {
		return nil
	}
	current := s.holder.Current()
	if err := current.SaveParts(ctx, s.store, config.Empty()); err != nil {
		return err
	}
	if err := current.SaveHead(ctx, s.store, version); err != nil {
		return err
	}
	s.metrics.repairs(1)
	s.log.Warn().Uint64("version", uint64(current.Version)).Msg("storeRestored")
	return nil
}

// merge joins two lines of changes. It is needed when the store lost accepted
// changes and an operator changed what was left before it was restored. Both
// lines were accepted, so the later one is applied on top of the earlier one.
func (s *Spread) merge(ctx context.Context, current *config.Snapshot, head *config.Head, version usher.Version) error {
	if !s.stillAt(ctx, version) {
		return nil
	}
	theirs, err := config.Load(ctx, s.store, head, config.Empty())
	if err != nil {
		return err
	}
	base, err := s.commonBase(ctx, &current.Head, head)
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
	if err := theirs.SavePast(ctx, s.store); err != nil {
		return err
	}
	if err := merged.SaveHead(ctx, s.store, version); err != nil {
		return err
	}
	s.metrics.repairs(1)
	s.log.Warn().Uint64("version", uint64(merged.Version)).Msg("storeMerged")
	return nil
}

// mergeOnto applies what changed between base and theirs to current. Changes
// that do not fit the configuration any more are left out and stay in the
// history, because a configuration that does not fit together can't be in force.
func mergeOnto(current, base, theirs *config.Snapshot) (*config.Snapshot, error) {
	draft := config.Head{
		ID: config.NewChangeID(), Author: repairAuthor, Time: time.Now().UTC(),
		Note: "merge of change " + string(theirs.Head.ID) + " after the store lost history",
	}
	changed, deleted := config.Difference(base, theirs)
	merged, err := current.Successor(draft, changed, deleted, &theirs.Head)
	if err == nil && merged.Check() == nil {
		return merged, nil
	}
	draft.Note = "change " + string(theirs.Head.ID) + " was left out because it does not fit, after the store lost history"
	return current.Successor(draft, nil, nil, &theirs.Head)
}

// maxWalk bounds how far back a common base is looked for.
const maxWalk = 128

// commonBase finds the last version that both lines share; it is empty when
// the store lost everything.
func (s *Spread) commonBase(ctx context.Context, current, head *config.Head) (*config.Snapshot, error) {
	known := map[config.ChangeID]bool{current.ID: true}
	for _, id := range current.Lineage {
		known[id] = true
	}
	for version := head.Version; version > 0 && head.Version-version < maxWalk; {
		version--
		past, err := config.LoadPast(ctx, s.store, version)
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
	mixed := append([]string(nil), addresses...)
	rand.Shuffle(len(mixed), func(i, j int) { mixed[i], mixed[j] = mixed[j], mixed[i] })
	return mixed
}
