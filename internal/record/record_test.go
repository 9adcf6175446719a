package record_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/klauspost/compress/zstd"
	"pgregory.net/rapid"

	"filbertusher/internal/record"
	_ "filbertusher/internal/standin/property"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

// TestReadVersion1 decodes files stored in format version 1. The files must never
// change: every later version has to read them with the same result.
func TestReadVersion1(t *testing.T) {
	batch, err := record.Decode(readTestdata(t, "batch.zst"))
	if err != nil {
		t.Fatal(err)
	}
	compareJSON(t, "batch.json", batch)
	index, err := record.DecodeIndex(readTestdata(t, "index.zst"))
	if err != nil {
		t.Fatal(err)
	}
	compareJSON(t, "index.json", index)
	if diff := cmp.Diff(index.Batches[0], record.IndexBatch(&batch.Header, batch.Decisions)); diff != "" {
		t.Errorf("index entry of the batch (-stored +rebuilt):\n%s", diff)
	}
	var writer record.Writer
	var checkpoint record.Checkpoint
	for name, into := range map[string]any{"writer.json": &writer, "checkpoint.json": &checkpoint} {
		if err := json.Unmarshal(readTestdata(t, name), into); err != nil {
			t.Fatal(err)
		}
		compareJSON(t, name, into)
	}
}

func readTestdata(t *testing.T, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("testdata", "version1", name))
	if err != nil {
		t.Fatal(err)
	}
	return content
}

func compareJSON(t *testing.T, name string, got any) {
	t.Helper()
	encoded, err := json.MarshalIndent(got, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(readTestdata(t, name)), string(encoded)+"\n"); diff != "" {
		t.Errorf("%s (-want +got):\n%s", name, diff)
	}
}

func TestDecodeRejectsLaterVersion(t *testing.T) {
	batch, err := record.Decode(readTestdata(t, "batch-version2.zst"))
	want := &record.VersionError{Version: 2}
	if diff := cmp.Diff(error(want), err); diff != "" || batch != nil {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// TestDecodeRejectsWrongLineCount decodes a batch whose header states another number
// of lines than the batch has, as after the loss of a line.
func TestDecodeRejectsWrongLineCount(t *testing.T) {
	raw := `{"format":"filbertusher-record","version":1,"lines":2}` + "\n" + `{"id":"entry-1"}` + "\n"
	encoder, err := zstd.NewWriter(nil)
	if err != nil {
		t.Fatal(err)
	}
	_, err = record.Decode(encoder.EncodeAll([]byte(raw), nil))
	want := &record.FormatError{Reason: "the header counts 2 lines, there are 1"}
	if diff := cmp.Diff(error(want), err); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// FuzzDecode decodes arbitrary values, as a damaged store may hold them.
func FuzzDecode(f *testing.F) {
	for _, name := range []string{"batch.zst", "index.zst", "batch-version2.zst"} {
		content, err := os.ReadFile(filepath.Join("testdata", "version1", name))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(content)
		f.Add(content[:len(content)/2])
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		if batch, err := record.Decode(value); err == nil {
			if batch.Lines != len(batch.Decisions) || batch.Format != record.FormatName {
				t.Errorf("decoded an inconsistent batch: %+v", batch.Header)
			}
		}
		if index, err := record.DecodeIndex(value); err == nil {
			for i := range index.Batches {
				index.Batches[i].MayContain([]string{record.Term(record.FieldID, "x")})
			}
		}
	})
}

// drawDecision returns a decision with generated field values.
func drawDecision(t *rapid.T, i int) usher.Decision {
	text := rapid.StringN(0, 20, 40)
	return usher.Decision{
		ID: usher.RequestID("entry-" + text.Draw(t, "id")), View: usher.ViewEntry,
		Time:      time.Unix(int64(i), 0).UTC(),
		Workspace: usher.WorkspaceName(text.Draw(t, "workspace")), Key: text.Draw(t, "key"),
		Endpoint: usher.EndpointName(text.Draw(t, "endpoint")), Outcome: usher.OutcomeRan,
		Attempts: usher.Attempt(rapid.IntRange(0, 9).Draw(t, "attempts")),
	}
}

func TestBatchRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var decisions []usher.Decision
		for i := range rapid.IntRange(0, 30).Draw(t, "lines") {
			decisions = append(decisions, drawDecision(t, i))
		}
		header := record.Header{
			Writer: "writer", Role: record.RoleEntry, Sequence: rapid.Uint64().Draw(t, "sequence"), Previous: record.GenesisDigest("writer"),
			Seen: []wire.RecordHead{{Writer: "other", Sequence: 1, Digest: "d"}},
		}
		batch, err := record.Decode(record.Encode(header, decisions))
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(decisions, batch.Decisions); diff != "" {
			t.Fatalf("decisions (-want +got):\n%s", diff)
		}
		index := record.IndexBatch(&batch.Header, batch.Decisions)
		for _, decision := range decisions {
			terms := []string{record.Term(record.FieldID, string(decision.ID))}
			if decision.Key != "" {
				terms = append(terms, record.Term(record.FieldKey, decision.Key))
			}
			if !index.MayContain(terms) {
				t.Fatalf("index does not contain %v", terms)
			}
		}
	})
}
