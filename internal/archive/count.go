package archive

import (
	"math/bits"
	"strconv"
	"strings"

	"filbertusher/internal/record"
	"filbertusher/pkg/usher"
)

const (
	// wordBits is the width of the words of a bitmap.
	wordBits = 64
	// maxCounter bounds the bitmap of one entry. At the target size an entry
	// passes it after a year and a half.
	maxCounter = 1 << 30
)

// counters are the request numbers of one entry that have a line.
type counters struct {
	present []uint64
	highest uint64
	// counted requests are told of without a line of their own.
	counted uint64
	closed  bool
}

// counters needs the lock.
func (v *verification) counters(writer string) *counters {
	known, ok := v.lines[writer]
	if !ok {
		known = &counters{}
		v.lines[writer] = known
	}
	return known
}

// number takes in that a request has a line; it needs the lock.
func (v *verification) number(id usher.RequestID) {
	prefix, suffix := record.SplitID(id)
	number, err := strconv.ParseUint(suffix, 36, 64)
	if err != nil || number > maxCounter {
		return
	}
	v.counters(strings.TrimSuffix(prefix, "-")).set(number)
}

func (c *counters) set(number uint64) {
	word := int(number / wordBits)
	for len(c.present) <= word {
		c.present = append(c.present, 0)
	}
	c.present[word] |= 1 << (number % wordBits)
	c.highest = max(c.highest, number)
}

func (c *counters) lines() uint64 {
	count := 0
	for _, word := range c.present {
		count += bits.OnesCount64(word)
	}
	return uint64(count)
}

// count reports the entries with requests that have no line.
func (v *verification) count() {
	for entry, c := range v.lines {
		told := c.lines() + c.counted
		if c.highest > told {
			v.report.Unrecorded = append(v.report.Unrecorded, Unrecorded{
				Entry: entry, Highest: c.highest, Missing: c.highest - told, Closed: c.closed,
			})
		}
	}
}
