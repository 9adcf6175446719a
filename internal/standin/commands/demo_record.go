package commands

import (
	"context"
	"fmt"
	"os/exec"
	"strings"
)

// record stops the entries as planned, which stores what they have gathered,
// and shows what an inspector sees.
func (d *demo) record(ctx context.Context) error {
	for _, entry := range d.whole.Entries {
		if err := entry.Stop(); err != nil {
			return err
		}
	}
	store := []string{"--store", d.whole.Store.Address}
	for _, args := range [][]string{
		{"record", "find", "--key", "order-1"},
		{"record", "verify"},
	} {
		fmt.Fprintln(d.out, "\n== filbertusher", strings.Join(args, " "))
		command := exec.CommandContext(ctx, d.whole.Product, append(args, store...)...)
		command.Stdout, command.Stderr = d.out, d.out
		if err := command.Run(); err != nil {
			return err
		}
	}
	return nil
}
