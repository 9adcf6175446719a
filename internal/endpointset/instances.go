package endpointset

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"filbertusher/internal/config"
	"filbertusher/internal/operator"
	"filbertusher/pkg/usher"
)

// pollInterval is the mean time between two reads of the platform's list, which
// vary at random from half to one and a half of it. The list lags by more than
// this, so shorter intervals would not help.
const pollInterval = 10 * time.Second

// LeavingMarker marks endpoints as leaving in the configuration.
type LeavingMarker interface {
	MarkLeaving(ctx context.Context, endpoints []usher.EndpointName, note string) (*config.Head, error)
}

// InstanceMonitor polls the platform's list of instances. The endpoints of instances that
// the list shows as leaving are marked in the configuration, as an operator would
// do. The mark is distributed like every configuration change, so only the few
// processes that watch the store read the list. An instance that is missing from
// the list is ignored: its peers detect whether it responds.
type InstanceMonitor struct {
	instances usher.Instances
	marker    LeavingMarker
	holder    *config.Holder
	// shouldPoll reports whether this process has to read the list.
	shouldPoll func() bool
	log        zerolog.Logger
}

// NewInstanceMonitor returns an InstanceMonitor that does nothing until Run is called.
func NewInstanceMonitor(instances usher.Instances, marker LeavingMarker, holder *config.Holder, shouldPoll func() bool, log zerolog.Logger) *InstanceMonitor {
	return &InstanceMonitor{instances: instances, marker: marker, holder: holder, shouldPoll: shouldPoll, log: log}
}

// Run polls the list until ctx ends.
func (m *InstanceMonitor) Run(ctx context.Context) error {
	for {
		timer := time.NewTimer(pollInterval/2 + rand.N(pollInterval))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
		if m.shouldPoll() {
			m.poll(ctx)
		}
	}
}

func (m *InstanceMonitor) poll(ctx context.Context) {
	instances, err := m.instances.Instances(ctx)
	if err != nil {
		m.log.Debug().Err(err).Msg("instancesUnavailable")
		return
	}
	leaving := m.newlyLeaving(instances)
	if len(leaving) == 0 {
		return
	}
	head, err := m.marker.MarkLeaving(ctx, leaving, "the platform's list says so")
	var conflict *operator.ConflictError
	switch {
	case errors.As(err, &conflict):
		// Another process acted on the same list first.
	case err != nil:
		m.log.Warn().Err(err).Msg("hintNotAnnounced")
	default:
		m.log.Info().Uint64("version", uint64(head.Version)).Int("endpoints", len(leaving)).Msg("hintAnnounced")
	}
}

// newlyLeaving returns the endpoints that the list shows as leaving and that are
// not marked yet. It skips those that were marked for the same address before, so
// that the mark stays off once an operator has reverted it.
func (m *InstanceMonitor) newlyLeaving(instances []usher.Instance) []usher.EndpointName {
	leavingAddresses := make(map[string]bool)
	for _, instance := range instances {
		if instance.Leaving {
			leavingAddresses[instance.Address] = true
		}
	}
	var names []usher.EndpointName
	for name, endpoint := range m.holder.Current().Endpoints {
		if leavingAddresses[endpoint.Companion] && !endpoint.Leaving && endpoint.MarkedForAddress != endpoint.Companion {
			names = append(names, name)
		}
	}
	return names
}
