package usher

// StoreEra counts how often the platform's store went back to an earlier state, as
// when it is restored from a backup. Writes that the store acknowledged since that
// state are lost then, and revisions are given out again. It is 0 for a store that
// states no era.
type StoreEra uint16

// EraSource tells when the store went back to an earlier state. Implementations
// learn it from the store's responses, so a process that makes no calls learns
// nothing.
type EraSource interface {
	// Era returns the era of the newest response.
	Era() StoreEra
	// Restored returns a channel that is closed at the next change of the era.
	Restored() <-chan struct{}
}
