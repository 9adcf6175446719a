// Package suspect records which requests were running in an endpoint when it
// crashed, to keep a request that crashes endpoints from being retried forever. A
// request is identified by a fingerprint, so that it is recognised when its
// caller retries it with another ID or through another process.
//
// A crash makes every request that ran in the endpoint a suspect. A suspect runs
// alone in its endpoint when it is retried. If it ends, it is cleared at once. If
// the endpoint crashes again, this request was the cause, and it is refused after
// a configured number of crashes:
//
//	requests a, b, c run   endpoint crashes       a: 1  b: 1  c: 1
//	a is retried           runs alone, ends       a cleared
//	b is retried           runs alone, crashes    b: 2  refused from now on
//
// Each process adds its records to messages that it sends anyway, so that they
// spread while the store is unavailable. Some processes also write them to the
// store, so that they survive restarts. Records are merged in any order with the
// same result: the record with the higher generation wins, and with the same
// generation the one with more crashes. Clearing a request raises its generation.
//
// Companions run suspects alone, clear them and write the records to the store;
// entries read them there. Gateway instances use package blame instead, which also finds
// what different requests have in common.
package suspect

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"filbertusher/pkg/usher"
)

// Fingerprint identifies a request by its workspace, service and content. Request
// IDs and idempotency keys are not part of it, because they change when the caller
// retries.
type Fingerprint string

// fingerprintBytes is the number of bytes that a fingerprint keeps of the SHA-256.
const fingerprintBytes = 16

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(header *usher.RequestHeader) Fingerprint {
	hash := sha256.New()
	for _, part := range []string{string(header.Workspace), string(header.Service), string(header.Digest)} {
		hash.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	return Fingerprint(hex.EncodeToString(hash.Sum(nil)[:fingerprintBytes]))
}

// CrashRecord counts the endpoint crashes during one request. With 0 crashes the
// request is cleared. Generation counts its clearances, and Seen is the time of
// its last crash or clearance.
type CrashRecord struct {
	Fingerprint Fingerprint         `json:"fingerprint"`
	Generation  uint64              `json:"generation"`
	Crashes     int                 `json:"crashes"`
	Workspace   usher.WorkspaceName `json:"workspace"`
	Service     usher.ServiceName   `json:"service"`
	Seen        time.Time           `json:"seen"`
}

// supersedes reports whether c replaces other when records are merged.
func (c *CrashRecord) supersedes(other *CrashRecord) bool {
	if c.Generation != other.Generation {
		return c.Generation > other.Generation
	}
	return c.Crashes > other.Crashes
}

const (
	// maxRecords is the number of records that a process keeps, and that the
	// stored object holds. Crashes are rare.
	maxRecords = 1024
	// maxRecentRecords is the number of records that one message carries.
	maxRecentRecords = 32
	// recordTTL is how long a record is kept after the last crash or clearance of
	// its request.
	recordTTL = time.Hour
)

// Table holds the crash records that one process knows of. It is safe for
// concurrent use.
type Table struct {
	mu      sync.Mutex
	records map[Fingerprint]CrashRecord
	recent  atomic.Pointer[[]CrashRecord]
	// changed is signalled after each change of the records.
	changed chan struct{}
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{records: make(map[Fingerprint]CrashRecord), changed: make(chan struct{}, 1)}
	t.recent.Store(&[]CrashRecord{})
	return t
}

// Crashes returns how many endpoints crashed while the request was running in
// them. While there are no records it costs one atomic load, and fingerprint is
// not called.
func (t *Table) Crashes(fingerprint func() Fingerprint) int {
	if len(*t.recent.Load()) == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records[fingerprint()].Crashes
}

// Recent returns the most recent records, for messages to other processes. The
// caller must not modify the slice.
func (t *Table) Recent() []CrashRecord { return *t.recent.Load() }

// RecordCrash counts an endpoint crash while the request was running, and returns
// the new number of crashes. It counts on from header.Crashes if that is higher:
// the sender may know of crashes that this process has not heard of, and they
// would be lost otherwise, because the higher count wins.
func (t *Table) RecordCrash(header *usher.RequestHeader) int {
	return t.update(header, func(c *CrashRecord) { c.Crashes = max(c.Crashes, header.Crashes) + 1 })
}

// MarkCleared clears the request, after it ended while it ran alone.
func (t *Table) MarkCleared(header *usher.RequestHeader) {
	t.update(header, func(c *CrashRecord) {
		c.Generation++
		c.Crashes = 0
	})
}

func (t *Table) update(header *usher.RequestHeader, change func(*CrashRecord)) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	record := t.records[FingerprintOf(header)]
	record.Fingerprint, record.Workspace, record.Service = FingerprintOf(header), header.Workspace, header.Service
	record.Seen = time.Now()
	change(&record)
	t.store(record)
	t.publishRecent()
	return record.Crashes
}

// Merge merges records of another process or the store, and reports whether any of
// them was new.
func (t *Table) Merge(records []CrashRecord) bool {
	if len(records) == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, record := range records {
		known, ok := t.records[record.Fingerprint]
		if time.Since(record.Seen) > recordTTL || ok && !record.supersedes(&known) {
			continue
		}
		t.store(record)
		changed = true
	}
	if changed {
		t.publishRecent()
	}
	return changed
}

// store adds or replaces a record, and drops the one seen longest ago if there
// are too many. The caller must hold t.mu.
func (t *Table) store(record CrashRecord) {
	t.records[record.Fingerprint] = record
	if len(t.records) <= maxRecords {
		return
	}
	oldest := record
	for _, other := range t.records {
		if other.Seen.Before(oldest.Seen) {
			oldest = other
		}
	}
	delete(t.records, oldest.Fingerprint)
}

// publishRecent drops expired records, updates the recent ones that messages
// carry, and signals the change. Cleared records are among them, so that other
// processes learn of the clearance. The caller must hold t.mu.
func (t *Table) publishRecent() {
	recent := make([]CrashRecord, 0, min(len(t.records), maxRecentRecords))
	for fingerprint, record := range t.records {
		if time.Since(record.Seen) > recordTTL {
			delete(t.records, fingerprint)
			continue
		}
		recent = append(recent, record)
	}
	sortNewestFirst(recent)
	recent = recent[:min(len(recent), maxRecentRecords)]
	t.recent.Store(&recent)
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// State returns all records for the diagnostic dump, newest first.
func (t *Table) State() any {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]CrashRecord, 0, len(t.records))
	for _, record := range t.records {
		all = append(all, record)
	}
	sortNewestFirst(all)
	return all
}
