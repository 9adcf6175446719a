package blame

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// wholeCrashes and partCrashes are the numbers of crashes, not explained by another
	// trait, after which a trait is blamed that no request was ever answered with. A
	// part needs more because more requests are refused for it.
	wholeCrashes = 2
	partCrashes  = 3
	// answeredCrashes is the number for a trait that was answered before.
	answeredCrashes = 5
	// apartCrashes is the number after which traits that were always present at the same
	// crashes are blamed one by one. If one request had them all, refusing the requests
	// that have them all would have ended the crashes before.
	apartCrashes = 10
	// answeredPatience is how long a trait that was answered before must have been
	// without an answer. In a series of crashes even the most common trait goes without
	// one until an endpoint is back.
	answeredPatience = 2 * time.Second
	// probeInterval is the shortest time after which one request with a blamed trait is
	// let through, in case the trait was blamed wrongly or no longer crashes endpoints.
	// answeredProbeInterval is the one for a trait that was answered before.
	probeInterval         = 10 * time.Minute
	answeredProbeInterval = 30 * time.Second
)

// causes are the blamed traits. A request is refused if it has the content of one in
// single, or the contents of a whole group in together. single has the content as its key.
type causes struct {
	single   map[Key][]Trait
	together [][]Trait
}

// findCauses blames as few traits as explain the crashes. The load that it answers is a
// series of crashes within seconds, in which most requests run beside the cause.
// The caller must hold t.mu.
func (t *Table) findCauses(now time.Time) {
	candidates := make([]*entry, 0, len(t.records))
	for _, e := range t.records {
		if e.suffices(len(e.Crashes), now) {
			candidates = append(candidates, e)
		}
	}
	found := &causes{single: make(map[Key][]Trait)}
	blamed := make(map[Key]bool)
	for _, group := range explain(candidates, now) {
		traits := make([]Trait, 0, len(group.entries))
		for _, e := range group.entries {
			traits = append(traits, e.Trait)
			blamed[e.Key] = true
		}
		if len(traits) > 1 && len(group.crashes) < apartCrashes {
			found.together = append(found.together, traits)
			continue
		}
		for _, trait := range traits {
			found.single[trait.Content] = append(found.single[trait.Content], trait)
		}
	}
	for _, e := range t.records {
		t.setBlamed(e, blamed[e.Key], now)
	}
	if len(blamed) == 0 {
		t.causes.Store(nil)
		return
	}
	t.causes.Store(found)
}

func (t *Table) setBlamed(e *entry, blamed bool, now time.Time) {
	if blamed && !e.cause {
		e.cause = true
		e.postponeProbe(now)
		t.onCause(e.Trait, len(e.Crashes))
		t.signalChange()
	}
	e.cause = blamed
}

// postponeProbe spreads the probes of several instances, so that the first one is known
// to the others before they are due.
func (e *entry) postponeProbe(now time.Time) {
	interval := probeInterval
	if e.Answered {
		interval = answeredProbeInterval
	}
	e.probeAt = now.Add(interval + rand.N(interval))
}

// group holds traits that were present at the same crashes, so that nothing tells them
// apart.
type group struct {
	entries []*entry
	crashes []CrashKey
}

// explain returns the groups of traits that explain the crashes.
func explain(candidates []*entry, now time.Time) []group {
	var groups []group
	explained := make(map[CrashKey]bool)
	for {
		best, crashes := bestCandidate(candidates, explained, now)
		if best == nil {
			return groups
		}
		alike := []*entry{best}
		for _, e := range candidates {
			if e != best && !best.Answered && !e.Answered && e.suffices(len(crashes), now) && sameCrashes(unexplained(e, explained), crashes) {
				alike = append(alike, e)
			}
		}
		for _, crash := range crashes {
			explained[crash] = true
		}
		groups = append(groups, group{alike, crashes})
	}
}

// bestCandidate returns the trait that explains the most crashes of those that are not
// explained yet, and these crashes. Traits that were never answered come first.
func bestCandidate(candidates []*entry, explained map[CrashKey]bool, now time.Time) (*entry, []CrashKey) {
	var best *entry
	var bestCrashes []CrashKey
	for _, e := range candidates {
		crashes := unexplained(e, explained)
		if !e.suffices(len(crashes), now) {
			continue
		}
		if best == nil || compareCandidates(e, len(crashes), best, len(bestCrashes)) < 0 {
			best, bestCrashes = e, crashes
		}
	}
	return best, bestCrashes
}

func compareCandidates(a *entry, aCrashes int, b *entry, bCrashes int) int {
	if a.Answered != b.Answered {
		return boolRank(a.Answered) - boolRank(b.Answered)
	}
	return cmp.Or(bCrashes-aCrashes, cmp.Compare(a.Key, b.Key))
}

// suffices reports whether a number of crashes is enough to blame the trait.
func (e *entry) suffices(crashes int, now time.Time) bool {
	switch {
	case e.Answered:
		return crashes >= answeredCrashes && now.Sub(e.since) >= answeredPatience
	case e.Whole:
		return crashes >= wholeCrashes
	default:
		return crashes >= partCrashes
	}
}

func unexplained(e *entry, explained map[CrashKey]bool) []CrashKey {
	var crashes []CrashKey
	for _, crash := range e.Crashes {
		if !explained[crash] {
			crashes = append(crashes, crash)
		}
	}
	return crashes
}

func sameCrashes(a, b []CrashKey) bool {
	if len(a) != len(b) {
		return false
	}
	for _, crash := range a {
		if !slices.Contains(b, crash) {
			return false
		}
	}
	return true
}

// Verdict says whether a request may be sent to an endpoint.
type Verdict int

const (
	// Allowed means that the request has no blamed trait.
	Allowed Verdict = iota
	// Refused means that it has one.
	Refused
	// Probe means that it has one and is let through, to see whether it still crashes
	// endpoints. It must be sent to one endpoint only.
	Probe
)

// Check decides on a request. While no trait is blamed it costs one atomic load, and
// traits is not called.
func (t *Table) Check(traits func() []Trait) Verdict {
	blamed := t.blamed(traits)
	if len(blamed) == 0 {
		return Allowed
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	verdict := t.verdictOn(blamed, now)
	if verdict == Probe {
		for _, trait := range blamed {
			if e := t.records[trait.Key]; e != nil {
				e.postponeProbe(now)
			}
		}
	}
	return verdict
}

// Look returns what Check would return, and counts no probe.
func (t *Table) Look(traits func() []Trait) Verdict {
	blamed := t.blamed(traits)
	if len(blamed) == 0 {
		return Allowed
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.verdictOn(blamed, t.now())
}

// blamed returns the blamed traits for which a request with the given ones is refused.
func (t *Table) blamed(traits func() []Trait) []Trait {
	found := t.causes.Load()
	if found == nil {
		return nil
	}
	return found.of(traits())
}

// verdictOn returns the verdict on a request with blamed traits. The caller must hold t.mu.
func (t *Table) verdictOn(blamed []Trait, now time.Time) Verdict {
	for _, trait := range blamed {
		if e := t.records[trait.Key]; e != nil && now.Before(e.probeAt) {
			return Refused
		}
	}
	return Probe
}

// of returns the blamed traits for which a request with the given ones is refused.
func (c *causes) of(traits []Trait) []Trait {
	var blamed []Trait
	present := make(map[Key]bool, len(traits))
	for _, trait := range traits {
		present[trait.Content] = true
		blamed = append(blamed, c.single[trait.Content]...)
	}
	for _, group := range c.together {
		if !slices.ContainsFunc(group, func(trait Trait) bool { return !present[trait.Content] }) {
			blamed = append(blamed, group...)
		}
	}
	return blamed
}
