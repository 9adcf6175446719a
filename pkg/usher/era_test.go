package usher_test

import (
	"fmt"

	"filbertusher/pkg/usher"
)

func ExampleNewVersion() {
	lost, restored := usher.NewVersion(1, 70), usher.NewVersion(2, 51)
	fmt.Println(restored > lost, restored.Era(), restored.Revision())
	// Output: true 2 51
}

func ExampleFencingToken_Next() {
	// The store has given out 7 and went back to a state in which the last one was 5.
	lost, restored := usher.FencingToken(6).Next(1), usher.FencingToken(5).Next(2)
	fmt.Println(lost, restored > lost, restored.Next(2)-restored)
	// Output: 7 true 1
}
