// Package blame finds out which content of requests crashes endpoints, so that requests
// with it are refused. Gateway instances use it for all requests; entries and companions
// use it for the beginnings of prompts, and package suspect for whole requests, which
// companions run alone.
//
// A request has several traits: its whole content, and each part of its prompt that
// other requests may share. A crash is recorded for every trait of all requests that
// were running at the endpoint, most of which only ran beside the cause. Two
// observations single out the cause:
//
//   - An answer clears the traits of its request, because the cause is never answered.
//   - A trait that was present at other crashes explains this one, and the other traits
//     need no blame for it.
//
// For example, with requests that have the parts s, m and p:
//
//	{s, m, p} runs beside {s, n}, crash 1    s: 1  m: 1  n: 1  p: 1
//	{s, m} is answered                       s: 0  m: 0  n: 1  p: 1
//	{s, p} runs beside {s, m}, crash 2       s: 1  m: 1  n: 1  p: 2
//	{s, m, p} runs alone, crash 3            s: 2  m: 2  n: 1  p: 3, the cause of all three
//
// Instances exchange their records in the reports that they send each other. A crash
// has the same key at all instances, so that one that several of them saw counts once.
// Records are merged in any order with the same result.
package blame

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Record lists the crashes of endpoints that were running requests with a trait, the
// newest last. Generation counts the answers that cleared it, and Answered says that
// there was one before the record began. Age is the time since the last change, at the
// moment of the report.
type Record struct {
	Trait
	Generation uint64        `json:"generation"`
	Answered   bool          `json:"answered"`
	Crashes    []CrashKey    `json:"crashes"`
	Age        time.Duration `json:"ageNanos"`
}

const (
	// maxRecords bounds the records of a process and maxReported those of a report.
	maxRecords  = 1024
	maxReported = 32
	// maxCrashes bounds the crashes of a record and maxReportedCrashes those of all
	// records of a report.
	maxCrashes         = 32
	maxReportedCrashes = 256
	// maxTraits bounds the traits of one request for which a crash is recorded.
	maxTraits = 32
	// recordTTL is how long a record is kept after its last change.
	recordTTL = time.Hour
	// clearanceTTL is how long reports tell of an answer that cleared a record.
	clearanceTTL = time.Minute
)

// entry is a record with its state in this process. changed is when it last changed, and
// since is when the first of its crashes was recorded here. While it is a cause, one
// request with it is let through as a probe at probeAt.
type entry struct {
	Record
	changed, since time.Time
	cause          bool
	probeAt        time.Time
}

// Table holds the records that one instance knows. It is safe for concurrent use.
type Table struct {
	now     func() time.Time
	onCause func(Trait, int)

	mu       sync.Mutex
	records  map[Key]*entry
	answered *traitSet
	// causes is nil while no trait is blamed, which is nearly always.
	causes atomic.Pointer[causes]
	// reported holds copies of the records for Report, and size is the number of records.
	reported atomic.Pointer[[]entry]
	// revision grows with each change of reported.
	revision atomic.Uint64
	size     atomic.Int64
	// changed is signalled when a trait is blamed and when it is cleared.
	changed chan struct{}
}

// New returns an empty table. onCause is called, with the number of crashes, when a
// trait is blamed for the first time.
func New(now func() time.Time, onCause func(trait Trait, crashes int)) *Table {
	t := &Table{now: now, onCause: onCause, records: make(map[Key]*entry), answered: newTraitSet(), changed: make(chan struct{}, 1)}
	t.reported.Store(&[]entry{})
	return t
}

// RecordCrash records that an endpoint crashed while it ran a request with these traits.
func (t *Table) RecordCrash(traits []Trait, crash CrashKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, trait := range t.limit(traits) {
		e := t.entry(trait, now)
		if slices.Contains(e.Crashes, crash) {
			continue
		}
		e.addCrashes([]CrashKey{crash}, now)
	}
	t.update(now)
}

// limit returns the traits for which a crash is recorded: the most likely causes come
// first, those that were never answered.
func (t *Table) limit(traits []Trait) []Trait {
	limited := slices.Clone(traits)
	slices.SortStableFunc(limited, func(a, b Trait) int {
		return boolRank(t.answered.contains(a)) - boolRank(t.answered.contains(b))
	})
	return limited[:min(len(limited), maxTraits)]
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// entry returns the entry of a trait, which it creates if there is none or an expired one.
func (t *Table) entry(trait Trait, now time.Time) *entry {
	e := t.records[trait.Key]
	if e == nil || now.Sub(e.changed) > recordTTL {
		e = &entry{Record: Record{Trait: trait, Answered: t.answered.contains(trait)}, changed: now}
		t.records[trait.Key] = e
	}
	return e
}

func (e *entry) addCrashes(crashes []CrashKey, now time.Time) {
	if len(e.Crashes) == 0 {
		e.since = now
	}
	e.changed = now
	e.Crashes = append(e.Crashes, crashes...)
	if surplus := len(e.Crashes) - maxCrashes; surplus > 0 {
		e.Crashes = slices.Delete(e.Crashes, 0, surplus)
	}
	if e.cause {
		e.postponeProbe(now)
	}
}

// RecordAnswer records that a request with these traits was answered completely.
func (t *Table) RecordAnswer(traits []Trait) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	changed := false
	for _, trait := range traits {
		t.answered.add(trait)
		if e := t.records[trait.Key]; e != nil && len(e.Crashes) > 0 {
			e.Generation++
			t.clear(e, now)
			changed = true
		}
	}
	if changed {
		t.update(now)
	}
}

func (t *Table) clear(e *entry, now time.Time) {
	if e.cause {
		t.signalChange()
	}
	e.Answered, e.Crashes, e.changed, e.cause = true, nil, now, false
}

func (t *Table) signalChange() {
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// Answered reports whether requests with each of these traits were answered before, as
// far as this instance knows.
func (t *Table) Answered(traits []Trait) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, trait := range traits {
		if !t.answered.contains(trait) {
			return false
		}
	}
	return true
}

// HasCrash reports whether a crash was recorded.
func (t *Table) HasCrash(crash CrashKey) bool {
	if t.size.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.records {
		if slices.Contains(e.Crashes, crash) {
			return true
		}
	}
	return false
}

// Merge merges the records of another instance or of the store.
func (t *Table) Merge(records []Record) {
	if len(records) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	changed := false
	for i := range records {
		changed = t.mergeOne(&records[i], now) || changed
	}
	if changed {
		t.update(now)
	}
}

// mergeOne merges a record and reports whether it held anything new: the record of the
// higher generation wins, and within a generation the crashes of both count.
func (t *Table) mergeOne(record *Record, now time.Time) bool {
	if record.Age > recordTTL || record.Age < 0 {
		return false
	}
	changedAt := now.Add(-record.Age)
	e := t.records[record.Key]
	if e == nil {
		e = t.entry(record.Trait, changedAt)
	} else if record.Generation < e.Generation {
		return false
	}
	changed := false
	if record.Answered && !e.Answered {
		e.Answered, changed = true, true
	}
	if record.Generation > e.Generation {
		e.Generation = record.Generation
		t.clear(e, changedAt)
		changed = true
	}
	var added []CrashKey
	for _, crash := range record.Crashes {
		if !slices.Contains(e.Crashes, crash) {
			added = append(added, crash)
		}
	}
	if len(added) == 0 {
		return changed
	}
	changedBefore := e.changed
	e.addCrashes(added, now)
	e.changed = laterOf(changedBefore, changedAt)
	return true
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Report returns the records for a report to other instances: the causes first, then the
// traits that may be causes, then recent clearances.
func (t *Table) Report() []Record {
	reported := *t.reported.Load()
	if len(reported) == 0 {
		return nil
	}
	now := t.now()
	records := make([]Record, 0, len(reported))
	for _, e := range reported {
		e.Age = now.Sub(e.changed)
		if len(e.Crashes) > 0 || e.Age <= clearanceTTL {
			records = append(records, e.Record)
		}
	}
	return records
}

// Revision returns a number that grows when Report has news. A report that is taken after
// the call has all news of that revision.
func (t *Table) Revision() uint64 { return t.revision.Load() }

// updateReport sets the records that Report returns. They are shared with its callers,
// so they are copies. A record is reported with all of its crashes or not at all: the
// receiver compares the crashes of traits, and takes two for unlike if some are missing.
func (t *Table) updateReport() {
	byRelevance := t.byRelevance()
	reported := make([]entry, 0, min(len(byRelevance), maxReported))
	crashes := 0
	for _, e := range byRelevance[:min(len(byRelevance), maxReported)] {
		if crashes+len(e.Crashes) > maxReportedCrashes {
			continue
		}
		crashes += len(e.Crashes)
		copied := *e
		copied.Crashes = slices.Clone(e.Crashes)
		reported = append(reported, copied)
	}
	t.reported.Store(&reported)
	t.revision.Add(1)
}

func (t *Table) byRelevance() []*entry {
	entries := make([]*entry, 0, len(t.records))
	for _, e := range t.records {
		entries = append(entries, e)
	}
	slices.SortFunc(entries, compareRelevance)
	return entries
}

// compareRelevance orders causes before other traits, those with more crashes first and,
// among equals, those that changed last.
func compareRelevance(a, b *entry) int {
	if a.cause != b.cause {
		return boolRank(b.cause) - boolRank(a.cause)
	}
	if len(a.Crashes) != len(b.Crashes) {
		return len(b.Crashes) - len(a.Crashes)
	}
	return b.changed.Compare(a.changed)
}

// update drops expired and surplus records, and finds the causes again.
func (t *Table) update(now time.Time) {
	for key, e := range t.records {
		if now.Sub(e.changed) > recordTTL {
			delete(t.records, key)
		}
	}
	if len(t.records) > maxRecords {
		for _, e := range t.byRelevance()[maxRecords:] {
			delete(t.records, e.Key)
		}
	}
	t.size.Store(int64(len(t.records)))
	t.findCauses(now)
	t.updateReport()
}

// State returns the records for the diagnostic dump, the most relevant first.
func (t *Table) State() any {
	type state struct {
		Trait
		Crashes  int    `json:"crashes"`
		Answered bool   `json:"answered"`
		Blamed   bool   `json:"blamed"`
		Age      string `json:"age"`
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	entries := t.byRelevance()
	states := make([]state, 0, len(entries))
	for _, e := range entries {
		states = append(states, state{e.Trait, len(e.Crashes), e.Answered, e.cause, now.Sub(e.changed).Round(time.Millisecond).String()})
	}
	return states
}
