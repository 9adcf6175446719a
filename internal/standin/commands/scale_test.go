package commands

import (
	"context"
	"errors"
	"testing"

	"filbertusher/internal/settings"
	"filbertusher/internal/standin/fleet"
	"filbertusher/internal/standin/scale"
)

// A malformed size is refused before any fleet is started, so that no finished run is
// lost.
func TestMalformedSizeIsRefusedBeforeAnyRun(t *testing.T) {
	for _, sizes := range []string{"20,x", "20,", "20,0", ""} {
		_, err := runSizes(context.Background(), fleet.Binaries{}, scale.Plan{Zones: 1, Services: 1, Workspaces: 1}, sizes)
		var refused *settings.Error
		if !errors.As(err, &refused) {
			t.Errorf("sizes %q: got %v", sizes, err)
		}
	}
}
