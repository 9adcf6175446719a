package member

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

// hintInterval is about the time between two reads of the platform's list. The
// list lags by more than this, so reading it more often gains nothing.
const hintInterval = 10 * time.Second

// Announcer announces that endpoints leave.
type Announcer interface {
	FollowHint(ctx context.Context, endpoints []usher.EndpointName, note string) (*config.Head, error)
}

// Hints turns what the platform's list says into announcements. An instance
// that the list shows as leaving is announced as if an operator had done so;
// the announcement travels as every change does, so the list is read by the
// few processes that watch the store and not by the fleet. An instance that is
// missing from the list is left alone: its peers see whether it answers.
type Hints struct {
	instances usher.Instances
	announcer Announcer
	holder    *config.Holder
	// elected says whether this process has to read the list.
	elected func() bool
	log     zerolog.Logger
}

// NewHints returns hints; Run has to be called.
func NewHints(instances usher.Instances, announcer Announcer, holder *config.Holder, elected func() bool, log zerolog.Logger) *Hints {
	return &Hints{instances: instances, announcer: announcer, holder: holder, elected: elected, log: log}
}

// Run reads the list at intervals until ctx ends.
func (h *Hints) Run(ctx context.Context) error {
	for {
		timer := time.NewTimer(hintInterval/2 + rand.N(hintInterval))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
		if h.elected() {
			h.read(ctx)
		}
	}
}

func (h *Hints) read(ctx context.Context) {
	instances, err := h.instances.Instances(ctx)
	if err != nil {
		h.log.Debug().Err(err).Msg("instancesUnavailable")
		return
	}
	leaving := h.leaving(instances)
	if len(leaving) == 0 {
		return
	}
	head, err := h.announcer.FollowHint(ctx, leaving, "the platform's list says so")
	var conflict *operator.ConflictError
	switch {
	case errors.As(err, &conflict):
		// Another process has read the same list.
	case err != nil:
		h.log.Warn().Err(err).Msg("hintNotAnnounced")
	default:
		h.log.Info().Uint64("version", uint64(head.Version)).Int("endpoints", len(leaving)).Msg("hintAnnounced")
	}
}

// leaving returns the endpoints that the list shows as leaving and that nobody
// has announced. The declaration says for which address the list was followed
// before, so that an operator who calls the departure off is not overruled.
func (h *Hints) leaving(instances []usher.Instance) []usher.EndpointName {
	listed := make(map[string]bool)
	for _, instance := range instances {
		if instance.Leaving {
			listed[instance.Address] = true
		}
	}
	var names []usher.EndpointName
	for name, endpoint := range h.holder.Current().Endpoints {
		if listed[endpoint.Companion] && !endpoint.Leaving && endpoint.HintedFor != endpoint.Companion {
			names = append(names, name)
		}
	}
	return names
}
