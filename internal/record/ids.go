package record

import (
	"strconv"
	"sync/atomic"

	"filbertusher/pkg/usher"
)

// IDSource makes request ids: the writer's incarnation and a count. An id costs
// no random numbers on the path of a request, it leads to the writer's chain in
// the record, and a count that is missing there is a line that was lost.
type IDSource struct {
	prefix string
	next   *atomic.Uint64
}

// NewIDSource returns the ids of one incarnation.
func NewIDSource(incarnation usher.Incarnation) IDSource {
	return IDSource{prefix: string(incarnation) + "-", next: new(atomic.Uint64)}
}

// Next returns an id that was not given before.
func (s IDSource) Next() usher.RequestID {
	return usher.RequestID(s.prefix + strconv.FormatUint(s.next.Add(1), 36))
}
