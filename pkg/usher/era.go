package usher

// StoreEra counts how often the platform's store went back to an earlier state, as
// when it is restored from a backup. Writes that the store acknowledged since that
// state are lost then, and revisions are given out again. It is 0 for a store that
// states no era.
type StoreEra uint16

// revisionBits is the number of low bits of a Version that hold the revision. The era
// is in the bits above.
const revisionBits = 48

// NewVersion returns the version that stands for a revision in an era of the store.
// Versions of a later era are greater than all of an earlier one, so that what the
// store says after it went back counts as newer, and no two states share a version.
func NewVersion(era StoreEra, revision uint64) Version {
	return Version(era)<<revisionBits | Version(revision&(1<<revisionBits-1))
}

// Era returns the era in which the store gave out the version.
func (v Version) Era() StoreEra { return StoreEra(v >> revisionBits) }

// Revision returns the number that the store gave the version.
func (v Version) Revision() uint64 { return uint64(v & (1<<revisionBits - 1)) }

// tokensPerEra is the number of fencing tokens of one era.
const tokensPerEra = 1 << 32

// Next returns the token that follows t, which was read from the store in an era. It is
// greater than all tokens of earlier eras, also those that the store has lost.
//
// The first era is 1; a store that states none is treated as if it were in the first.
func (t FencingToken) Next(era StoreEra) FencingToken {
	return max(t, FencingToken(max(era, 1)-1)*tokensPerEra) + 1
}

// EraSource tells when the store went back to an earlier state. Implementations
// learn it from the store's responses, so a process that makes no calls learns
// nothing.
type EraSource interface {
	// Era returns the era of the newest response.
	Era() StoreEra
	// Restored returns a channel that is closed at the next change of the era.
	Restored() <-chan struct{}
}
