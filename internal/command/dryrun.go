package command

import (
	"fmt"
	"io"

	"filbertusher/internal/settings"
)

// dryRun is the setting that makes a process only check its settings. They are
// checked before a command runs, so a dry run only has to report the success.
type dryRun struct{ requested bool }

func (d *dryRun) declareDryRun(set *settings.Set) {
	set.Bool(&d.requested, "dry-run", false, "check the settings and exit")
}

// finishDryRun reports whether a dry run was requested. If so, it prints the result.
func (d *dryRun) finishDryRun(out io.Writer) bool {
	if d.requested {
		fmt.Fprintln(out, "every setting is allowed")
	}
	return d.requested
}
