package record

import (
	"time"

	"filbertusher/pkg/usher"
)

// The percentages are shares of the memory limit. Requests of a rank are refused
// while the memory in use is at least the share of their rank.
const (
	// topRankPercent applies to the most urgent rank. Each rank below it is refused
	// rankStepPercent earlier, down to minRankPercent. The memory above
	// topRankPercent is reserved for requests in flight.
	topRankPercent  = 90
	rankStepPercent = 10
	minRankPercent  = 50
	// fullRetryAfter is the Retry-After time of a refusal because of a full
	// backlog.
	fullRetryAfter = 5 * time.Second
)

// memoryLimit bounds the memory for decisions that are not stored yet, in a Recorder,
// or for copies of decisions, in a Replica. Rank 0 is the most urgent. Less urgent
// requests are refused first: when a rank is refused, every less urgent rank is
// refused too.
type memoryLimit struct{ bytes int64 }

func (m memoryLimit) check(rank usher.Rank, used int64) error {
	percent := max(topRankPercent-int64(rank)*rankStepPercent, minRankPercent)
	if used*100 < m.bytes*percent {
		return nil
	}
	return usher.NewRefusal(usher.RefusalRecordFull, "the record can't be stored and its backlog is full").WithRetryAfter(fullRetryAfter)
}
