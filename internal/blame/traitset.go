package blame

// maxKeysPerHalf bounds each half of a keySet, so that a set takes less than 1 MB.
const maxKeysPerHalf = 8192

// traitSet is a bounded set of traits. Whole requests have a set of their own, because
// nearly each is another one and would push out the parts.
type traitSet struct{ parts, wholes keySet }

func newTraitSet() *traitSet { return &traitSet{parts: newKeySet(), wholes: newKeySet()} }

func (s *traitSet) of(trait Trait) *keySet {
	if trait.Whole {
		return &s.wholes
	}
	return &s.parts
}

func (s *traitSet) add(trait Trait)           { s.of(trait).add(trait.Key) }
func (s *traitSet) contains(trait Trait) bool { return s.of(trait).contains(trait.Key) }

// keySet is a bounded set of the keys that were added last. New keys go into the recent
// half; once it is full, it replaces the older half. A key that is added again now and
// then is never dropped.
type keySet struct{ recent, older map[Key]struct{} }

func newKeySet() keySet { return keySet{recent: make(map[Key]struct{})} }

func (s *keySet) add(key Key) {
	if _, known := s.recent[key]; known {
		return
	}
	if len(s.recent) >= maxKeysPerHalf {
		s.recent, s.older = make(map[Key]struct{}), s.recent
	}
	s.recent[key] = struct{}{}
}

func (s *keySet) contains(key Key) bool {
	if _, known := s.recent[key]; known {
		return true
	}
	_, known := s.older[key]
	return known
}
