package command

import (
	"context"
	"encoding/json"
	"errors"
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

// ExitInvalidRecord is the exit status of "record verify" if the record is incomplete or
// was altered.
const ExitInvalidRecord = 3

// InvalidRecordError is returned when the verification of the record found breaks:
// places where it is incomplete or was altered.
type InvalidRecordError struct{ Breaks int }

// Error implements error.
func (e *InvalidRecordError) Error() string {
	return "the record failed verification: " + strconv.Itoa(e.Breaks) + " breaks"
}

// DecisionNotFoundError is returned when the record contains no decision about a request.
type DecisionNotFoundError struct{ ID usher.RequestID }

// Error implements error.
func (e *DecisionNotFoundError) Error() string {
	return "the record contains no decision about request " + string(e.ID)
}

// newRecordCommand returns the commands for inspecting and maintaining the record.
func newRecordCommand() *Command {
	command := New("record", "search, verify and export the record of decisions")
	command.Children = []*Command{
		newRecordFindCommand(), newRecordShowCommand(), newRecordVerifyCommand(), newRecordExportCommand(), newRecordExpireCommand(),
	}
	return command
}

// declareRecordReader declares the settings of a reader of the record. The returned
// function creates the reader; it must be called after the settings were parsed.
func declareRecordReader(set *settings.Set) func() *archive.Reader {
	var store string
	var callsPerSecond int
	set.Address(&store, "store", "", true, "the address of the platform's object API")
	set.Int(&callsPerSecond, "calls", 500, 1, 1000000, "the maximum number of calls per second to the store")
	return func() *archive.Reader {
		return archive.NewRateLimitedReader(platform.NewClientAt(store), rate.Limit(callsPerSecond))
	}
}

// queryFlags holds the flags that select decisions.
type queryFlags struct {
	workspace, key, endpoint, outcome, refusal, since, until string
	full                                                     bool
}

func (q *queryFlags) declare(set *settings.Set) {
	set.String(&q.workspace, "workspace", "", false, "only decisions on requests of this workspace")
	set.String(&q.key, "key", "", false, "only decisions on requests with this idempotency key")
	set.String(&q.endpoint, "endpoint", "", false, "only decisions on requests that were last offered to this endpoint")
	set.Choice(&q.outcome, "outcome", "", []string{"", string(usher.OutcomeRan), string(usher.OutcomeNotRun), string(usher.OutcomeUnknown)}, "only decisions with this outcome")
	set.String(&q.refusal, "refusal", "", false, "only refusals of this kind")
	set.String(&q.since, "since", "", false, "only decisions from this time on, such as 2026-12-04T08:00:00Z, or 2h for two hours ago")
	set.String(&q.until, "until", "", false, "only decisions before this time")
	set.Bool(&q.full, "full", false, "read every batch instead of relying on the indexes")
}

func (q *queryFlags) query() (archive.Query, error) {
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

// parseTime parses a time in RFC 3339 format, or a duration before now. It returns
// the zero time if text is empty.
func parseTime(setting, text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if age, err := time.ParseDuration(text); err == nil {
		return time.Now().Add(-age), nil
	}
	parsed, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, &settings.Error{Setting: setting, Value: text, Allowed: "a time such as 2026-12-04T08:00:00Z or a duration such as 2h"}
	}
	return parsed, nil
}

func newRecordFindCommand() *Command {
	command := New("find", "print the decisions that match, one JSON line for each request, the oldest first")
	newReader := declareRecordReader(command.Settings)
	var q queryFlags
	var limit int
	q.declare(command.Settings)
	command.Settings.Int(&limit, "limit", 1000, 1, 10000000, "the maximum number of decisions to print")
	command.Run = func(ctx context.Context, out, _ io.Writer) error {
		query, err := q.query()
		if err != nil {
			return err
		}
		decisions, err := newReader().Find(ctx, query, limit)
		damage := new(archive.DamageError)
		if err != nil && !errors.As(err, &damage) {
			return err
		}
		encoder := json.NewEncoder(out)
		for _, decision := range decisions {
			if err := encoder.Encode(decision); err != nil {
				return err
			}
		}
		return err
	}
	return command
}

func newRecordShowCommand() *Command {
	command := New("show", "print everything that the record contains about one request")
	newReader := declareRecordReader(command.Settings)
	var id string
	command.Subcommand.AddPositionalValue(&id, "ID", 1, true, "the id that the caller got as X-Request-Id")
	command.Run = func(ctx context.Context, out, _ io.Writer) error {
		found := false
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		err := newReader().ForEachLine(ctx, archive.Query{ID: usher.RequestID(id)}, func(decision archive.StoredDecision) error {
			found = true
			return encoder.Encode(decision)
		})
		if err == nil && !found {
			return &DecisionNotFoundError{ID: usher.RequestID(id)}
		}
		return err
	}
	return command
}

func newRecordExportCommand() *Command {
	command := New("export", "print every stored decision that matches, each as one JSON line, in no particular order")
	newReader := declareRecordReader(command.Settings)
	var q queryFlags
	q.declare(command.Settings)
	command.Run = func(ctx context.Context, out, _ io.Writer) error {
		query, err := q.query()
		if err != nil {
			return err
		}
		encoder := json.NewEncoder(out)
		return newReader().ForEachLine(ctx, query, func(decision archive.StoredDecision) error { return encoder.Encode(decision) })
	}
	return command
}

func newRecordVerifyCommand() *Command {
	command := New("verify", "read the whole record and report where it differs from what was written; exit status 3 if it does")
	newReader := declareRecordReader(command.Settings)
	var anchors, output string
	command.Settings.String(&anchors, "anchors", "", false, "a file that an earlier verification wrote with --keep; the record must continue from it")
	command.Settings.String(&output, "keep", "", false, "a file to write the heads of the chains to, for --anchors of later verifications")
	command.Run = func(ctx context.Context, out, _ io.Writer) error {
		heads, err := readAnchors(anchors)
		if err != nil {
			return err
		}
		report, err := newReader().Verify(ctx, heads)
		if err != nil {
			return err
		}
		if err := writeAnchors(output, report.Heads); err != nil {
			return err
		}
		report.Heads = nil
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(report); err != nil {
			return err
		}
		if len(report.Breaks) > 0 {
			return &ExitError{Status: ExitInvalidRecord, Cause: &InvalidRecordError{Breaks: len(report.Breaks)}}
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

// anchorFileMode is the mode of anchor files. Other users may read them, because
// they contain only digests.
const anchorFileMode = 0o644

func writeAnchors(path string, heads []wire.RecordHead) error {
	if path == "" {
		return nil
	}
	content, err := json.MarshalIndent(heads, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, content, anchorFileMode)
}

func newRecordExpireCommand() *Command {
	command := New("expire", "delete batches older than the retention; the rest stays verifiable")
	newReader := declareRecordReader(command.Settings)
	var retention time.Duration
	command.Settings.Duration(&retention, "retention", 0, 0, 100*365*24*time.Hour, "how long decisions are kept; required")
	command.Run = func(ctx context.Context, out, _ io.Writer) error {
		if retention == 0 {
			return &settings.Error{Setting: "retention", Value: "0s", Allowed: "a duration such as 87600h for ten years"}
		}
		expired, err := newReader().Expire(ctx, time.Now(), retention)
		fmt.Fprintf(out, "expired chains=%d batches=%d lines=%d\n", expired.Chains, expired.Batches, expired.Lines)
		return err
	}
	return command
}
