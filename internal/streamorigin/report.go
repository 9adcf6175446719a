package streamorigin

import (
	"time"

	"filbertusher/pkg/usher"
)

// maxReportedStreams bounds the streams of one report. The rest follows in later ones.
const maxReportedStreams = 1024

// Report is what an instance tells a peer. It is empty while one version of each service
// serves.
type Report struct {
	// Loaded is set once the instance knows the versions that served lately.
	Loaded   bool
	Versions []ServedVersion
	Streams  []Streams
}

// ServedVersion is a version of which endpoints serve, or served until some time ago.
type ServedVersion struct {
	Origin
	Serves bool
	Ago    time.Duration
}

// Streams are the streams that began at one version.
type Streams struct {
	Origin
	Keys []Key
}

// Cursor is how much a peer has been told. The zero Cursor is that of a peer that knows
// nothing.
type Cursor struct {
	// next is the number of streams that this instance had learned and the peer needs no
	// more. Of those below all, the peer is also told which it learned from others.
	next, all uint64
}

// Report returns what a peer has not been told, and the cursor for the next report once
// the peer has received this one. A peer that knows nothing is told of all streams, and
// others of those that began here.
func (t *Table) Report(cursor Cursor) (Report, Cursor) {
	t.mu.Lock()
	defer t.mu.Unlock()
	report := Report{Loaded: t.loaded}
	if !t.isMixed(versionTTL) {
		return report, Cursor{}
	}
	now := t.now()
	for service, known := range t.services {
		if len(t.recent(service, versionTTL)) < 2 {
			continue
		}
		for software, until := range known.servedUntil {
			served := ServedVersion{Origin: Origin{Service: service, Software: software}, Serves: until.IsZero()}
			if !served.Serves {
				served.Ago = now.Sub(until)
			}
			report.Versions = append(report.Versions, served)
		}
	}
	learnedCount := t.learnedBefore + uint64(len(t.learned))
	if cursor == (Cursor{}) {
		cursor.all = learnedCount
	}
	cursor.next = max(cursor.next, t.learnedBefore)
	byOrigin := make(map[Origin][]Key)
	for count := 0; count < maxReportedStreams && cursor.next < learnedCount; cursor.next++ {
		learned := t.learned[cursor.next-t.learnedBefore]
		if learned.own || cursor.next < cursor.all {
			origin := t.origins[learned.key]
			byOrigin[origin] = append(byOrigin[origin], learned.key)
			count++
		}
	}
	for origin, keys := range byOrigin {
		report.Streams = append(report.Streams, Streams{Origin: origin, Keys: keys})
	}
	return report, cursor
}

// Merge adds what a peer reported.
func (t *Table) Merge(report Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loaded = t.loaded || report.Loaded
	now := t.now()
	for _, served := range report.Versions {
		// A peer that sees a version serve may know its endpoints sooner or longer.
		t.setServed(served.Origin, now.Add(-max(0, served.Ago)))
	}
	streams := 0
	for _, group := range report.Streams {
		for _, key := range group.Keys {
			if streams++; streams > maxReportedStreams {
				return
			}
			t.learn(key, group.Origin, false)
		}
	}
}

// snapshot returns the versions that have to be stored, with the times until which they
// served. The caller must hold t.mu.
func (t *Table) snapshot() []storedVersion {
	var stored []storedVersion
	for service, known := range t.services {
		if len(t.recent(service, versionTTL)) < 2 {
			continue
		}
		for software, until := range known.servedUntil {
			if until.IsZero() {
				until = t.now()
			}
			stored = append(stored, storedVersion{Service: service, Software: software, ServedUntil: until})
		}
	}
	return stored
}

// storedVersion is a version as it is stored.
type storedVersion struct {
	Service     usher.ServiceName     `json:"service"`
	Software    usher.SoftwareVersion `json:"software"`
	ServedUntil time.Time             `json:"servedUntil"`
}
