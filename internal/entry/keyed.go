package entry

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertusher/pkg/usher"
)

// dispatchKeyed offers a request that may run only once to the one endpoint
// that its key belongs to.
func (e *Entry) dispatchKeyed(ctx context.Context, accepted *request) result {
	endpoint, ok := keyedEndpoint(accepted)
	if !ok {
		return refused(usher.NewRefusal(usher.RefusalNoEndpoint, "no endpoint serves the request").WithRetryAfter(time.Second))
	}
	got, final := e.offer(ctx, accepted, endpoint, true, 0)
	if !final && got.refusal == nil {
		return refused(usher.NewRefusal(usher.RefusalNoEndpoint, "the endpoint of the key can't be reached").WithRetryAfter(time.Second))
	}
	return got
}

// keyedEndpoint ranks the endpoints of the service by a hash of the key and
// their name, so that a change of the endpoints moves few keys.
func keyedEndpoint(accepted *request) (usher.EndpointName, bool) {
	var best usher.EndpointName
	var highest uint64
	for _, endpoint := range accepted.snapshot.ByService[accepted.Service] {
		score := xxhash.Sum64String(string(accepted.Workspace) + "\x00" + string(accepted.Key) + "\x00" + string(endpoint.Name))
		if best == "" || score > highest {
			best, highest = endpoint.Name, score
		}
	}
	return best, best != ""
}
