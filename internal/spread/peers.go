package spread

import (
	"context"
	"encoding/json"
	"time"

	"filbertusher/internal/config"
	"filbertusher/internal/link"
	"filbertusher/internal/pause"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

const (
	// pollWait is how long a process waits at a peer. It bounds how long a
	// frozen peer is taken for a silent one.
	pollWait = 2 * time.Second
	// pollGrace is how much longer the reply may take.
	pollGrace = time.Second
	// pageTimeout bounds the fetch of one page.
	pageTimeout = 10 * time.Second
	// suspension is how long a peer that did not answer is passed over.
	suspension = 5 * time.Second
	// acrossInterval is the pause between two questions across the fleet.
	acrossInterval = 5 * time.Second
	// probeDelay is how long a process that knows of a version waits for it to
	// come from the first tree.
	probeDelay = 300 * time.Millisecond
	// burstInterval is the least time between two versions that a process takes
	// in from one tree. It bounds the processor time that a burst costs.
	burstInterval = 50 * time.Millisecond
	// refusedDelay is the pause after a version that could not be taken in.
	refusedDelay = time.Second
)

// NoPageError is returned when the pages of a peer do not add up to its head,
// because it moved on while they were fetched.
type NoPageError struct{ Peer string }

// Error implements error.
func (e *NoPageError) Error() string { return "the pages of peer " + e.Peer + " do not match its head" }

// follow waits for versions at the peers of one tree, or at the store when
// there is none, until ctx ends.
func (s *Spread) follow(ctx context.Context, order treeOrder) error {
	for ctx.Err() == nil {
		before := s.holder.Current().Version
		if !s.pollFirst(ctx, order, s.chain(order)) {
			s.watchOnce(ctx)
		}
		if s.holder.Current().Version > before {
			// In a burst of changes the next poll brings many at once.
			pause.For(ctx, burstInterval)
		}
	}
	return nil
}

// pollFirst waits at the first peer that answers and says whether one did.
func (s *Spread) pollFirst(ctx context.Context, order treeOrder, addresses []string) bool {
	wait := s.poll
	if order != contentTree {
		wait = s.probe
	}

	for _, address := range addresses {
		if s.isSuspended(address) {
			continue
		}
		err := wait(ctx, address, pollWait)
		if err == nil || ctx.Err() != nil {
			return true
		}
		s.log.Debug().Err(err).Str("peer", address).Msg("pollFailed")
		s.suspend(address)
	}
	return false
}

// askAcross asks a peer anywhere in the fleet at long intervals. It is what
// brings a version to a zone whose way to the store is cut.
func (s *Spread) askAcross(ctx context.Context) error {
	for turn := 0; ctx.Err() == nil; turn++ {
		pause.For(ctx, jittered(acrossInterval))
		peers := s.acrossPeers()
		if len(peers) == 0 || ctx.Err() != nil {
			continue
		}
		address := peers[turn%len(peers)]
		if !s.isSuspended(address) && s.poll(ctx, address, 0) != nil {
			s.suspend(address)
		}
	}
	return nil
}

// listen follows up on versions that messages of peers carried.
func (s *Spread) listen(ctx context.Context) error {
	for {
		select {
		case heard := <-s.holder.Heard():
			if heard.Version > s.holder.Current().Version && !s.isSuspended(heard.Peer) && s.poll(ctx, heard.Peer, 0) != nil {
				s.suspend(heard.Peer)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// probe waits until a peer has a newer version. The change itself is expected
// from the peer in the first tree; it is fetched here only when that one is
// late, so that it travels to each process once and not once in each tree.
func (s *Spread) probe(ctx context.Context, address string, wait time.Duration) error {
	s.metrics.polls(1)
	args := &wire.SnapshotArgs{Caller: s.caller(), Wait: wait, Probe: true}
	reply := &wire.SnapshotReply{}
	if err := s.call(ctx, address, wait+pollGrace, wire.MethodSnapshot, args, reply); err != nil {
		return err
	}
	if s.reaches(ctx, reply.ConfigVersion) {
		return nil
	}
	return s.poll(ctx, address, 0)
}

// reaches waits for a moment until the process has a version in force.
func (s *Spread) reaches(ctx context.Context, version usher.Version) bool {
	late := time.NewTimer(probeDelay)
	defer late.Stop()
	for {
		changed := s.holder.Changed()
		if s.holder.Current().Version >= version {
			return true
		}
		select {
		case <-changed:
		case <-late.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// poll asks one peer for a newer version and takes it in.
func (s *Spread) poll(ctx context.Context, address string, wait time.Duration) error {
	s.metrics.polls(1)
	from := s.holder.Current()
	args := &wire.SnapshotArgs{Caller: s.caller(), Change: string(from.Head.ID), Wait: wait}
	args.ConfigVersion = from.Version
	reply := &wire.SnapshotReply{}
	if err := s.call(ctx, address, wait+pollGrace, wire.MethodSnapshot, args, reply); err != nil {
		return err
	}
	if len(reply.Head) == 0 {
		return nil
	}
	head := &config.Head{}
	if err := json.Unmarshal(reply.Head, head); err != nil {
		return err
	}
	return s.takeFrom(ctx, address, from, head, reply)
}

func (s *Spread) takeFrom(ctx context.Context, address string, from *config.Snapshot, head *config.Head, reply *wire.SnapshotReply) error {
	if config.Diverged(&from.Head, head) {
		s.metrics.refused(1)
		pause.For(ctx, refusedDelay)
		return nil
	}
	s.taking.Lock()
	defer s.taking.Unlock()
	if s.holder.Current() != from {
		// Another loop has moved the process on; the next poll brings the rest.
		return nil
	}
	next, keys, err := s.build(ctx, address, from, head, reply)
	if err != nil {
		return err
	}
	s.take(from, next, keys)
	return nil
}

// build makes the snapshot of a reply and checks it against its head. What does
// not match is fetched anew, by pages.
func (s *Spread) build(ctx context.Context, address string, from *config.Snapshot, head *config.Head, reply *wire.SnapshotReply) (*config.Snapshot, []usher.ObjectKey, error) {
	if !reply.Full {
		next, err := from.With(head, reply.Objects, reply.Deleted)
		if err == nil && next.Verify() == nil {
			return next, keysOf(reply.Objects, reply.Deleted), nil
		}
	}
	next, err := s.fetchPages(ctx, address, from, head)
	if err != nil {
		return nil, nil, err
	}
	if next.Verify() != nil {
		return nil, nil, &NoPageError{Peer: address}
	}
	return next, nil, nil
}

// fetchPages replaces the pages that differ, one by one, so that a whole
// configuration is never held twice.
func (s *Spread) fetchPages(ctx context.Context, address string, from *config.Snapshot, head *config.Head) (*config.Snapshot, error) {
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

func keysOf(objects []usher.Object, deleted []usher.ObjectKey) []usher.ObjectKey {
	keys := append([]usher.ObjectKey{}, deleted...)
	for _, object := range objects {
		keys = append(keys, object.Key)
	}
	return keys
}

func (s *Spread) call(ctx context.Context, address string, timeout time.Duration, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	connection := s.linkTo(address)
	err := connection.Call(ctx, method, args, reply)
	if err != nil {
		connection.Reset()
	}
	return err
}

// maxLinks bounds the connections of a process for its configuration. It is
// above what the trees and the questions across need.
const maxLinks = 32

func (s *Spread) linkTo(address string) *link.Link {
	s.mu.Lock()
	defer s.mu.Unlock()
	existing, ok := s.links[address]
	if ok {
		return existing
	}
	for other, idle := range s.links {
		if len(s.links) < maxLinks {
			break
		}
		idle.Close()
		delete(s.links, other)
	}
	existing = link.New(address)
	s.links[address] = existing
	return existing
}

func (s *Spread) closeLinks() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, one := range s.links {
		one.Close()
	}
}

func (s *Spread) suspend(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for other, until := range s.suspended {
		if until.Before(now) {
			delete(s.suspended, other)
		}
	}
	s.suspended[address] = now.Add(jittered(suspension))
}

func (s *Spread) isSuspended(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.suspended[address])
}
