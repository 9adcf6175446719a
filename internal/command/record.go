package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"filbertusher/internal/archive"
	"filbertusher/internal/settings"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
	"filbertusher/platform"
)

// ExitBroken is the exit status of "record verify" when the record is not
// whole.
const ExitBroken = 3

// BrokenRecordError is returned when a verification found breaks.
type BrokenRecordError struct{ Breaks int }

// Error implements error.
func (e *BrokenRecordError) Error() string {
	return "the record is not whole: " + strconv.Itoa(e.Breaks) + " breaks"
}

// NoDecisionError is returned when the record has no decision on a request.
type NoDecisionError struct{ ID usher.RequestID }

// Error implements error.
func (e *NoDecisionError) Error() string { return "the record has no request " + string(e.ID) }

// newRecordCommand is what an inspector uses.
func newRecordCommand() *Command {
	command := New("record", "search, verify and export the record of decisions")
	command.Children = []*Command{
		newRecordFind(), newRecordShow(), newRecordVerify(), newRecordExport(), newRecordExpire(),
	}
	return command
}

// recordReader declares the store's address and returns how to get a reader.
func recordReader(set *settings.Set) func() *archive.Reader {
	var store string
	var reads int
	set.Address(&store, "store", "", true, "the platform's object API")
	set.Int(&reads, "calls", 500, 1, 1000000, "how many calls a second are made to it at most")
	return func() *archive.Reader {
		return archive.NewPacedReader(platform.NewClientAt(store), rate.Limit(reads))
	}
}

// querySettings are the flags that choose decisions.
type querySettings struct {
	workspace, key, endpoint, outcome, refusal, since, until string
	full                                                     bool
}

func (q *querySettings) declare(set *settings.Set) {
	set.Text(&q.workspace, "workspace", "", false, "only decisions on requests of this workspace")
	set.Text(&q.key, "key", "", false, "only decisions on requests with this idempotency key")
	set.Text(&q.endpoint, "endpoint", "", false, "only decisions on requests that were last offered to this endpoint")
	set.Choice(&q.outcome, "outcome", "", []string{"", string(usher.OutcomeRan), string(usher.OutcomeNotRun), string(usher.OutcomeUnknown)}, "only decisions with this outcome")
	set.Text(&q.refusal, "refusal", "", false, "only refusals of this kind")
	set.Text(&q.since, "since", "", false, "only decisions from this time on, such as 2026-12-04T08:00:00Z, or 2h for two hours ago")
	set.Text(&q.until, "until", "", false, "only decisions before this time")
	set.Bool(&q.full, "full", false, "read every batch instead of trusting the indexes")
}

func (q *querySettings) query() (archive.Query, error) {
	since, err := parseTime("since", q.since)
	if err != nil {
		return archive.Query{}, err
	}
	until, err := parseTime("until", q.until)
	return archive.Query{
		Workspace: usher.WorkspaceName(q.workspace), Key: q.key, Endpoint: usher.EndpointName(q.endpoint),
		Outcome: usher.Outcome(q.outcome), Refusal: usher.RefusalKind(q.refusal), Since: since, Until: until, Full: q.full,
	}, err
}

// parseTime reads a moment, or how long ago it was. Empty text is no moment.
func parseTime(setting, text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if ago, err := time.ParseDuration(text); err == nil {
		return time.Now().Add(-ago), nil
	}
	moment, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, &settings.Error{Setting: setting, Value: text, Allowed: "a time such as 2026-12-04T08:00:00Z or a duration such as 2h"}
	}
	return moment, nil
}

func newRecordFind() *Command {
	command := New("find", "print the decisions that match, one JSON line for each request")
	reader := recordReader(command.Settings)
	var q querySettings
	var limit int
	q.declare(command.Settings)
	command.Settings.Int(&limit, "limit", 1000, 1, 10000000, "how many decisions are printed at most")
	command.Run = func(ctx context.Context, out, _ io.Writer) error {
		query, err := q.query()
		if err != nil {
			return err
		}
		lines, err := reader().Find(ctx, query, limit)
		if err != nil {
			return err
		}
		encoder := json.NewEncoder(out)
		for _, line := range lines {
			if err := encoder.Encode(line); err != nil {
				return err
			}
		}
		return nil
	}
	return command
}

func newRecordShow() *Command {
	command := New("show", "print all that the record holds of one request")
	reader := recordReader(command.Settings)
	var id string
	command.Subcommand.AddPositionalValue(&id, "ID", 1, true, "the id that the caller got as X-Request-Id")
	command.Run = func(ctx context.Context, out, _ io.Writer) error {
		found := false
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		err := reader().Each(ctx, archive.Query{ID: usher.RequestID(id)}, func(line archive.Line) error {
			found = true
			return encoder.Encode(line)
		})
		if err == nil && !found {
			return &NoDecisionError{ID: usher.RequestID(id)}
		}
		return err
	}
	return command
}

func newRecordExport() *Command {
	command := New("export", "print every line that matches, as JSON lines in no order")
	reader := recordReader(command.Settings)
	var q querySettings
	q.declare(command.Settings)
	command.Run = func(ctx context.Context, out, _ io.Writer) error {
		query, err := q.query()
		if err != nil {
			return err
		}
		encoder := json.NewEncoder(out)
		return reader().Each(ctx, query, func(line archive.Line) error { return encoder.Encode(line) })
	}
	return command
}

func newRecordVerify() *Command {
	command := New("verify", "read the whole record and tell where it is not what was written; exit status 3 if so")
	reader := recordReader(command.Settings)
	var anchors, keep string
	command.Settings.Text(&anchors, "anchors", "", false, "a file that an earlier verification kept; the record must continue from it")
	command.Settings.Text(&keep, "keep", "", false, "a file to keep the ends of the chains in, for later verifications")
	command.Run = func(ctx context.Context, out, _ io.Writer) error {
		heads, err := readAnchors(anchors)
		if err != nil {
			return err
		}
		report, err := reader().Verify(ctx, heads)
		if err != nil {
			return err
		}
		if err := keepAnchors(keep, report.Heads); err != nil {
			return err
		}
		report.Heads = nil
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(report); err != nil {
			return err
		}
		if len(report.Breaks) > 0 {
			return &ExitError{Status: ExitBroken, Cause: &BrokenRecordError{Breaks: len(report.Breaks)}}
		}
		return nil
	}
	return command
}

func readAnchors(path string) ([]wire.RecordHead, error) {
	if path == "" {
		return nil, nil
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var heads []wire.RecordHead
	return heads, json.Unmarshal(content, &heads)
}

// anchorMode lets others read the file, which holds digests only.
const anchorMode = 0o644

func keepAnchors(path string, heads []wire.RecordHead) error {
	if path == "" {
		return nil
	}
	content, err := json.MarshalIndent(heads, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, content, anchorMode)
}

func newRecordExpire() *Command {
	command := New("expire", "remove batches older than the retention, and keep the rest verifiable")
	reader := recordReader(command.Settings)
	var retention time.Duration
	command.Settings.Duration(&retention, "retention", 0, 0, 100*365*24*time.Hour, "how long decisions are kept; it has to be given")
	command.Run = func(ctx context.Context, out, _ io.Writer) error {
		if retention == 0 {
			return &settings.Error{Setting: "retention", Value: "0s", Allowed: "a duration such as 87600h for ten years"}
		}
		expired, err := reader().Expire(ctx, time.Now(), retention)
		fmt.Fprintf(out, "expired chains=%d batches=%d lines=%d\n", expired.Chains, expired.Batches, expired.Lines)
		return err
	}
	return command
}
