package scale

import (
	"context"
	"strconv"
	"strings"
	"time"

	"filbertusher/internal/standin/fleet"
	"filbertusher/pkg/usher"
)

// inForceTimes reads from the log of a process when it took which version in.
func inForceTimes(node *fleet.Member) []acceptance {
	var taken []acceptance
	for _, line := range strings.Split(node.Log(), "\n") {
		if fleet.Field(line, "event") != "configInForce" {
			continue
		}
		version, _ := strconv.ParseUint(fleet.Field(line, "version"), 10, 64)
		at, err := time.Parse(time.RFC3339Nano, fleet.Field(line, "time"))
		if err == nil {
			taken = append(taken, acceptance{version: usher.Version(version), at: at})
		}
	}
	return taken
}

// awaitTimeout ends a run in which a process never gets a version.
const awaitTimeout = time.Minute

// awaitVersion waits until the process has a version in force, or a newer one.
func awaitVersion(ctx context.Context, node *fleet.Member, version usher.Version) error {
	ctx, cancel := context.WithTimeout(ctx, awaitTimeout)
	defer cancel()
	for {
		if taken := inForceTimes(node); len(taken) > 0 && taken[len(taken)-1].version >= version {
			return nil
		}
		select {
		case <-ctx.Done():
			return &fleet.AwaitError{Name: node.Name, Event: "configInForce", Log: node.Log()}
		case <-time.After(10 * time.Millisecond):
		}
	}
}
