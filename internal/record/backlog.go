package record

import (
	"time"

	"filbertusher/pkg/usher"
)

const (
	// firstShare is the part of the bound at which the most urgent rank is
	// refused; each rank below it is refused rankStep earlier, down to
	// lastShare. What is above firstShare is left for requests in flight.
	firstShare = 90
	rankStep   = 10
	lastShare  = 50
	// fullRetry is what callers are told to wait when the backlog is full.
	fullRetry = 5 * time.Second
)

// backlog bounds what is kept for the record in memory. Less urgent work is
// refused first: whatever rank is refused, every less urgent one is too.
type backlog struct{ limit int64 }

func (b backlog) accept(rank usher.Rank, used int64) error {
	share := max(firstShare-int64(rank)*rankStep, lastShare)
	if used*100 < b.limit*share {
		return nil
	}
	return usher.NewRefusal(usher.RefusalRecordFull, "the record can't be stored and its backlog is full").WithRetryAfter(fullRetry)
}
