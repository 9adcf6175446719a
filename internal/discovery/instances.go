package discovery

import (
	"context"
	"math/rand/v2"
	"time"

	"filbertusher/internal/boottime"
	"filbertusher/internal/pause"
	"filbertusher/pkg/usher"
)

// heartbeat is the heartbeat counter of an instance as last listed, and when this
// process first saw that value.
type heartbeat struct {
	counter     int64
	incarnation usher.Incarnation
	changedAt   time.Time
}

// announceAndList announces this instance and lists all instances, regularly and when
// the store went back to an earlier state, which may lack the announcement.
func (w *Watcher) announceAndList(ctx context.Context) {
	self := w.options.Self
	retry := backoff{}
	for ctx.Err() == nil {
		restored := w.options.Directory.Restored()
		self.Heartbeat++
		started := boottime.Now()
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := w.options.Directory.Announce(callCtx, self)
		var all []usher.GatewayInstance
		if err == nil {
			all, err = w.options.Directory.Instances(callCtx)
		}
		cancel()
		if err != nil {
			w.store.failed(ctx, "instances", started, err)
			retry.wait(ctx)
			continue
		}
		w.store.succeeded()
		retry.reset()
		live := w.liveInstances(all, w.options.Directory.Era())
		w.instanceCount.Store(int64(len(live)))
		w.position.Store(position(live, self.Name))
		w.options.OnInstances(ctx, live)
		interval := w.scaled(announceInterval, maxAnnounceInterval)
		timer := time.NewTimer(interval + rand.N(interval/4))
		select {
		case <-timer.C:
		case <-restored:
			// The instances notice at the same time.
			pause.For(ctx, rand.N(minRetryDelay*time.Duration(max(1, len(live)))))
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// liveInstances returns all without the instances whose heartbeat counter has not
// grown for too long by this process's clock, and adds this instance if it is missing.
// An instance counts as live when it is first seen. era is that of the list: in a new
// one, live instances that the list lacks may only have lost their announcement, and
// stay until they are due to be lost.
func (w *Watcher) liveInstances(all []usher.GatewayInstance, era usher.StoreEra) []usher.GatewayInstance {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	timeout := time.Duration(lostAfterIntervals * float64(w.scaled(announceInterval, maxAnnounceInterval)))
	if era > w.instancesEra && w.instancesEra > 0 {
		w.restoredAt = now
	}
	w.instancesEra = era
	live := make([]usher.GatewayInstance, 0, len(all)+1)
	listed := make(map[string]bool, len(all))
	for _, instance := range all {
		listed[instance.Name] = true
		last, ok := w.heartbeats[instance.Name]
		if !ok || instance.Heartbeat > last.counter || instance.Incarnation != last.incarnation {
			last = heartbeat{counter: instance.Heartbeat, incarnation: instance.Incarnation, changedAt: now}
			w.heartbeats[instance.Name] = last
		}
		if instance.Name == w.options.Self.Name || now.Sub(last.changedAt) <= timeout {
			live = append(live, instance)
		}
	}
	for _, instance := range w.lastLive {
		if !listed[instance.Name] && now.Sub(w.restoredAt) <= timeout && now.Sub(w.heartbeats[instance.Name].changedAt) <= timeout {
			listed[instance.Name] = true
			live = append(live, instance)
		}
	}
	if !listed[w.options.Self.Name] {
		live = append(live, w.options.Self)
	}
	w.lastLive = live
	return live
}

// position returns how many of the live instances come before the named one, by name.
func position(live []usher.GatewayInstance, name string) (before int64) {
	for _, instance := range live {
		if instance.Name < name {
			before++
		}
	}
	return before
}
