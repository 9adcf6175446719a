// Package streamorigin knows at which software version of a service streams began. What
// two versions write does not fit together, so that a stream that breaks off may go on
// only at the version that began it. Callers that take up a stream name the request that
// began it, at any gateway instance.
//
// Two things answer the question:
//
//   - The version of each stream, kept by the instance that passed on its first event. While
//     several versions serve, instances tell each other.
//   - The versions that served lately. If there is only one, it began every stream. They are
//     kept in the store while there are several, because all instances may restart at once.
//
// A stream for which neither gives an answer must not go on anywhere.
package streamorigin

import "filbertusher/pkg/usher"

// Origin is where a stream began.
type Origin struct {
	Service  usher.ServiceName
	Software usher.SoftwareVersion
}

// Knowledge is what is known of a stream's origin.
type Knowledge int

const (
	// Unknown means that several versions may have begun the stream.
	Unknown Knowledge = iota
	// Inferred means that only one version can have begun it.
	Inferred
	// Recorded means that an instance has passed on its first event.
	Recorded
)
