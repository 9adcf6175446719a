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

// readersAtOnce bounds the chains that are read at once.
const readersAtOnce = 16

// Query says which decisions are wanted. Empty fields do not matter.
type Query struct {
	ID        usher.RequestID
	Workspace usher.WorkspaceName
	Key       string
	Endpoint  usher.EndpointName
	Outcome   usher.Outcome
	Refusal   usher.RefusalKind
	Since     time.Time
	Until     time.Time
	// Full reads every batch instead of trusting the indexes.
	Full bool
}

// Line is a decision with the place where it stands.
type Line struct {
	Writer   string `json:"writer"`
	Sequence uint64 `json:"sequence"`
	usher.Decision
}

// terms are what an index is asked for.
func (q *Query) terms() []string {
	var terms []string
	for _, one := range []struct{ field, value string }{
		{record.FieldID, string(q.ID)},
		{record.FieldWorkspace, string(q.Workspace)},
		{record.FieldKey, q.Key},
		{record.FieldEndpoint, string(q.Endpoint)},
		{record.FieldOutcome, string(q.Outcome)},
		{record.FieldRefusal, string(q.Refusal)},
	} {
		if one.value != "" {
			terms = append(terms, record.Term(one.field, one.value))
		}
	}
	return terms
}

// wants says whether a decision is one of those that are asked for.
func (q *Query) wants(d *usher.Decision) bool {
	return (q.ID == "" || q.ID == d.ID) &&
		(q.Workspace == "" || q.Workspace == d.Workspace) &&
		(q.Key == "" || q.Key == d.Key) &&
		(q.Endpoint == "" || q.Endpoint == d.Endpoint) &&
		(q.Outcome == "" || q.Outcome == d.Outcome) &&
		(q.Refusal == "" || q.Refusal == d.Refusal) &&
		(q.Since.IsZero() || !d.Time.Before(q.Since)) &&
		(q.Until.IsZero() || d.Time.Before(q.Until))
}

func (q *Query) mayBeIn(batch *record.IndexedBatch, terms []string) bool {
	return (q.Since.IsZero() || !batch.Last.Before(q.Since)) &&
		(q.Until.IsZero() || batch.First.Before(q.Until)) && batch.MayHave(terms)
}

// Each calls visit for every line that the query wants, from several chains
// at once but one call at a time.
func (r *Reader) Each(ctx context.Context, query Query, visit func(Line) error) error {
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
	group.SetLimit(readersAtOnce)
	for _, chain := range chains {
		if !query.Until.IsZero() && !chain.Started.Before(query.Until) && chain.Role == record.RoleEntry {
			continue
		}
		group.Go(func() error { return s.chain(ctx, chain) })
	}
	return group.Wait()
}

// search is one query under way.
type search struct {
	*Reader
	query Query
	terms []string

	mu    sync.Mutex
	visit func(Line) error
}

func (s *search) chain(ctx context.Context, chain *Chain) error {
	next := chain.first()
	if !s.query.Full {
		indexes, err := s.indexes(ctx, chain)
		if err != nil {
			return err
		}
		for _, index := range indexes {
			for i := range index.Batches {
				if err := s.indexed(ctx, chain, &index.Batches[i]); err != nil {
					return err
				}
				next = max(next, index.Batches[i].Sequence+1)
			}
		}
	}
	return s.Batches(ctx, chain.Name, next, 0, func(batch StoredBatch) error {
		return s.read(chain.Name, batch.Sequence, batch.Object.Value)
	})
}

func (s *search) indexed(ctx context.Context, chain *Chain, batch *record.IndexedBatch) error {
	if batch.Sequence < chain.first() || !s.query.mayBeIn(batch, s.terms) {
		return nil
	}
	object, err := s.get(ctx, record.BatchKey(chain.Name, batch.Sequence))
	var missing *usher.NotFoundError
	if errors.As(err, &missing) {
		// Verification tells of batches that are gone; a search goes on.
		return nil
	}
	if err != nil {
		return err
	}
	return s.read(chain.Name, batch.Sequence, object.Value)
}

func (s *search) read(writer string, sequence uint64, value []byte) error {
	batch, err := record.Open(value)
	if err != nil {
		return &BatchError{Writer: writer, Sequence: sequence, Cause: err}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range batch.Decisions {
		if !s.query.wants(&batch.Decisions[i]) {
			continue
		}
		if err := s.visit(Line{Writer: writer, Sequence: sequence, Decision: batch.Decisions[i]}); err != nil {
			return err
		}
	}
	return nil
}

// Find returns the decisions that the query wants, one for each request, from
// the oldest to the newest, and at most limit of them.
func (r *Reader) Find(ctx context.Context, query Query, limit int) ([]Line, error) {
	merged := make(map[usher.RequestID]Line)
	err := r.Each(ctx, query, func(line Line) error {
		existing, ok := merged[line.ID]
		if !ok || record.Supersedes(&line.Decision, &existing.Decision) {
			merged[line.ID] = line
		}
		return nil
	})
	lines := make([]Line, 0, len(merged))
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
