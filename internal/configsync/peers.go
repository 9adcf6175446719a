package configsync

import (
	"context"
	"encoding/json"
	"time"

	"filbertusher/internal/config"
	"filbertusher/internal/pause"
	"filbertusher/internal/peerrpc"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

const (
	// pollWait is how long a peer may hold a poll open while it has no newer
	// version. It bounds how long a frozen peer goes unnoticed.
	pollWait = 2 * time.Second
	// replyGrace is the additional time allowed for the reply to a poll.
	replyGrace = time.Second
	// pageTimeout is the timeout for fetching one page.
	pageTimeout = 10 * time.Second
	// suspendDuration is the average time for which a peer that did not answer
	// is skipped.
	suspendDuration = 5 * time.Second
	// fleetPollInterval is the average interval between polls of peers in any
	// zone.
	fleetPollInterval = 5 * time.Second
	// contentTreeGrace is how long a process that has learned of a version
	// through another tree waits to receive it through contentTree.
	contentTreeGrace = 300 * time.Millisecond
	// minUpdateInterval is the minimum interval between two updates received
	// through one tree. It bounds the processor time spent during a burst of
	// changes.
	minUpdateInterval = 50 * time.Millisecond
	// divergedDelay is the delay after a diverged version was rejected.
	divergedDelay = time.Second
)

// PageMismatchError is returned when the pages fetched from a peer do not match its
// head, because the peer moved to another version meanwhile.
type PageMismatchError struct{ Peer string }

// Error implements error.
func (e *PageMismatchError) Error() string {
	return "pages of peer " + e.Peer + " do not match its head"
}

// followTree polls the peers of one tree for newer versions until ctx ends. It
// watches the store if there is no such peer or none answers.
func (s *Syncer) followTree(ctx context.Context, tree treeIndex) error {
	for ctx.Err() == nil {
		before := s.holder.Current().Version
		if !s.pollFirstReachable(ctx, tree, s.upstreamPeers(tree)) {
			s.watchStore(ctx)
		}
		if s.holder.Current().Version > before {
			// During a burst of changes the next poll returns several at
			// once.
			pause.For(ctx, minUpdateInterval)
		}
	}
	return nil
}

// pollFirstReachable polls the peers in order until one answers, and reports
// whether one did.
func (s *Syncer) pollFirstReachable(ctx context.Context, tree treeIndex, addresses []string) bool {
	poll := s.poll
	if tree != contentTree {
		poll = s.probe
	}

	for _, address := range addresses {
		if s.isSuspended(address) {
			continue
		}
		err := poll(ctx, address, pollWait)
		if err == nil || ctx.Err() != nil {
			return true
		}
		s.log.Debug().Err(err).Str("peer", address).Msg("pollFailed")
		s.suspend(address)
	}
	return false
}

// pollFleet polls a peer in any zone at long intervals. This is how a zone that
// is cut off from the store receives new versions.
func (s *Syncer) pollFleet(ctx context.Context) error {
	for round := 0; ctx.Err() == nil; round++ {
		pause.For(ctx, jittered(fleetPollInterval))
		peers := s.fleetPeers()
		if len(peers) == 0 || ctx.Err() != nil {
			continue
		}
		address := peers[round%len(peers)]
		if !s.isSuspended(address) && s.poll(ctx, address, 0) != nil {
			s.suspend(address)
		}
	}
	return nil
}

// pollReportingPeers polls peers whose messages have reported a newer version.
func (s *Syncer) pollReportingPeers(ctx context.Context) error {
	for {
		select {
		case reported := <-s.holder.PeerVersions():
			if reported.Version > s.holder.Current().Version && !s.isSuspended(reported.Peer) && s.poll(ctx, reported.Peer, 0) != nil {
				s.suspend(reported.Peer)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// probe waits until a peer has a newer version. The change itself should arrive
// through contentTree; it is fetched from this peer only if it is late, so that
// each process receives it once instead of once per tree.
func (s *Syncer) probe(ctx context.Context, address string, wait time.Duration) error {
	s.metrics.polls(1)
	args := &wire.SnapshotArgs{Caller: s.caller(), Wait: wait, Probe: true}
	reply := &wire.SnapshotReply{}
	if err := s.call(ctx, address, wait+replyGrace, wire.MethodSnapshot, args, reply); err != nil {
		return err
	}
	if s.awaitVersion(ctx, reply.ConfigVersion) {
		return nil
	}
	return s.poll(ctx, address, 0)
}

// awaitVersion waits up to contentTreeGrace for the process to reach a version,
// and reports whether it did.
func (s *Syncer) awaitVersion(ctx context.Context, version usher.Version) bool {
	timer := time.NewTimer(contentTreeGrace)
	defer timer.Stop()
	for {
		changed := s.holder.Changed()
		if s.holder.Current().Version >= version {
			return true
		}
		select {
		case <-changed:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// poll requests a newer version from one peer and installs it.
func (s *Syncer) poll(ctx context.Context, address string, wait time.Duration) error {
	s.metrics.polls(1)
	from := s.holder.Current()
	args := &wire.SnapshotArgs{Caller: s.caller(), Change: string(from.Head.ID), Wait: wait}
	args.ConfigVersion = from.Version
	reply := &wire.SnapshotReply{}
	if err := s.call(ctx, address, wait+replyGrace, wire.MethodSnapshot, args, reply); err != nil {
		return err
	}
	if len(reply.Head) == 0 {
		return nil
	}
	head := &config.Head{}
	if err := json.Unmarshal(reply.Head, head); err != nil {
		return err
	}
	return s.applyReply(ctx, address, from, head, reply)
}

func (s *Syncer) applyReply(ctx context.Context, address string, from *config.Snapshot, head *config.Head, reply *wire.SnapshotReply) error {
	if config.Diverged(&from.Head, head) {
		s.metrics.divergedRefused(1)
		pause.For(ctx, divergedDelay)
		return nil
	}
	s.installMu.Lock()
	defer s.installMu.Unlock()
	if s.holder.Current() != from {
		// Another goroutine has updated the process; the next poll returns
		// what is missing.
		return nil
	}
	next, keys, err := s.buildSnapshot(ctx, address, from, head, reply)
	if err != nil {
		return err
	}
	s.install(from, next, keys)
	return nil
}

// buildSnapshot builds the snapshot of a reply and verifies it against its
// head. If the changed objects do not lead to that head, it fetches the
// differing pages instead.
func (s *Syncer) buildSnapshot(ctx context.Context, address string, from *config.Snapshot, head *config.Head, reply *wire.SnapshotReply) (*config.Snapshot, []usher.ObjectKey, error) {
	if !reply.Full {
		next, err := from.With(head, reply.Objects, reply.Deleted)
		if err == nil && next.Verify() == nil {
			return next, changedKeys(reply.Objects, reply.Deleted), nil
		}
	}
	next, err := s.fetchPages(ctx, address, from, head)
	if err != nil {
		return nil, nil, err
	}
	if next.Verify() != nil {
		return nil, nil, &PageMismatchError{Peer: address}
	}
	return next, nil, nil
}

// fetchPages replaces the differing pages one at a time, so that a whole
// configuration is never in memory twice.
func (s *Syncer) fetchPages(ctx context.Context, address string, from *config.Snapshot, head *config.Head) (*config.Snapshot, error) {
	next := from
	for number := range config.PageCount {
		if !from.PageDiffers(head, number) {
			continue
		}
		page := &wire.PageReply{}
		args := &wire.PageArgs{Caller: s.caller(), Version: head.Version, Page: number}
		if err := s.call(ctx, address, pageTimeout, wire.MethodPage, args, page); err != nil {
			return nil, err
		}
		var err error
		if next, err = next.WithPage(head, number, page.Objects); err != nil {
			return nil, err
		}
	}
	if next == from {
		return from.With(head, nil, nil)
	}
	return next, nil
}

func changedKeys(objects []usher.Object, deleted []usher.ObjectKey) []usher.ObjectKey {
	keys := append([]usher.ObjectKey{}, deleted...)
	for _, object := range objects {
		keys = append(keys, object.Key)
	}
	return keys
}

func (s *Syncer) call(ctx context.Context, address string, timeout time.Duration, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	client := s.clientFor(address)
	err := client.Call(ctx, method, args, reply)
	if err != nil {
		client.Reset()
	}
	return err
}

// maxClients is the maximum number of peers for which a process keeps a client to
// fetch its configuration. The trees and the fleet polls need fewer.
const maxClients = 32

func (s *Syncer) clientFor(address string) *peerrpc.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	client, ok := s.clients[address]
	if ok {
		return client
	}
	for other, evicted := range s.clients {
		if len(s.clients) < maxClients {
			break
		}
		evicted.Close()
		delete(s.clients, other)
	}
	client = peerrpc.New(address, peerrpc.LargeMessages)
	s.clients[address] = client
	return client
}

func (s *Syncer) closeClients() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, client := range s.clients {
		client.Close()
	}
}

func (s *Syncer) suspend(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for other, until := range s.suspended {
		if until.Before(now) {
			delete(s.suspended, other)
		}
	}
	s.suspended[address] = now.Add(jittered(suspendDuration))
}

func (s *Syncer) isSuspended(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.suspended[address])
}
