// Package property fixes the seed of all property tests, so that the same code always
// gets the same verdict. Test packages that use rapid import it for this effect.
//
// With the environment variable FRESH_SEEDS set, rapid draws new seeds; the flag
// -rapid.seed takes precedence over both.
package property

import (
	"flag"
	"os"

	// rapid defines the flags that init sets.
	_ "pgregory.net/rapid"
)

// freshSeedsVariable is the environment variable that asks for new seeds.
const freshSeedsVariable = "FRESH_SEEDS"

func init() {
	set := func(name, value string) {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	// The seed that a failure prints suffices to repeat it.
	set("rapid.nofailfile", "true")
	if os.Getenv(freshSeedsVariable) == "" {
		set("rapid.seed", "1")
	}
}
