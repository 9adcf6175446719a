// Package erawatch ends calls that wait for changes of a store when the store goes back
// to an earlier state. A connection that has gone silent would keep them waiting.
package erawatch

import (
	"context"

	"filbertusher/pkg/usher"
)

// Do calls watch, which waits for changes after since, and cancels its context when
// another call shows that the store went back. The error is a
// *usher.HistoryCompactedError then, and otherwise that of watch.
func Do(ctx context.Context, store usher.EraSource, since usher.Version, watch func(context.Context) error) error {
	restored := store.Restored()
	if store.Era() != since.Era() {
		return &usher.HistoryCompactedError{}
	}
	watchCtx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		select {
		case <-restored:
			cancel()
		case <-watchCtx.Done():
		}
	}()
	err := watch(watchCtx)
	cancel()
	<-ended
	if err != nil && store.Era() != since.Era() {
		return &usher.HistoryCompactedError{}
	}
	return err
}
