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

// newSuspectsCommand has the commands on requests that were in endpoints that
// crashed.
func newSuspectsCommand() *Command {
	command := New("suspects", "requests that were in endpoints that crashed")
	command.Children = []*Command{newSuspectsList(), newSuspectsClear()}
	return command
}

func newSuspectsList() *Command {
	command := New("list", "print the requests that are suspected to crash endpoints")
	var store string
	command.Settings.Address(&store, "store", "", true, "the platform's object API")
	command.Run = func(ctx context.Context, out, _ io.Writer) error {
		suspects, err := suspect.List(ctx, platform.NewClientAt(store))
		if err != nil {
			return err
		}
		return printSuspects(out, suspects)
	}
	return command
}

// printSuspects leaves out those that were cleared.
func printSuspects(out io.Writer, suspects []suspect.CrashRecord) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "FINGERPRINT\tCRASHES\tWORKSPACE\tSERVICE\tSEEN")
	for _, one := range suspects {
		if one.Crashes > 0 {
			fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\n", one.Fingerprint, one.Crashes, one.Workspace, one.Service, one.Seen.UTC().Format(time.RFC3339))
		}
	}
	return table.Flush()
}

func newSuspectsClear() *Command {
	command := New("clear", "let suspected requests run again, within 20 s everywhere")
	var store, fingerprint string
	command.Settings.Address(&store, "store", "", true, "the platform's object API")
	command.Settings.Text(&fingerprint, "fingerprint", "", false, "the one to clear; all when it is empty")
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
