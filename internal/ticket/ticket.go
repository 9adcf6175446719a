// Package ticket makes and checks tickets: idempotency keys that name the one
// companion incarnation which may ever dispatch them. A ticket needs no write
// to the store, so orders can be placed while the store is down:
//
//	fbt1.b3JkZXJzLTA.2f6c1e0a-...-9d.5k2.8f31c0.9yVx...   endpoint, incarnation, age, nonce, code
//
// The incarnation keeps the outcome in its memory. When it is gone, nobody can
// tell whether the ticket ran, and nobody will run it.
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

// prefix begins every ticket. Other keys must not begin with it.
const prefix = "fbt1."

const (
	// parts is how many parts follow the prefix.
	parts = 5
	// secretBytes is the length of an issuer's secret, codeBytes that of the
	// code which proves that the issuer made the ticket.
	secretBytes = 32
	codeBytes   = 16
	nonceBytes  = 6
)

// Named is who a ticket says has to run it.
type Named struct {
	Endpoint    usher.EndpointName
	Incarnation usher.Incarnation
}

// Is says whether a key is meant to be a ticket.
func Is(key usher.IdempotencyKey) bool { return strings.HasPrefix(string(key), prefix) }

// Read returns whom a ticket names, without proof that it is genuine.
func Read(key usher.IdempotencyKey) (Named, bool) {
	fields := strings.Split(strings.TrimPrefix(string(key), prefix), ".")
	if len(fields) != parts {
		return Named{}, false
	}
	endpoint, err := base64.RawURLEncoding.DecodeString(fields[0])
	return Named{Endpoint: usher.EndpointName(endpoint), Incarnation: usher.Incarnation(fields[1])}, err == nil
}

// InvalidError is returned for a key that was not issued as a ticket, or not
// to this workspace and service.
type InvalidError struct{}

// Error implements error.
func (*InvalidError) Error() string {
	return "the ticket was not issued to this workspace for this service"
}

// ForeignError is returned for a ticket of another incarnation.
type ForeignError struct{ Named Named }

// Error implements error.
func (*ForeignError) Error() string {
	return "the companion that issued the ticket is gone; the request may have run"
}

// Issuer makes the tickets of one companion incarnation.
type Issuer struct {
	named   Named
	secret  []byte
	started time.Time
}

// NewIssuer returns an issuer with a secret of its own, which is never stored.
func NewIssuer(named Named) *Issuer {
	secret := make([]byte, secretBytes)
	// The reader of crypto/rand never fails; it ends the process instead.
	_, _ = rand.Read(secret)
	return &Issuer{named: named, secret: secret, started: time.Now()}
}

// Issue makes a ticket. Its age counts from the start of the process, so that
// only one clock is involved, and only to bound memory.
func (i *Issuer) Issue(workspace usher.WorkspaceName, service usher.ServiceName) usher.IdempotencyKey {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	text := prefix + strings.Join([]string{
		base64.RawURLEncoding.EncodeToString([]byte(i.named.Endpoint)),
		string(i.named.Incarnation),
		strconv.FormatInt(time.Since(i.started).Milliseconds(), 36),
		hex.EncodeToString(nonce),
	}, ".")
	return usher.IdempotencyKey(text + "." + i.code(text, workspace, service))
}

// code binds a ticket to its workspace and service. The lengths keep two
// different pairs from making the same text.
func (i *Issuer) code(text string, workspace usher.WorkspaceName, service usher.ServiceName) string {
	mac := hmac.New(sha256.New, i.secret)
	for _, part := range []string{text, string(workspace), string(service)} {
		mac.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil)[:codeBytes])
}

// Check returns how long ago the ticket was issued.
//
// Errors are *InvalidError and *ForeignError.
func (i *Issuer) Check(key usher.IdempotencyKey, workspace usher.WorkspaceName, service usher.ServiceName) (time.Duration, error) {
	named, ok := Read(key)
	if !ok {
		return 0, &InvalidError{}
	}
	if named != i.named {
		return 0, &ForeignError{Named: named}
	}
	text := string(key)
	end := strings.LastIndexByte(text, '.')
	if !hmac.Equal([]byte(text[end+1:]), []byte(i.code(text[:end], workspace, service))) {
		return 0, &InvalidError{}
	}
	issued, err := strconv.ParseInt(strings.Split(text, ".")[3], 36, 64)
	if err != nil {
		return 0, &InvalidError{}
	}
	return time.Since(i.started) - time.Duration(issued)*time.Millisecond, nil
}
