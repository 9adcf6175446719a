package operator

import (
	"bytes"
	"context"
	"errors"
	"sort"
	"strconv"
	"strings"
	"time"

	"filbertusher/internal/config"
	"filbertusher/pkg/usher"
)

// Current returns the newest accepted configuration.
func (c *Client) Current(ctx context.Context) (*config.Snapshot, error) {
	snapshot, _, err := config.LoadCurrent(ctx, c.store, c.cached.Load())
	if err == nil {
		c.cached.Store(snapshot)
	}
	return snapshot, err
}

// At returns the configuration of a version.
func (c *Client) At(ctx context.Context, version usher.Version) (*config.Snapshot, error) {
	current, err := c.Current(ctx)
	if err != nil || current.Version == version {
		return current, err
	}
	archived, err := config.LoadArchivedHead(ctx, c.store, version)
	if err != nil {
		return nil, err
	}
	return config.Load(ctx, c.store, archived, current)
}

// History returns at most limit accepted changes, the newest first.
func (c *Client) History(ctx context.Context, limit int) ([]config.Head, error) {
	head, _, err := config.LoadHead(ctx, c.store)
	if err != nil || head.Version == 0 {
		return nil, err
	}
	history := []config.Head{*head}
	for version := head.Version; version > 1 && len(history) < limit; {
		version--
		archived, err := config.LoadArchivedHead(ctx, c.store, version)
		var notFound *usher.NotFoundError
		if errors.As(err, &notFound) {
			// A merge of diverged histories may skip version numbers, and all versions
			// before a restored one may be lost.
			continue
		}
		if err != nil {
			return history, err
		}
		history = append(history, *archived)
	}
	return history, nil
}

// DifferingObjects returns the wanted objects that are absent from current or have another
// value there, sorted by key.
func DifferingObjects(current *config.Snapshot, wanted []usher.Object) []usher.Object {
	var differing []usher.Object
	for _, object := range wanted {
		if existing, ok := current.Object(object.Key); !ok || !bytes.Equal(existing.Value, object.Value) {
			differing = append(differing, object)
		}
	}
	sort.Slice(differing, func(i, j int) bool { return differing[i].Key < differing[j].Key })
	return differing
}

// FormatDiff formats a change as a diff against current.
func FormatDiff(current *config.Snapshot, put []usher.Object, deleted []usher.ObjectKey) string {
	var b strings.Builder
	for _, object := range put {
		name := strings.TrimPrefix(string(object.Key), string(config.Prefix))
		existing, ok := current.Object(object.Key)
		if !ok {
			b.WriteString("+ " + name + "\n    " + string(object.Value) + "\n")
			continue
		}
		b.WriteString("~ " + name + "\n  - " + string(existing.Value) + "\n  + " + string(object.Value) + "\n")
	}
	for _, key := range deleted {
		b.WriteString("- " + strings.TrimPrefix(string(key), string(config.Prefix)) + "\n")
	}
	return b.String()
}

// FormatHead formats an accepted change as one line.
func FormatHead(head *config.Head) string {
	return head.Time.Format(time.RFC3339) + " " + head.Author + " " + summarizeHead(head)
}

func summarizeHead(head *config.Head) string {
	changed := make([]string, len(head.Changed))
	for i, key := range head.Changed {
		changed[i] = strings.TrimPrefix(string(key), string(config.Prefix))
	}
	summary := "version " + strconv.FormatUint(uint64(head.Version), 10) + " change " + string(head.ID) + " of " + strings.Join(changed, ", ")
	if head.Truncated {
		summary += " and more"
	}
	if head.Note != "" {
		summary += " (" + head.Note + ")"
	}
	return summary
}
