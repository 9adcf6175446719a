package erawatch_test

import (
	"context"
	"fmt"
	"time"

	"filbertusher/internal/erawatch"
	"filbertusher/internal/standin/store"
)

func ExampleDo() {
	memory := store.NewMemory()
	client := store.NewDirect(memory)
	_, version, _ := client.List(context.Background(), "kind/")
	err := erawatch.Do(context.Background(), client, version, func(ctx context.Context) error {
		memory.Restore()
		// Any other call shows that the store went back.
		_, _, _ = client.List(ctx, "kind/")
		<-ctx.Done()
		return ctx.Err()
	})
	fmt.Printf("%T\n", err)
	err = erawatch.Do(context.Background(), client, version, func(context.Context) error {
		return context.DeadlineExceeded
	})
	fmt.Printf("%T\n", err)
	_, version, _ = client.List(context.Background(), "kind/")
	fmt.Println(erawatch.Do(context.Background(), client, version, func(ctx context.Context) error {
		_, _, err := client.Watch(ctx, "kind/", version, time.Millisecond)
		return err
	}))
	// Output:
	// *usher.HistoryCompactedError
	// *usher.HistoryCompactedError
	// <nil>
}
