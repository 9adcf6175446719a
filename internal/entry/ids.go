package entry

import (
	"strconv"
	"sync/atomic"

	"github.com/google/uuid"

	"filbertusher/pkg/usher"
)

// idSource makes request ids: a random part for the incarnation and a count,
// so that an id costs no random numbers on the path of a request.
type idSource struct {
	prefix string
	next   *atomic.Uint64
}

func newIDSource() idSource {
	return idSource{prefix: uuid.NewString() + "-", next: new(atomic.Uint64)}
}

func (s idSource) request() usher.RequestID {
	return usher.RequestID(s.prefix + strconv.FormatUint(s.next.Add(1), 36))
}
