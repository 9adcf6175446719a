package blame

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"

	"filbertusher/pkg/usher"
)

// Key identifies a trait by a digest, because callers choose the length of what it
// stands for. The digest is cryptographic so that no caller can find content with the
// key of another caller's.
type Key uint64

// String returns the key in hexadecimal.
func (k Key) String() string { return strconv.FormatUint(uint64(k), 16) }

// CrashKey identifies the crash of one incarnation of an endpoint.
type CrashKey uint64

// Trait is something that requests to one service have in common. Content is the same at
// all services: what crashes the endpoints of one is refused at all, but an answer of
// another service clears nothing. Label shows operators what Content stands for; it is at
// most maxLabelBytes long. Whole is set for the whole content of a request, and unset for
// a part of its prompt.
type Trait struct {
	Key     Key    `json:"key"`
	Content Key    `json:"content"`
	Label   string `json:"label"`
	Whole   bool   `json:"whole"`
}

func newTrait(service usher.ServiceName, kind, content, label string) Trait {
	return Trait{
		Key: Key(digestOf(kind, string(service), content)), Content: Key(digestOf(kind, content)),
		Label: label[:min(len(label), maxLabelBytes)],
	}
}

// maxLabelBytes bounds a label. IDs of parts are longer only if callers make them so.
const maxLabelBytes = 32

// WholeRequest returns the trait that stands for the whole content of a request.
// digest covers method, path and body.
func WholeRequest(workspace usher.WorkspaceName, service usher.ServiceName, digest usher.Digest) Trait {
	trait := newTrait(service, "request", string(workspace)+" "+string(digest), string(digest))
	trait.Whole = true
	return trait
}

// SharedParts returns the traits that stand for the parts of a prompt. The last part is
// left out: it belongs to the request alone.
func SharedParts(service usher.ServiceName, parts []usher.PromptPart) []Trait {
	if len(parts) < 2 {
		return nil
	}
	traits := make([]Trait, 0, len(parts)-1)
	for _, part := range parts[:len(parts)-1] {
		traits = append(traits, newTrait(service, "part", part.ID, part.ID))
	}
	return traits
}

// Beginnings returns the traits that stand for the beginnings of a prompt. Each hash
// covers one more block of it (usher.RequestHeader.Prefix).
func Beginnings(service usher.ServiceName, hashes []uint64) []Trait {
	traits := make([]Trait, 0, len(hashes))
	for _, hash := range hashes {
		text := strconv.FormatUint(hash, 16)
		traits = append(traits, newTrait(service, "beginning", text, text))
	}
	return traits
}

// CrashOf returns the key of the crash of an endpoint. run distinguishes this run of the
// endpoint from its earlier and later ones.
func CrashOf(endpoint usher.EndpointName, run string) CrashKey {
	return CrashKey(digestOf("crash", string(endpoint), run))
}

func digestOf(fields ...string) uint64 {
	hash := sha256.New()
	for _, field := range fields {
		hash.Write([]byte(strconv.Itoa(len(field)) + ":" + field))
	}
	return binary.BigEndian.Uint64(hash.Sum(nil))
}
