package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"filbertusher/internal/blame"
	"filbertusher/internal/suspect"
	"filbertusher/pkg/usher"
	"filbertusher/platform"
)

// newSuspectsCommand returns the commands for requests that were running in
// endpoints when these crashed.
func newSuspectsCommand() *Command {
	command := New("suspects", "list and clear requests that are suspected of crashing endpoints")
	command.Children = []*Command{newSuspectsListCommand(), newSuspectsClearCommand()}
	return command
}

func newSuspectsListCommand() *Command {
	command := New("list", "print the requests that are suspected of crashing endpoints")
	var store string
	command.Settings.Address(&store, "store", "", true, "the address of the platform's object API")
	command.Run = func(ctx context.Context, out, _ io.Writer) error {
		client := platform.NewClientAt(store)
		suspects, err := suspect.List(ctx, client)
		if err != nil {
			return err
		}
		causes, _, err := blame.List(ctx, client)
		if err != nil {
			return err
		}
		if err := printSuspects(out, suspects); err != nil || len(causes) == 0 {
			return err
		}
		return printCauses(out, causes)
	}
	return command
}

// printSuspects prints suspects as a table, without those that were cleared.
func printSuspects(out io.Writer, suspects []suspect.CrashRecord) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "FINGERPRINT\tCRASHES\tWORKSPACE\tSERVICE\tSEEN")
	for _, suspected := range suspects {
		if suspected.Crashes > 0 {
			fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\n", suspected.Fingerprint, suspected.Crashes, suspected.Workspace, suspected.Service, suspected.Seen.UTC().Format(time.RFC3339))
		}
	}
	return table.Flush()
}

// clearSuspects clears a fingerprint or the key of a crash cause, or all of both if it is
// empty.
func clearSuspects(ctx context.Context, store usher.Store, fingerprint string) (int, error) {
	suspects, err := suspect.Clear(ctx, store, suspect.Fingerprint(fingerprint))
	unknown := new(suspect.UnknownFingerprintError)
	if err != nil && !errors.As(err, &unknown) {
		return 0, err
	}
	unknownFingerprint := err
	causes, err := blame.Clear(ctx, store, fingerprint)
	unknownKey := new(blame.UnknownKeyError)
	switch {
	case errors.As(err, &unknownKey):
		return suspects, unknownFingerprint
	case err != nil:
		return suspects, err
	default:
		return suspects + causes, nil
	}
}

// printCauses prints what gateways refuse because it crashes endpoints, without what was
// cleared.
func printCauses(out io.Writer, causes []blame.StoredRecord) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "KEY\tCRASHES\tKIND\tLABEL\tSEEN")
	for _, cause := range causes {
		kind := "part"
		if cause.Whole {
			kind = "request"
		}
		if len(cause.Crashes) > 0 {
			fmt.Fprintf(table, "%s\t%d\t%s\t%q\t%s\n", cause.Key, len(cause.Crashes), kind, cause.Label, cause.Seen.UTC().Format(time.RFC3339))
		}
	}
	return table.Flush()
}

func newSuspectsClearCommand() *Command {
	command := New("clear", "let suspected requests run again; it takes up to 20 s to reach all processes")
	var store, fingerprint string
	command.Settings.Address(&store, "store", "", true, "the address of the platform's object API")
	command.Settings.String(&fingerprint, "fingerprint", "", false, "the fingerprint or key to clear; all if it is empty")
	command.Run = func(ctx context.Context, out, _ io.Writer) error {
		client := platform.NewClientAt(store)
		cleared, err := clearSuspects(ctx, client, fingerprint)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintln(out, "cleared", cleared)
		return err
	}
	return command
}
