package entry

import (
	"errors"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"filbertusher/internal/config"
	"filbertusher/internal/intake"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

// HTTP headers of the API for callers. docs/api.md describes them.
const (
	headerTier           = "Filbertusher-Tier"
	headerTimeout        = "Filbertusher-Timeout"
	headerIdempotencyKey = "Idempotency-Key"
	headerRequestID      = "X-Request-Id"
)

// maxIdempotencyKeyBytes is the maximum length of an idempotency key.
const maxIdempotencyKeyBytes = 255

// request is a caller's request with the state of its processing. snapshot is
// the configuration it is processed with. call is what its endpoint receives, and
// endpoint is the target of the latest attempt. copies names the companions that
// may hold a copy of the decision for the record.
type request struct {
	usher.RequestHeader
	call       usher.Call
	tokenName  string
	snapshot   *config.Snapshot
	service    *usher.Service
	started    time.Time
	candidates []usher.Candidate
	endpoint   usher.EndpointName
	// reason says why the endpoint of the latest attempt was chosen.
	reason string
	copies usher.DecisionCopies
	// reply is the latest companion's reply about the request.
	reply *wire.SubmitReply
	// refusalsCoverKey is set when refusals describe every use of the
	// idempotency key, not just this attempt.
	refusalsCoverKey bool
	// sent is when the latest attempt was sent, or nil.
	sent atomic.Pointer[time.Time]
	// unknownRefusals holds the refusals of attempts with an unknown outcome.
	unknownRefusals []*usher.Refusal
}

// accept authenticates the caller and builds a request from the header, or
// returns a refusal. The request is nil if authentication was not possible or
// failed. Nothing expensive happens before authentication.
func (e *Entry) accept(r *http.Request) (*request, *usher.Refusal) {
	snapshot := e.Config.Current()
	if snapshot.Version == 0 {
		refusal := usher.NewRefusal(usher.RefusalNotReady, "no configuration is known yet").WithRetryAfter(time.Second)
		return nil, withoutKeyLookup(r, refusal)
	}
	identity, refusal := authenticate(snapshot, r)
	if refusal != nil {
		return nil, withoutKeyLookup(r, refusal)
	}
	req := &request{snapshot: snapshot, tokenName: identity.TokenName, started: time.Now()}
	req.ID = e.ids.Next()
	req.Workspace = identity.Workspace.Name
	req.Key = usher.IdempotencyKey(r.Header.Get(headerIdempotencyKey))
	if refusal := req.setTier(r.Header.Get(headerTier), identity.Workspace); refusal != nil {
		return req, refusal
	}
	if refusal := req.setDeadline(r.Header.Get(headerTimeout), e.options.MaxTimeout); refusal != nil {
		return req, refusal
	}
	if len(req.Key) > maxIdempotencyKeyBytes {
		return req, usher.NewRefusal(usher.RefusalBadRequest, headerIdempotencyKey+" is longer than "+strconv.Itoa(maxIdempotencyKeyBytes)+" bytes")
	}
	return req, nil
}

// withoutKeyLookup limits a refusal to this attempt if the request has an
// idempotency key. No companion was asked about the key, so an earlier request
// with it may have run.
func withoutKeyLookup(r *http.Request, refusal *usher.Refusal) *usher.Refusal {
	if r.Header.Get(headerIdempotencyKey) == "" {
		return refusal
	}
	return refusal.ForAttempt()
}

func authenticate(snapshot *config.Snapshot, r *http.Request) (config.Identity, *usher.Refusal) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return config.Identity{}, usher.NewRefusal(usher.RefusalUnauthorized, "a bearer token is needed")
	}
	identity, ok := snapshot.Identify(usher.DigestOf([]byte(token)))
	if !ok {
		return config.Identity{}, usher.NewRefusal(usher.RefusalUnauthorized, "the bearer token is unknown")
	}
	return identity, nil
}

func (r *request) setTier(requested string, workspace *usher.Workspace) *usher.Refusal {
	if len(workspace.Tiers) == 0 {
		return usher.NewRefusal(usher.RefusalTierForbidden, "the workspace may use no tier")
	}
	name := usher.TierName(requested)
	if requested == "" {
		name = workspace.Tiers[0]
	}
	tier, known := r.snapshot.Tiers[name]
	if !known || !tierAllowed(workspace, name) {
		return usher.NewRefusal(usher.RefusalTierForbidden, "the workspace may not use tier "+strconv.Quote(string(name)))
	}
	if _, served := r.snapshot.Limits(name); !served {
		return usher.NewRefusal(usher.RefusalTierForbidden, "the preset in force does not serve tier "+string(name))
	}
	r.Tier, r.Rank = name, tier.Rank
	r.Deadline = r.started.Add(time.Duration(tier.Deadline))
	return nil
}

func tierAllowed(workspace *usher.Workspace, tier usher.TierName) bool {
	for _, allowed := range workspace.Tiers {
		if allowed == tier {
			return true
		}
	}
	return false
}

// setDeadline applies the caller's timeout, given in seconds or as "1.5s".
func (r *request) setDeadline(requested string, maxTimeout time.Duration) *usher.Refusal {
	if requested == "" {
		return nil
	}
	timeout, ok := parseTimeout(requested, maxTimeout)
	if !ok {
		return usher.NewRefusal(usher.RefusalBadRequest, headerTimeout+" has to be a duration above 0 and up to "+maxTimeout.String())
	}
	r.Deadline = r.started.Add(timeout)
	return nil
}

// parseTimeout parses "2", "0.5" or "500ms". ok is false if text is not a
// duration above 0 and up to maxTimeout.
func parseTimeout(text string, maxTimeout time.Duration) (timeout time.Duration, ok bool) {
	if seconds, err := strconv.ParseFloat(text, 64); err == nil {
		// Check the range first, because the conversion could overflow.
		if !(seconds > 0 && seconds <= maxTimeout.Seconds()) {
			return 0, false
		}
		timeout = time.Duration(seconds * float64(time.Second))
	} else if timeout, err = time.ParseDuration(text); err != nil {
		return 0, false
	}
	return timeout, timeout > 0 && timeout <= maxTimeout
}

// readBody reads the request body within MaxBody, BodyTimeout and the memory for all
// bodies. The caller must release it.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) (*intake.Body, *usher.Refusal) {
	if r.ContentLength > e.options.MaxBody {
		return nil, e.bodyTooLarge()
	}
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(e.options.BodyTimeout))
	reader := http.MaxBytesReader(w, r.Body, e.options.MaxBody)
	body, err := e.intake.ReadFor(r.Context(), e.holdingOf(r), reader, r.ContentLength, e.options.MaxBody)
	if err == nil {
		_ = controller.SetReadDeadline(time.Time{})
		return body, nil
	}
	tooLarge, noMemory := new(http.MaxBytesError), new(intake.NoMemoryError)
	switch {
	case errors.As(err, &tooLarge):
		return nil, e.bodyTooLarge()
	case errors.As(err, &noMemory):
		short.Add(shortOfBody, 1)
		intake.Discard(r.Header, reader)
		return nil, usher.NewRefusal(usher.RefusalOverloaded, err.Error()).WithRetryAfter(time.Second)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, usher.NewRefusal(usher.RefusalRequestTimeout, "the body did not arrive in time")
	default:
		return nil, usher.NewRefusal(usher.RefusalBadRequest, "the body ended early")
	}
}

func (e *Entry) bodyTooLarge() *usher.Refusal {
	return usher.NewRefusal(usher.RefusalTooLarge, "the body is larger than "+strconv.FormatInt(e.options.MaxBody, 10)+" bytes")
}
