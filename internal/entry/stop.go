package entry

import (
	"context"
	"sync/atomic"
	"time"

	"filbertusher/internal/drain"
	"filbertusher/internal/wire"
)

const (
	// stopReplyMargin is how long before the end of a stop companions refuse what still
	// waits, so that the refusal reaches the caller.
	stopReplyMargin = 200 * time.Millisecond
	// announceTimeout bounds a message that tells a companion of the stop. One that is lost
	// is made up for by the next Collect.
	announceTimeout = time.Second
)

// StopTimes are the durations of a graceful stop.
type StopTimes struct {
	// ReadinessDelay is how long connections are still accepted, until the load balancer
	// has noticed that the process is not ready.
	ReadinessDelay time.Duration
	// Grace is how long requests in flight are waited for after that.
	Grace time.Duration
}

// stop is the state of a graceful stop. schedule is nil before it.
type stop struct {
	schedule atomic.Pointer[stopSchedule]
}

type stopSchedule struct{ ends time.Time }

func newStop() *stop { return &stop{} }

// timeLeft returns what companions are told: how long a request may take, or 0 before a
// stop.
func (s *stop) timeLeft() time.Duration {
	schedule := s.schedule.Load()
	if schedule == nil {
		return 0
	}
	return max(time.Until(schedule.ends.Add(-stopReplyMargin)), 1)
}

func (s *stop) hasBegun() bool { return s.schedule.Load() != nil }

// shutdown stops server gracefully.
func (e *Entry) shutdown(server *drain.Server, times StopTimes) error {
	began := time.Now()
	ends := began.Add(times.ReadinessDelay + times.Grace)
	e.stop.schedule.Store(&stopSchedule{ends: ends})
	server.StartDraining(drain.Stop{Began: began, TakesUntil: began.Add(times.ReadinessDelay + drain.AcceptTime)})
	e.announceStop()
	time.Sleep(times.ReadinessDelay)
	ctx, cancel := context.WithDeadline(context.Background(), ends)
	defer cancel()
	err := server.Shutdown(ctx)
	if err != nil {
		e.logUnfinished()
	}
	return err
}

// announceStop tells the companions until when this process waits for its requests, so that
// they begin nothing that takes longer.
func (e *Entry) announceStop() {
	for _, peer := range e.peers.list() {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
			defer cancel()
			if err := peer.link.Call(ctx, wire.MethodPing, &wire.PingArgs{Caller: e.caller()}, &wire.PingReply{}); err != nil {
				e.Log.Info().Err(err).Str("endpoint", string(peer.endpoint)).Msg("stopNotAnnounced")
			}
		}()
	}
}
