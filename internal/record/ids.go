package record

import (
	"strconv"
	"sync/atomic"

	"filbertusher/pkg/usher"
)

// IDSource generates request IDs that consist of the writer's incarnation and a
// counter. Generating an ID needs no random numbers while a request is handled,
// the ID identifies the writer's chain in the record, and a gap in the counter
// there reveals a lost line.
type IDSource struct {
	prefix string
	next   *atomic.Uint64
}

// NewIDSource returns a generator of IDs for one incarnation.
func NewIDSource(incarnation usher.Incarnation) IDSource {
	return IDSource{prefix: string(incarnation) + "-", next: new(atomic.Uint64)}
}

// Next returns an ID that it has not returned before.
func (s IDSource) Next() usher.RequestID {
	return usher.RequestID(s.prefix + strconv.FormatUint(s.next.Add(1), 36))
}
