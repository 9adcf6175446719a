package archive

import (
	"context"
	"errors"
	"sort"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"filbertusher/internal/record"
	"filbertusher/pkg/usher"
)

// maxConcurrentChains is the number of chains that are read concurrently.
const maxConcurrentChains = 16

// Query selects decisions. A filter that is empty or zero matches every decision.
// Since is inclusive, Until is exclusive.
type Query struct {
	ID        usher.RequestID
	Workspace usher.WorkspaceName
	Key       string
	Endpoint  usher.EndpointName
	Outcome   usher.Outcome
	Refusal   usher.RefusalKind
	Since     time.Time
	Until     time.Time
	// Full reads every batch instead of only those that the indexes select.
	Full bool
}

// StoredDecision is a stored decision with the chain and the batch that contain it.
type StoredDecision struct {
	Writer   string `json:"writer"`
	Sequence uint64 `json:"sequence"`
	usher.Decision
}

// terms returns the terms that the indexes are searched for.
func (q *Query) terms() []string {
	var terms []string
	for _, term := range []struct{ field, value string }{
		{record.FieldID, string(q.ID)},
		{record.FieldWorkspace, string(q.Workspace)},
		{record.FieldKey, q.Key},
		{record.FieldEndpoint, string(q.Endpoint)},
		{record.FieldOutcome, string(q.Outcome)},
		{record.FieldRefusal, string(q.Refusal)},
	} {
		if term.value != "" {
			terms = append(terms, record.Term(term.field, term.value))
		}
	}
	return terms
}

// matches reports whether the query selects a decision.
func (q *Query) matches(d *usher.Decision) bool {
	return (q.ID == "" || q.ID == d.ID) &&
		(q.Workspace == "" || q.Workspace == d.Workspace) &&
		(q.Key == "" || q.Key == d.Key) &&
		(q.Endpoint == "" || q.Endpoint == d.Endpoint) &&
		(q.Outcome == "" || q.Outcome == d.Outcome) &&
		(q.Refusal == "" || q.Refusal == d.Refusal) &&
		(q.Since.IsZero() || !d.Time.Before(q.Since)) &&
		(q.Until.IsZero() || d.Time.Before(q.Until))
}

func (q *Query) mayMatch(batch *record.IndexedBatch, terms []string) bool {
	return (q.Since.IsZero() || !batch.Last.Before(q.Since)) &&
		(q.Until.IsZero() || batch.First.Before(q.Until)) && batch.MayContain(terms)
}

// ForEachLine calls visit for every line that the query matches. Chains are read
// concurrently, but visit is not called concurrently. If some objects can't be read, it
// visits the lines of all others and returns a *DamageError.
func (r *Reader) ForEachLine(ctx context.Context, query Query, visit func(StoredDecision) error) error {
	until := query.Until
	if until.IsZero() {
		until = time.Now()
	}
	chains, err := r.Chains(ctx, until)
	if err != nil {
		return err
	}
	s := &search{Reader: r, query: query, terms: query.terms(), visit: visit}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentChains)
	for _, chain := range chains {
		if !query.Until.IsZero() && !chain.Started.Before(query.Until) && chain.Role == record.RoleEntry {
			continue
		}
		group.Go(func() error { return s.searchChain(ctx, chain) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	return damageError(s.damage)
}

// search is the state of one running query.
type search struct {
	*Reader
	query Query
	terms []string

	mu     sync.Mutex
	visit  func(StoredDecision) error
	damage []error
}

func (s *search) addDamage(causes ...error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.damage = append(s.damage, causes...)
}

func (s *search) searchChain(ctx context.Context, chain *Chain) error {
	s.addDamage(chain.damage...)
	next := chain.firstSequence()
	if !s.query.Full {
		indexes, err := s.readIndexes(ctx, chain)
		if isUnreadable(err) {
			// Without its indexes, the whole chain is read.
			s.addDamage(err)
			indexes, err = nil, nil
		}
		if err != nil {
			return err
		}
		for _, index := range indexes {
			for i := range index.Batches {
				if err := s.readIndexed(ctx, chain, &index.Batches[i]); err != nil {
					return err
				}
				next = max(next, index.Batches[i].Sequence+1)
			}
		}
	}
	return s.ForEachBatch(ctx, chain.Name, next, 0, func(batch StoredBatch) error {
		if batch.misnamed != nil {
			s.addDamage(batch.misnamed)
			return nil
		}
		return s.visitMatches(chain.Name, batch.Sequence, batch.Object.Value)
	})
}

func (s *search) readIndexed(ctx context.Context, chain *Chain, batch *record.IndexedBatch) error {
	if batch.Sequence < chain.firstSequence() || !s.query.mayMatch(batch, s.terms) {
		return nil
	}
	object, err := s.get(ctx, record.BatchKey(chain.Name, batch.Sequence))
	var missing *usher.NotFoundError
	if errors.As(err, &missing) {
		// Missing batches are reported by Verify. A search skips them.
		return nil
	}
	if isUnreadable(err) {
		s.addDamage(&BatchError{Writer: chain.Name, Sequence: batch.Sequence, Cause: err})
		return nil
	}
	if err != nil {
		return err
	}
	return s.visitMatches(chain.Name, batch.Sequence, object.Value)
}

func (s *search) visitMatches(writer string, sequence uint64, value []byte) error {
	batch, err := record.Decode(value)
	if err != nil {
		s.addDamage(&BatchError{Writer: writer, Sequence: sequence, Cause: err})
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range batch.Decisions {
		if !s.query.matches(&batch.Decisions[i]) {
			continue
		}
		if err := s.visit(StoredDecision{Writer: writer, Sequence: sequence, Decision: batch.Decisions[i]}); err != nil {
			return err
		}
	}
	return nil
}

// Find returns the decisions that the query matches, one for each request, sorted
// from the oldest to the newest, and at most limit of them. With a *DamageError it returns
// those that can be read.
func (r *Reader) Find(ctx context.Context, query Query, limit int) ([]StoredDecision, error) {
	merged := make(map[usher.RequestID]StoredDecision)
	err := r.ForEachLine(ctx, query, func(line StoredDecision) error {
		existing, ok := merged[line.ID]
		if !ok || record.Supersedes(&line.Decision, &existing.Decision) {
			merged[line.ID] = line
		}
		return nil
	})
	lines := make([]StoredDecision, 0, len(merged))
	for _, line := range merged {
		lines = append(lines, line)
	}
	sort.Slice(lines, func(i, j int) bool {
		if lines[i].Time.Equal(lines[j].Time) {
			return lines[i].ID < lines[j].ID
		}
		return lines[i].Time.Before(lines[j].Time)
	})
	return lines[:min(len(lines), limit)], err
}
