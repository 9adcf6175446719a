package streamorigin

import (
	"context"
	"sync/atomic"
	"time"

	"filbertusher/internal/boottime"
	"filbertusher/internal/inquiry"
)

const (
	// confirmTimeout bounds a confirmation. Callers of streams wait at least two seconds.
	confirmTimeout = 600 * time.Millisecond
	// minReadInterval is the least time between two reads of the store for confirmations.
	minReadInterval = 50 * time.Millisecond
)

// Confirmer makes sure that this instance knows all versions that serve. An instance that
// was out of touch does not know those that joined meanwhile, so it must not infer from
// what it knows that only one can have begun a stream. It is safe for concurrent use.
type Confirmer struct {
	read     func(ctx context.Context) error
	askPeers func(ctx context.Context, since boottime.Time) error
	shared   inquiry.Group
	// readAt is the boottime.Time at which the last successful read began, and nextRead when
	// another one may. Only readOnce uses nextRead.
	readAt   atomic.Int64
	nextRead boottime.Time
}

// NewConfirmer returns a confirmer. read adds what the store knows to the table, and askPeers
// waits until peers have confirmed since a time that they know no newer endpoints.
func NewConfirmer(read func(ctx context.Context) error, askPeers func(ctx context.Context, since boottime.Time) error) *Confirmer {
	return &Confirmer{read: read, askPeers: askPeers}
}

// Confirm reports whether all versions are known that served when it was called, to the
// store or to most peers. Calls at the same time share a read of the store.
func (c *Confirmer) Confirm(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	since := boottime.Now()
	confirmed := make(chan bool, 2)
	go func() {
		c.shared.Await(ctx, c.readOnce)
		confirmed <- boottime.Time(c.readAt.Load()) >= since
	}()
	go func() { confirmed <- c.askPeers(ctx, since) == nil }()
	return <-confirmed || <-confirmed
}

func (c *Confirmer) readOnce() {
	time.Sleep(c.nextRead.Sub(boottime.Now()))
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	began := boottime.Now()
	c.nextRead = began.Add(minReadInterval)
	if c.read(ctx) == nil {
		c.readAt.Store(int64(began))
	}
}
