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

// Current returns the configuration that is accepted.
func (o *Operator) Current(ctx context.Context) (*config.Snapshot, error) {
	snapshot, _, err := config.LoadInForce(ctx, o.store, o.known.Load())
	if err == nil {
		o.known.Store(snapshot)
	}
	return snapshot, err
}

// At returns the configuration as it was at a version.
func (o *Operator) At(ctx context.Context, version usher.Version) (*config.Snapshot, error) {
	current, err := o.Current(ctx)
	if err != nil || current.Version == version {
		return current, err
	}
	past, err := config.LoadPast(ctx, o.store, version)
	if err != nil {
		return nil, err
	}
	return config.Load(ctx, o.store, past, current)
}

// History returns the newest accepted changes, the newest first.
func (o *Operator) History(ctx context.Context, most int) ([]config.Head, error) {
	head, _, err := config.LoadHead(ctx, o.store)
	if err != nil || head.Version == 0 {
		return nil, err
	}
	history := []config.Head{*head}
	for version := head.Version; version > 1 && len(history) < most; {
		version--
		past, err := config.LoadPast(ctx, o.store, version)
		var missing *usher.NotFoundError
		if errors.As(err, &missing) {
			// A merge may skip numbers; everything before a restored version may
			// be lost.
			continue
		}
		if err != nil {
			return history, err
		}
		history = append(history, *past)
	}
	return history, nil
}

// Differs lists what of the wanted objects is not in force yet.
func Differs(current *config.Snapshot, wanted []usher.Object) []usher.Object {
	var differing []usher.Object
	for _, object := range wanted {
		if before, ok := current.Object(object.Key); !ok || !bytes.Equal(before.Value, object.Value) {
			differing = append(differing, object)
		}
	}
	sort.Slice(differing, func(i, j int) bool { return differing[i].Key < differing[j].Key })
	return differing
}

// Describe shows a change of objects against what is in force, line by line.
func Describe(current *config.Snapshot, put []usher.Object, deleted []usher.ObjectKey) string {
	var text strings.Builder
	for _, object := range put {
		name := strings.TrimPrefix(string(object.Key), string(config.Prefix))
		before, ok := current.Object(object.Key)
		if !ok {
			text.WriteString("+ " + name + "\n    " + string(object.Value) + "\n")
			continue
		}
		text.WriteString("~ " + name + "\n  - " + string(before.Value) + "\n  + " + string(object.Value) + "\n")
	}
	for _, key := range deleted {
		text.WriteString("- " + strings.TrimPrefix(string(key), string(config.Prefix)) + "\n")
	}
	return text.String()
}

// DescribeHead shows an accepted change in one line.
func DescribeHead(head *config.Head) string {
	return head.Time.Format(time.RFC3339) + " " + head.Author + " " + describeHead(head)
}

func describeHead(head *config.Head) string {
	changed := make([]string, len(head.Changed))
	for i, key := range head.Changed {
		changed[i] = strings.TrimPrefix(string(key), string(config.Prefix))
	}
	line := "version " + strconv.FormatUint(uint64(head.Version), 10) + " change " + string(head.ID) + " of " + strings.Join(changed, ", ")
	if head.Truncated {
		line += " and more"
	}
	if head.Note != "" {
		line += " (" + head.Note + ")"
	}
	return line
}
