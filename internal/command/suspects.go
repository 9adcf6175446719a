package command

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

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
		suspects, err := suspect.List(ctx, platform.NewClientAt(store))
		if err != nil {
			return err
		}
		return printSuspects(out, suspects)
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

func newSuspectsClearCommand() *Command {
	command := New("clear", "let suspected requests run again; it takes up to 20 s to reach all processes")
	var store, fingerprint string
	command.Settings.Address(&store, "store", "", true, "the address of the platform's object API")
	command.Settings.String(&fingerprint, "fingerprint", "", false, "the fingerprint to clear; all if it is empty")
	command.Run = func(ctx context.Context, out, _ io.Writer) error {
		cleared, err := suspect.Clear(ctx, usher.Store(platform.NewClientAt(store)), suspect.Fingerprint(fingerprint))
		if err != nil {
			return err
		}
		_, err = fmt.Fprintln(out, "cleared", cleared)
		return err
	}
	return command
}
