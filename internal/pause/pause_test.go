package pause_test

import (
	"context"
	"fmt"
	"time"

	"filbertusher/internal/pause"
)

func ExampleFor() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	pause.For(ctx, time.Hour)
	fmt.Println(ctx.Err())
	// Output: context canceled
}
