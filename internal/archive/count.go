package archive

import (
	"math/bits"
	"strconv"
	"strings"

	"filbertusher/internal/record"
	"filbertusher/pkg/usher"
)

const (
	// wordBits is the number of bits in a word of a bitmap.
	wordBits = 64
	// maxRequestNumber is the highest request number in the bitmap of one entry,
	// which bounds the bitmap's size. Higher numbers are ignored. At the target size
	// an entry reaches it after a year and a half.
	maxRequestNumber = 1 << 30
)

// requestNumbers is the set of request numbers of one entry that have a line, and the
// count of those that are recorded without one. An entry numbers its requests from 1
// without gaps, so it has accepted at least highest requests.
type requestNumbers struct {
	present []uint64
	highest uint64
	// countedOnly is the number of requests that are known only as a count: refusals
	// while the record was full, and the lines of expired batches.
	countedOnly uint64
	closed      bool
}

// numbersOf returns the request numbers of an entry. The caller holds mu.
func (v *verification) numbersOf(writer string) *requestNumbers {
	numbers, ok := v.numbers[writer]
	if !ok {
		numbers = &requestNumbers{}
		v.numbers[writer] = numbers
	}
	return numbers
}

// addRequest marks that a request has a line. The caller holds mu.
func (v *verification) addRequest(id usher.RequestID) {
	prefix, suffix := record.SplitID(id)
	number, err := strconv.ParseUint(suffix, 36, 64)
	if err != nil || number > maxRequestNumber {
		return
	}
	v.numbersOf(strings.TrimSuffix(prefix, "-")).set(number)
}

func (n *requestNumbers) set(number uint64) {
	word := int(number / wordBits)
	for len(n.present) <= word {
		n.present = append(n.present, 0)
	}
	n.present[word] |= 1 << (number % wordBits)
	n.highest = max(n.highest, number)
}

func (n *requestNumbers) count() uint64 {
	count := 0
	for _, word := range n.present {
		count += bits.OnesCount64(word)
	}
	return uint64(count)
}

// addUnrecorded adds the entries with requests that have no line to the report.
func (v *verification) addUnrecorded() {
	for entry, numbers := range v.numbers {
		recorded := numbers.count() + numbers.countedOnly
		if numbers.highest > recorded {
			v.report.Unrecorded = append(v.report.Unrecorded, UnrecordedRequests{
				Entry: entry, Highest: numbers.highest, Missing: numbers.highest - recorded, Closed: numbers.closed,
			})
		}
	}
}
