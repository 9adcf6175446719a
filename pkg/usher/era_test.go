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
