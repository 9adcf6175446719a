package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"filbertusher/internal/drain"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

const (
	// stopReplyMargin is how long before the end of a stop companions refuse what still
	// waits, so that the refusal reaches the caller.
	stopReplyMargin = 200 * time.Millisecond
	// cutAnswerTimeout is how long requests that are cut have to tell their callers.
	cutAnswerTimeout = 500 * time.Millisecond
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

// StoppingError is the cause with which requests are cancelled that still run at the end of
// a stop.
type StoppingError struct{}

// Error implements error.
func (*StoppingError) Error() string { return "the instance has stopped" }

// stop is the state of a graceful stop. schedule is nil before it.
type stop struct {
	schedule atomic.Pointer[drain.Stop]
	// requests ends when the requests in flight are cut.
	requests context.Context
	cut      context.CancelCauseFunc
	// taken counts the requests that arrived during the stop and were accepted, refused
	// those that were refused because of it, and cutCount those that were cut.
	taken, refused, cutCount atomic.Int64
}

func newStop() *stop {
	s := &stop{}
	s.requests, s.cut = context.WithCancelCause(context.Background())
	return s
}

// timeLeft returns what companions are told: how long a request may take, or 0 before a
// stop.
func (s *stop) timeLeft() time.Duration {
	schedule := s.schedule.Load()
	if schedule == nil {
		return 0
	}
	return max(time.Until(schedule.EndsAt.Add(-stopReplyMargin)), 1)
}

func (s *stop) hasBegun() bool { return s.schedule.Load() != nil }

// retryAfter returns the Retry-After of requests that are refused because of the stop. By
// then the load balancer has noticed it, and a retry reaches another instance.
func (s *stop) retryAfter() time.Duration {
	schedule := s.schedule.Load()
	if schedule == nil {
		return stoppingRetryAfter
	}
	return max(stoppingRetryAfter, time.Until(schedule.NoticedBy))
}

func (s *stop) countArrival() {
	if s.hasBegun() {
		s.taken.Add(1)
	}
}

// detach returns a context that outlives the caller, until the deadline or until requests
// are cut.
func (s *stop) detach(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cut := context.WithCancelCause(context.WithoutCancel(ctx))
	release := context.AfterFunc(s.requests, func() { cut(context.Cause(s.requests)) })
	ctx, cancel := context.WithDeadline(ctx, deadline)
	return ctx, func() {
		release()
		cancel()
		cut(nil)
	}
}

// note counts a refusal during the stop and adds to a log line what tells a request that
// began late from one with a long answer.
func (s *stop) note(line *zerolog.Event, req *request, decision *usher.Decision) {
	schedule := s.schedule.Load()
	if schedule == nil {
		return
	}
	isCut := decision.Refusal == usher.RefusalLeaving && decision.Outcome != usher.OutcomeNotRun && s.requests.Err() != nil
	switch {
	case isCut:
		s.cutCount.Add(1)
	case decision.Refusal == usher.RefusalLeaving:
		s.refused.Add(1)
	}
	addStopTimes(line, schedule, req)
	line.Bool("cutByStop", isCut)
}

// addStopTimes adds when a request arrived and when its latest attempt was sent, both after
// the beginning of the stop.
func addStopTimes(line *zerolog.Event, schedule *drain.Stop, req *request) {
	line.Int64("stopArrivedMs", req.started.Sub(schedule.Began).Milliseconds())
	if sent := req.sent.Load(); sent != nil {
		line.Int64("stopSentMs", sent.Sub(schedule.Began).Milliseconds())
	}
}

// shutdown stops server gracefully. Requests that still run at the end are told to their
// callers as cut.
func (e *Entry) shutdown(server *drain.Server, times StopTimes) error {
	began := time.Now()
	schedule := &drain.Stop{
		Began:      began,
		NoticedBy:  began.Add(times.ReadinessDelay),
		TakesUntil: began.Add(times.ReadinessDelay + drain.AcceptTime),
		EndsAt:     began.Add(times.ReadinessDelay + times.Grace),
	}
	e.stop.schedule.Store(schedule)
	server.StartDraining(*schedule)
	e.announceStop()
	time.Sleep(times.ReadinessDelay)
	ctx, cancel := context.WithDeadline(context.Background(), schedule.EndsAt)
	defer cancel()
	err := server.Shutdown(ctx)
	if err != nil {
		e.logUnfinished()
		e.stop.cut(&StoppingError{})
		e.awaitCut(server)
	}
	open, closedIdle := server.Connections()
	e.Log.Info().Int64("taken", e.stop.taken.Load()).Int64("refused", e.stop.refused.Load()).Int64("cut", e.stop.cutCount.Load()).
		Int64("closedIdle", closedIdle).Int("open", open).Int64("tookMs", time.Since(began).Milliseconds()).Msg("drained")
	return err
}

// awaitCut waits until the requests that were cut have got their responses.
func (e *Entry) awaitCut(server *drain.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), cutAnswerTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		e.Log.Warn().Err(err).Msg("responsesCut")
	}
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
