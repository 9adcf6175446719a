package entry

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"filbertusher/internal/config"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

// Headers of the callers' side. docs/api.md describes them.
const (
	headerTier      = "Filbertusher-Tier"
	headerTimeout   = "Filbertusher-Timeout"
	headerKey       = "Idempotency-Key"
	headerRequestID = "X-Request-Id"
)

// maxKeyBytes bounds an idempotency key.
const maxKeyBytes = 255

// request is a caller's request while the entry works on it.
type request struct {
	usher.RequestHeader
	call       usher.Call
	tokenName  string
	snapshot   *config.Snapshot
	service    *usher.Service
	started    time.Time
	candidates []usher.Candidate
	endpoint   usher.EndpointName
	// why is the reason for the endpoint that was offered the request last.
	why    string
	copies usher.Copies
	// reply is the newest reply of a companion on the request.
	reply *wire.SubmitReply
	// keyed is set once refusals speak of the key and not of this attempt.
	keyed bool
	// unsure holds the refusals of the attempts whose outcome is unknown.
	unsure []*usher.Refusal
}

// accept makes a request of what the caller sent, except for the body, or
// returns why it is refused; then the request is nil when the caller is not
// known. Nothing costly is done before the caller is known.
func (e *Entry) accept(r *http.Request) (*request, *usher.Refusal) {
	snapshot := e.Config.Current()
	if snapshot.Version == 0 {
		refusal := usher.NewRefusal(usher.RefusalNotReady, "no configuration is known yet").WithRetryAfter(time.Second)
		return nil, unasked(r, refusal)
	}
	identity, refusal := authenticate(snapshot, r)
	if refusal != nil {
		return nil, unasked(r, refusal)
	}
	accepted := &request{snapshot: snapshot, tokenName: identity.TokenName, started: time.Now()}
	accepted.ID = e.ids.Next()
	accepted.Workspace = identity.Workspace.Name
	accepted.Key = usher.IdempotencyKey(r.Header.Get(headerKey))
	if refusal := accepted.chooseTier(r.Header.Get(headerTier), identity.Workspace); refusal != nil {
		return accepted, refusal
	}
	if refusal := accepted.chooseDeadline(r.Header.Get(headerTimeout), e.options.MaxTimeout); refusal != nil {
		return accepted, refusal
	}
	if len(accepted.Key) > maxKeyBytes {
		return accepted, usher.NewRefusal(usher.RefusalBadRequest, headerKey+" is longer than "+strconv.Itoa(maxKeyBytes)+" bytes")
	}
	return accepted, nil
}

// unasked keeps a refusal, for which nobody was asked about the key, from
// promising that the key did not run.
func unasked(r *http.Request, refusal *usher.Refusal) *usher.Refusal {
	if r.Header.Get(headerKey) == "" {
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

func (r *request) chooseTier(asked string, workspace *usher.Workspace) *usher.Refusal {
	if len(workspace.Tiers) == 0 {
		return usher.NewRefusal(usher.RefusalForbiddenTier, "the workspace may use no tier")
	}
	name := usher.TierName(asked)
	if asked == "" {
		name = workspace.Tiers[0]
	}
	tier, known := r.snapshot.Tiers[name]
	if !known || !mayUse(workspace, name) {
		return usher.NewRefusal(usher.RefusalForbiddenTier, "the workspace may not use tier "+strconv.Quote(string(name)))
	}
	if _, served := r.snapshot.Limits(name); !served {
		return usher.NewRefusal(usher.RefusalForbiddenTier, "the preset in force does not serve tier "+string(name))
	}
	r.Tier, r.Rank = name, tier.Rank
	r.Deadline = r.started.Add(time.Duration(tier.Deadline))
	return nil
}

func mayUse(workspace *usher.Workspace, tier usher.TierName) bool {
	for _, allowed := range workspace.Tiers {
		if allowed == tier {
			return true
		}
	}
	return false
}

// chooseDeadline reads a caller's own timeout, in seconds or as "1.5s".
func (r *request) chooseDeadline(asked string, most time.Duration) *usher.Refusal {
	if asked == "" {
		return nil
	}
	timeout, ok := parseTimeout(asked, most)
	if !ok {
		return usher.NewRefusal(usher.RefusalBadRequest, headerTimeout+" has to be a duration above 0 and up to "+most.String())
	}
	r.Deadline = r.started.Add(timeout)
	return nil
}

// parseTimeout reads "2", "0.5" or "500ms". ok is false for what is no duration
// or not above 0 and up to most.
func parseTimeout(text string, most time.Duration) (timeout time.Duration, ok bool) {
	if seconds, err := strconv.ParseFloat(text, 64); err == nil {
		// The comparison is made before the conversion, which would overflow.
		if !(seconds > 0 && seconds <= most.Seconds()) {
			return 0, false
		}
		timeout = time.Duration(seconds * float64(time.Second))
	} else if timeout, err = time.ParseDuration(text); err != nil {
		return 0, false
	}
	return timeout, timeout > 0 && timeout <= most
}

// readBody reads the caller's body within the bounds of size and time.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *usher.Refusal) {
	if r.ContentLength > e.options.MaxBody {
		return nil, e.tooLarge()
	}
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(e.options.BodyTimeout))
	body, err := readAll(http.MaxBytesReader(w, r.Body, e.options.MaxBody), r.ContentLength)
	if err == nil {
		_ = controller.SetReadDeadline(time.Time{})
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, e.tooLarge()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, usher.NewRefusal(usher.RefusalTooSlow, "the body did not arrive in time")
	default:
		return nil, usher.NewRefusal(usher.RefusalBadRequest, "the body ended early")
	}
}

func (e *Entry) tooLarge() *usher.Refusal {
	return usher.NewRefusal(usher.RefusalTooLarge, "the body is larger than "+strconv.FormatInt(e.options.MaxBody, 10)+" bytes")
}

// readAll reads a body of known length without growing the buffer.
func readAll(body io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(body)
	}
	buffer := make([]byte, length)
	_, err := io.ReadFull(body, buffer)
	return buffer, err
}
