package scale

import (
	"context"
	"strconv"
	"strings"
	"time"

	"filbertusher/internal/standin/fleet"
	"filbertusher/pkg/usher"
)

// activationTimes reads from the log of a process which configuration versions it
// activated, and when.
func activationTimes(node *fleet.Member) []versionTime {
	var activations []versionTime
	for _, line := range strings.Split(node.Log(), "\n") {
		if fleet.Field(line, "event") != "configInForce" {
			continue
		}
		version, _ := strconv.ParseUint(fleet.Field(line, "version"), 10, 64)
		at, err := time.Parse(time.RFC3339Nano, fleet.Field(line, "time"))
		if err == nil {
			activations = append(activations, versionTime{version: usher.Version(version), at: at})
		}
	}
	return activations
}

// activationTimeout bounds the wait for a process to activate a version; the run
// fails after it.
const activationTimeout = time.Minute

// awaitActivation waits until the process has activated the version or a newer
// one.
func awaitActivation(ctx context.Context, node *fleet.Member, version usher.Version) error {
	ctx, cancel := context.WithTimeout(ctx, activationTimeout)
	defer cancel()
	for {
		if activations := activationTimes(node); len(activations) > 0 && activations[len(activations)-1].version >= version {
			return nil
		}
		select {
		case <-ctx.Done():
			return &fleet.AwaitError{Name: node.Name, Event: "configInForce", Log: node.Log()}
		case <-time.After(10 * time.Millisecond):
		}
	}
}
