package boottime_test

import (
	"fmt"
	"time"

	"filbertusher/internal/boottime"
)

func ExampleLatest() {
	var confirmed boottime.Latest
	fmt.Println(confirmed.Age())
	confirmed.Record(boottime.Now().Add(-time.Minute))
	confirmed.Record(boottime.Now().Add(-time.Hour))
	fmt.Println(confirmed.Age().Round(time.Minute))
	// Output:
	// 24h0m0s
	// 1m0s
}
