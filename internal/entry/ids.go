package entry

import (
	"strconv"
	"sync/atomic"

	"filbertusher/pkg/usher"
)

// idSource makes request ids: the entry's incarnation and a count. An id costs
// no random numbers on the path of a request, it leads to the entry's chain in
// the record, and a count that is missing there is a line that was lost.
type idSource struct {
	prefix string
	next   *atomic.Uint64
}

func newIDSource(incarnation usher.Incarnation) idSource {
	return idSource{prefix: string(incarnation) + "-", next: new(atomic.Uint64)}
}

func (s idSource) request() usher.RequestID {
	return usher.RequestID(s.prefix + strconv.FormatUint(s.next.Add(1), 36))
}
