package config

import (
	"crypto/rand"
	"encoding/hex"
	"time"

	"filbertusher/pkg/usher"
)

// Store keys and key prefixes of the stored tree (see pageCount) and of
// replaced heads.
const (
	HeadKey            usher.ObjectKey = Prefix + "head"
	pagePrefix         usher.ObjectKey = Prefix + "page/"
	bucketPrefix       usher.ObjectKey = Prefix + "bucket/"
	archivedHeadPrefix usher.ObjectKey = Prefix + "past/"
)

// ChangeID uniquely identifies a change. The writer generates it before the
// write, so that it can recognize its own change when it reads the head back
// after a write whose response was lost.
type ChangeID string

// NewChangeID returns a random 64-bit ID in hexadecimal. It is short because a
// head holds many IDs and is sent to every entry and companion with every change.
func NewChangeID() ChangeID {
	var random [8]byte
	_, _ = rand.Read(random[:])
	return ChangeID(hex.EncodeToString(random[:]))
}

const (
	// maxLineage is the maximum number of ancestor IDs in a head.
	maxLineage = 32
	// maxChangedKeys is the maximum number of changed keys listed in a head.
	maxChangedKeys = 64
	// maxRelays is the maximum number of relay addresses in a head.
	maxRelays = 16
)

// Head is the root of one version of the configuration tree, with the metadata
// of the change that made it.
type Head struct {
	Version usher.Version `json:"version"`
	ID      ChangeID      `json:"id"`
	Author  string        `json:"author"`
	Time    time.Time     `json:"time"`
	Note    string        `json:"note,omitempty"`
	// Changed lists the changed objects, for operators and for the merge after
	// the store has lost history. Truncated is set if the list was cut at its
	// maximum length.
	Changed   []usher.ObjectKey `json:"changed"`
	Truncated bool              `json:"truncated,omitempty"`
	// Lineage is the IDs of the ancestors of this version, newest first. A
	// process whose current version is not among them must not treat this head
	// as a successor.
	Lineage []ChangeID `json:"lineage"`
	// Pages are the digests of the pages, by page number.
	Pages []usher.Digest `json:"pages"`
	// Relays are addresses of companions from which a new process can fetch
	// the configuration, so that a start costs the store one read.
	Relays []string `json:"relays,omitempty"`
}

// descendsFrom reports whether h is a descendant of earlier. If the versions
// are at least maxLineage apart, the lineage can no longer tell and h is
// assumed to be a descendant: a process that was frozen for that long must
// catch up.
func (h *Head) descendsFrom(earlier *Head) bool {
	if h.Version <= earlier.Version {
		return false
	}
	for _, id := range h.Lineage {
		if id == earlier.ID {
			return true
		}
	}
	return len(h.Lineage) >= maxLineage && h.Version-earlier.Version >= maxLineage
}

// mergeLineages returns the lineage of a head with the given parents.
func mergeLineages(parents ...*Head) []ChangeID {
	var lineage []ChangeID
	seen := make(map[ChangeID]bool)
	add := func(id ChangeID) {
		if id != "" && !seen[id] && len(lineage) < maxLineage {
			seen[id] = true
			lineage = append(lineage, id)
		}
	}
	for _, parent := range parents {
		add(parent.ID)
	}
	// Interleave the lineages of the parents, so that truncation at the limit
	// keeps the newest IDs of each.
	for i := range maxLineage {
		for _, parent := range parents {
			if i < len(parent.Lineage) {
				add(parent.Lineage[i])
			}
		}
	}
	return lineage
}
