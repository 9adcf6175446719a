package commands

import (
	"context"
	"fmt"
	"os/exec"
	"strings"
)

// showRecord stops the entries gracefully, which makes them store their pending
// records, and runs the commands that inspect the record.
func (d *demo) showRecord(ctx context.Context) error {
	for _, entry := range d.system.Entries {
		if err := entry.Stop(); err != nil {
			return err
		}
	}
	store := []string{"--store", d.system.Store.Address}
	for _, args := range [][]string{
		{"record", "find", "--key", "order-1"},
		{"record", "verify"},
	} {
		fmt.Fprintln(d.out, "\n== filbertusher", strings.Join(args, " "))
		command := exec.CommandContext(ctx, d.system.Scheduler, append(args, store...)...)
		command.Stdout, command.Stderr = d.out, d.out
		if err := command.Run(); err != nil {
			return err
		}
	}
	return nil
}
