package archive_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"testing"
	"time"

	"filbertusher/internal/archive"
	"filbertusher/internal/record"
	"filbertusher/pkg/usher"
)

const (
	// linesPerBatch and batchesPerIndex are what an entry at the target size
	// writes: 19 requests a second for 10 s, and an index for each 50 batches.
	linesPerBatch   = 194
	batchesPerIndex = 50
)

// writerCount is the number of writers of a record.
const writerCount = 33

// largeRecord is a record of 33 writers, with a request ID of each writer and some
// keys to search for.
type largeRecord struct {
	*memoryStore
	ids  []usher.RequestID
	keys []string
}

func newLargeRecord(batches int) *largeRecord {
	r := &largeRecord{memoryStore: newMemoryStore()}
	for w := range writerCount {
		name := fmt.Sprintf("0b0f1f9e-6a7b-4c1d-9e51-%012d", w)
		value, _ := json.Marshal(record.Writer{Format: record.FormatName, Version: 1, Name: name, Role: record.RoleEntry, Started: start})
		r.put(record.WriterKey(name, start), value)
		r.chain(name, batches)
	}
	return r
}

// put writes an object without resetting the sorted key list, unlike set.
func (r *largeRecord) put(key usher.ObjectKey, value []byte) {
	r.objects[key] = usher.Object{Key: key, Version: 1, Value: value}
}

func (r *largeRecord) chain(writer string, batches int) {
	previous := record.GenesisDigest(writer)
	index := &record.Index{Writer: writer}
	for sequence := range batches {
		decisions := make([]usher.Decision, linesPerBatch)
		at := start.Add(time.Duration(sequence) * 10 * time.Second)
		for i := range decisions {
			decisions[i] = r.decision(writer, sequence*linesPerBatch+i, at)
		}
		header := record.Header{
			Writer: writer, Role: record.RoleEntry, Sequence: uint64(sequence), Previous: previous, First: at, Last: at, Lines: len(decisions),
		}
		value := record.Encode(header, decisions)
		previous = usher.DigestOf(value)
		r.put(record.BatchKey(writer, uint64(sequence)), value)
		index.Batches = append(index.Batches, record.IndexBatch(&header, decisions))
		if len(index.Batches) == batchesPerIndex {
			r.put(record.IndexKey(writer, index.Number), record.EncodeIndex(index))
			index = &record.Index{Writer: writer, Number: index.Number + 1}
		}
	}
	r.ids = append(r.ids, usher.RequestID(writer+"-1"))
}

func (r *largeRecord) decision(writer string, i int, at time.Time) usher.Decision {
	sum := sha256.Sum256([]byte(writer + strconv.Itoa(i)))
	digest := hex.EncodeToString(sum[:])
	random, _ := strconv.ParseUint(digest[:15], 16, 64)
	decision := usher.Decision{
		Time: at, ID: usher.RequestID(writer + "-" + strconv.FormatInt(int64(i), 36)), View: usher.ViewEntry,
		Workspace: usher.WorkspaceName("workspace-" + strconv.FormatUint(random%34000, 10)), TokenName: "main",
		Service: "advice", Tier: "normal", ConfigVersion: 123456, Preset: "ordinary",
		Endpoint: usher.EndpointName("advice-" + strconv.FormatUint(random/7%770, 10)), Attempts: 1,
		Outcome: usher.OutcomeRan, Status: 200, RequestSHA256: digest, AnswerSHA256: digest, AnswerBytes: 700, Duration: usher.Duration(random % 5e9),
	}
	if i%10 == 0 {
		decision.Key = "order-" + digest[:16]
		if i%100000 == 0 {
			r.keys = append(r.keys, decision.Key)
		}
	}
	return decision
}

// BenchmarkFind searches records of increasing size, given as the number of batches
// per writer. With 25 batches none is indexed yet; with the other numbers all are. The
// store is in this process, so the time measured is that of the reader alone; store
// calls are counted.
func BenchmarkFind(b *testing.B) {
	for _, batches := range []int{25, 150, 300, 600} {
		r := newLargeRecord(batches)
		lines := batches * writerCount * linesPerBatch
		queries := map[string]archive.Query{
			"id":        {ID: r.ids[len(r.ids)/2]},
			"key":       {Key: r.keys[len(r.keys)/2]},
			"workspace": {Workspace: "workspace-77"},
			"full-key":  {Key: r.keys[len(r.keys)/2], Full: true},
		}
		for _, name := range []string{"id", "key", "workspace", "full-key"} {
			b.Run(fmt.Sprintf("lines=%d/by=%s", lines, name), func(b *testing.B) {
				r.gets, r.lists = 0, 0
				found := 0
				for range b.N {
					got, err := archive.NewReader(r).Find(context.Background(), queries[name], 1000)
					if err != nil || len(got) == 0 {
						b.Fatal(len(got), err)
					}
					found = len(got)
				}
				b.ReportMetric(float64(r.gets)/float64(b.N), "gets/op")
				b.ReportMetric(float64(r.lists)/float64(b.N), "lists/op")
				b.ReportMetric(float64(found), "found")
			})
		}
		b.Run(fmt.Sprintf("lines=%d/verify", lines), func(b *testing.B) {
			for range b.N {
				report, err := archive.NewReader(r).Verify(context.Background(), nil)
				if err != nil || len(report.Breaks) > 0 {
					b.Fatal(report, err)
				}
			}
		})
	}
}
