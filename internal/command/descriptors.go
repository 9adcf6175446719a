package command

import (
	"golang.org/x/sys/unix"

	"filbertusher/internal/drain"
)

const (
	// peerConnectionsDivisor gives the part of the descriptors that connections of peers may
	// use, and minPeerConnections how many they may use at least.
	peerConnectionsDivisor = 8
	minPeerConnections     = 64
)

// descriptors returns how many the process may open: maxOpenFiles, or as many as the system
// allows if that is less or 0.
func descriptors(maxOpenFiles int) (int, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, err
	}
	if maxOpenFiles <= 0 || uint64(maxOpenFiles) > limit.Cur {
		maxOpenFiles = int(min(limit.Cur, 1<<30))
	}
	return maxOpenFiles, nil
}

// peerConnections returns how many connections peers may have open in a process that may
// open a number of descriptors.
func peerConnections(descriptors int) int {
	return max(minPeerConnections, descriptors/peerConnectionsDivisor)
}

// callerConnections returns the limits on callers' connections in a process that may open a
// number of descriptors. The rest is for connections to endpoints, of which each running
// request has one, to the store and to peers, and for readiness checks.
func callerConnections(descriptors int) drain.Limits {
	return drain.Limits{Open: descriptors / 3 * 2, KeepAlive: descriptors / 2}
}
