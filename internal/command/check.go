package command

import (
	"fmt"
	"io"

	"filbertusher/internal/settings"
)

// dryRun is the setting of a process that only checks its settings. Those are
// checked before a command runs, so that nothing is left to do but to say so.
type dryRun struct{ requested bool }

func (d *dryRun) declareDryRun(set *settings.Set) {
	set.Bool(&d.requested, "dry-run", false, "check the settings and end")
}

// done says whether a dry run was asked for, which ends with a line on out.
func (d *dryRun) done(out io.Writer) bool {
	if d.requested {
		fmt.Fprintln(out, "every setting is allowed")
	}
	return d.requested
}
