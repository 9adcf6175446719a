package rollout

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"filbertusher/pkg/usher"
)

// Peers exchange reports as JSON, in which the keys of maps are text.

// MalformedKeyError is returned for the text of a key that can't be decoded.
type MalformedKeyError struct{ Text string }

// Error implements error.
func (e *MalformedKeyError) Error() string {
	return "malformed key of a report: " + strconv.Quote(e.Text)
}

// MarshalText implements encoding.TextMarshaler.
func (k CellKey) MarshalText() ([]byte, error) {
	return []byte(strconv.Itoa(k.Bucket) + "/" + string(k.Route)), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *CellKey) UnmarshalText(text []byte) error {
	bucket, route, _ := strings.Cut(string(text), "/")
	number, err := strconv.Atoi(bucket)
	if err != nil {
		return &MalformedKeyError{Text: string(text)}
	}
	*k = CellKey{Route: usher.RouteName(route), Bucket: number}
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (k TimeKey) MarshalText() ([]byte, error) {
	return []byte(strconv.Itoa(k.Slice) + "/" + strconv.Itoa(k.Bucket)), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *TimeKey) UnmarshalText(text []byte) error {
	first, second, _ := strings.Cut(string(text), "/")
	slice, err := strconv.Atoi(first)
	if err != nil {
		return &MalformedKeyError{Text: string(text)}
	}
	bucket, err := strconv.Atoi(second)
	if err != nil {
		return &MalformedKeyError{Text: string(text)}
	}
	*k = TimeKey{Slice: slice, Bucket: bucket}
	return nil
}

// evidenceJSON is the encoded form of Evidence. The counts of a cell are a list, because their
// names would be most of a report.
type evidenceJSON struct {
	Current, Candidates Side
	RouteCounts         map[usher.RouteName][5]int `json:",omitempty"`
	CellCounts          map[CellKey][7]int         `json:",omitempty"`
	TimeCounts          map[TimeKey][2]int         `json:",omitempty"`
	Speeds              Speeds
	Longest             time.Duration
}

func (c Counts) list() [5]int { return [5]int{c.Answers, c.Failed, c.Slow, c.Timed, c.Octaves} }

func countsOf(list [5]int) Counts { return Counts{list[0], list[1], list[2], list[3], list[4]} }

// MarshalJSON implements json.Marshaler.
func (e Evidence) MarshalJSON() ([]byte, error) {
	encoded := evidenceJSON{
		Current: e.Current, Candidates: e.Candidates, Speeds: e.Speeds, Longest: e.Longest,
		RouteCounts: make(map[usher.RouteName][5]int, len(e.Routes)),
		CellCounts:  make(map[CellKey][7]int, len(e.Cells)),
		TimeCounts:  make(map[TimeKey][2]int, len(e.Times)),
	}
	for route, counts := range e.Routes {
		encoded.RouteCounts[route] = counts.list()
	}
	for key, cell := range e.Cells {
		counts := cell.list()
		encoded.CellCounts[key] = [7]int{counts[0], counts[1], counts[2], counts[3], counts[4], cell.ExpectedFailed, cell.ExpectedSlow}
	}
	for key, times := range e.Times {
		encoded.TimeCounts[key] = [2]int{times.Timed, times.Octaves}
	}
	return json.Marshal(&encoded)
}

// UnmarshalJSON implements json.Unmarshaler.
func (e *Evidence) UnmarshalJSON(text []byte) error {
	var encoded evidenceJSON
	if err := json.Unmarshal(text, &encoded); err != nil {
		return err
	}
	*e = newEvidence()
	e.Current, e.Candidates, e.Speeds, e.Longest = encoded.Current, encoded.Candidates, encoded.Speeds, encoded.Longest
	for route, list := range encoded.RouteCounts {
		e.Routes[route] = countsOf(list)
	}
	for key, list := range encoded.CellCounts {
		e.Cells[key] = Cell{Counts: countsOf([5]int(list[:5])), ExpectedFailed: list[5], ExpectedSlow: list[6]}
	}
	for key, list := range encoded.TimeCounts {
		e.Times[key] = Times{list[0], list[1]}
	}
	return nil
}
