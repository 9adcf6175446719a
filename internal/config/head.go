package config

import (
	"crypto/rand"
	"encoding/hex"
	"time"

	"filbertusher/pkg/usher"
)

// Keys of the stored tree.
const (
	HeadKey      usher.ObjectKey = Prefix + "head"
	pagePrefix   usher.ObjectKey = Prefix + "page/"
	bucketPrefix usher.ObjectKey = Prefix + "bucket/"
	pastPrefix   usher.ObjectKey = Prefix + "past/"
)

// ChangeID names one change. Its writer chooses it before it writes, so that
// a write whose answer was lost can be recognised when it is read back.
type ChangeID string

// NewChangeID returns an id of 64 random bits. It is short because a head,
// which holds many of them, travels to every process with every change.
func NewChangeID() ChangeID {
	var random [8]byte
	_, _ = rand.Read(random[:])
	return ChangeID(hex.EncodeToString(random[:]))
}

const (
	// maxLineage bounds the ids of earlier changes in a head.
	maxLineage = 32
	// maxListed bounds the keys that a head lists as changed.
	maxListed = 64
	// maxRelays bounds the addresses that a head gives to new processes.
	maxRelays = 16
)

// Head is the root of one version of the configuration.
type Head struct {
	Version usher.Version `json:"version"`
	ID      ChangeID      `json:"id"`
	Author  string        `json:"author"`
	Time    time.Time     `json:"time"`
	Note    string        `json:"note,omitempty"`
	// Changed lists the changed objects, for operators and for the merge after
	// the store has lost history; Truncated says that there were more.
	Changed   []usher.ObjectKey `json:"changed"`
	Truncated bool              `json:"truncated,omitempty"`
	// Lineage is the ids of the versions that this one was built on, the
	// newest first. A process that holds none of them must not take this head
	// for a successor of what it holds.
	Lineage []ChangeID `json:"lineage"`
	// Pages are the digests of the pages.
	Pages []usher.Digest `json:"pages"`
	// Relays are addresses of companions from which a new process can fetch
	// the configuration, so that it costs the store one read.
	Relays []string `json:"relays,omitempty"`
}

// builtOn says whether h was built on the version that earlier is. Heads that
// are further apart than the lineage reaches can't be told apart from
// successors and are taken for them: a process that was frozen for so long
// must catch up.
func (h *Head) builtOn(earlier *Head) bool {
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

// lineageAfter is the lineage of a head built on parents.
func lineageAfter(parents ...*Head) []ChangeID {
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
	// The parents' lineages are interleaved, so that a cut at the limit keeps
	// the newest of each.
	for i := range maxLineage {
		for _, parent := range parents {
			if i < len(parent.Lineage) {
				add(parent.Lineage[i])
			}
		}
	}
	return lineage
}
