package property_test

import (
	"bytes"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	_ "filbertusher/internal/standin/property"
)

func TestSeedIsFixed(t *testing.T) {
	fresh := os.Getenv("FRESH_SEEDS") != ""
	draw := func() (drawn []int) {
		rapid.Check(t, func(t *rapid.T) { drawn = append(drawn, rapid.Int().Draw(t, "number")) })
		return drawn
	}
	if first, second := draw(), draw(); slices.Equal(first, second) == fresh {
		t.Errorf("fresh seeds: %v, the draws were %v and %v", fresh, first[:3], second[:3])
	}
}

// Each package that uses rapid in its tests fixes its seeds.
func TestAllPropertiesHaveFixedSeeds(t *testing.T) {
	uses, fixes := map[string]bool{}, map[string]bool{}
	err := filepath.WalkDir("../../..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		dir := filepath.Dir(path)
		uses[dir] = uses[dir] || bytes.Contains(text, []byte(`"pgregory.net/rapid"`))
		fixes[dir] = fixes[dir] || bytes.Contains(text, []byte(`"filbertusher/internal/standin/property"`))
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for dir := range uses {
		if uses[dir] && !fixes[dir] {
			t.Errorf("%s uses rapid and does not import package property", dir)
		}
	}
}
