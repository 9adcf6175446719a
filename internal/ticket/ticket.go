// Package ticket issues and verifies tickets: idempotency keys that contain the
// only companion incarnation which may dispatch them. A ticket needs no write to
// the store, so requests that may run only once are accepted while the store is
// down:
//
//	fbt1.b3JkZXJzLTA.2f6c1e0a-...-9d.5k2.8f31c0.9yVx...   endpoint, incarnation, issue time, nonce, MAC
//
// The incarnation keeps the outcome in memory. Once it has ended, it is unknown
// whether the request ran, and it will not be run any more.
package ticket

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"filbertusher/pkg/usher"
)

// prefix begins every ticket. Callers' own idempotency keys must not begin with
// it.
const prefix = "fbt1."

const (
	// fieldCount is the number of dot-separated fields after the prefix.
	fieldCount = 5
	// secretBytes is the length of an issuer's HMAC key, macBytes that of the
	// truncated MAC which authenticates a ticket, and nonceBytes that of the random
	// part which makes each ticket unique.
	secretBytes = 32
	macBytes    = 16
	nonceBytes  = 6
)

// Owner is the companion incarnation that issued a ticket and alone may run it.
type Owner struct {
	Endpoint    usher.EndpointName
	Incarnation usher.Incarnation
}

// Is reports whether a key has the prefix of a ticket.
func Is(key usher.IdempotencyKey) bool { return strings.HasPrefix(string(key), prefix) }

// Parse returns the owner that a ticket names, without verifying the MAC.
func Parse(key usher.IdempotencyKey) (Owner, bool) {
	fields := strings.Split(strings.TrimPrefix(string(key), prefix), ".")
	if len(fields) != fieldCount {
		return Owner{}, false
	}
	endpoint, err := base64.RawURLEncoding.DecodeString(fields[0])
	return Owner{Endpoint: usher.EndpointName(endpoint), Incarnation: usher.Incarnation(fields[1])}, err == nil
}

// InvalidError is returned for a key that was not issued as a ticket, or not
// to this workspace and service.
type InvalidError struct{}

// Error implements error.
func (*InvalidError) Error() string {
	return "the ticket was not issued to this workspace for this service"
}

// WrongIncarnationError is returned for a ticket that another incarnation issued.
type WrongIncarnationError struct{ Owner Owner }

// Error implements error.
func (*WrongIncarnationError) Error() string {
	return "the companion that issued the ticket is gone; the request may have run"
}

// Issuer issues and verifies the tickets of one companion incarnation.
type Issuer struct {
	self    Owner
	secret  []byte
	started time.Time
}

// NewIssuer returns an issuer with a random secret, which is never stored.
func NewIssuer(self Owner) *Issuer {
	secret := make([]byte, secretBytes)
	// rand.Read never returns an error; it ends the process instead.
	_, _ = rand.Read(secret)
	return &Issuer{self: self, secret: secret, started: time.Now()}
}

// Issue returns a new ticket. Its issue time is relative to the start of the
// process, so that only one clock is involved. It serves only to expire tickets,
// which bounds memory.
func (i *Issuer) Issue(workspace usher.WorkspaceName, service usher.ServiceName) usher.IdempotencyKey {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	text := prefix + strings.Join([]string{
		base64.RawURLEncoding.EncodeToString([]byte(i.self.Endpoint)),
		string(i.self.Incarnation),
		strconv.FormatInt(time.Since(i.started).Milliseconds(), 36),
		hex.EncodeToString(nonce),
	}, ".")
	return usher.IdempotencyKey(text + "." + i.mac(text, workspace, service))
}

// mac returns the MAC that binds a ticket to its workspace and service. Each
// field is preceded by its length, so that different fields can't be encoded to
// the same input.
func (i *Issuer) mac(text string, workspace usher.WorkspaceName, service usher.ServiceName) string {
	hash := hmac.New(sha256.New, i.secret)
	for _, part := range []string{text, string(workspace), string(service)} {
		hash.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	return base64.RawURLEncoding.EncodeToString(hash.Sum(nil)[:macBytes])
}

// Verify verifies a ticket and returns how long ago it was issued.
//
// Errors are *InvalidError and *WrongIncarnationError.
func (i *Issuer) Verify(key usher.IdempotencyKey, workspace usher.WorkspaceName, service usher.ServiceName) (time.Duration, error) {
	owner, ok := Parse(key)
	if !ok {
		return 0, &InvalidError{}
	}
	if owner != i.self {
		return 0, &WrongIncarnationError{Owner: owner}
	}
	text := string(key)
	end := strings.LastIndexByte(text, '.')
	if !hmac.Equal([]byte(text[end+1:]), []byte(i.mac(text[:end], workspace, service))) {
		return 0, &InvalidError{}
	}
	issued, err := strconv.ParseInt(strings.Split(text, ".")[3], 36, 64)
	if err != nil {
		return 0, &InvalidError{}
	}
	return time.Since(i.started) - time.Duration(issued)*time.Millisecond, nil
}
