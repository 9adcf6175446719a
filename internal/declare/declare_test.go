package declare_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/google/go-cmp/cmp"

	"filbertusher/internal/config"
	"filbertusher/internal/declare"
)

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
			set, err := declare.Parse("file.yaml", []byte(d.Input))
			if err != nil {
				return err.Error() + "\n"
			}
			var lines []string
			for _, object := range set.Objects {
				lines = append(lines, string(object.Key)+" "+string(object.Value))
			}
			if snapshot, err := config.Build(set.Objects, 1); d.Cmd == "check" && err == nil {
				var invalid *config.ValidationError
				if errors.As(snapshot.Validate(), &invalid) {
					lines = append(lines, set.Locate(invalid).Error())
				}
			}
			return strings.Join(lines, "\n") + "\n"
		})
	})
}

// For any content, Parse either reports problems that have a line and a text,
// or returns objects that survive a round trip through a configuration.
func FuzzParse(f *testing.F) {
	f.Add("kind: tier\nname: urgent\nrank: 0\ndeadline: 20s\n")
	f.Add("kind: preset\nname: p\ntiers: [{tier: urgent, tokensPerSecond: 1e3}]\n---\nkind: shelf")
	f.Add("kind: workspace\nname: w\ntokens:\n- {name: a, sha256: xyz}\ntiers: [a, a]\n")
	f.Add("kind: &a tier\nname: *a\nrank: 0x1\ndeadline: !!str 1s\n")
	f.Add("- 1\n--- {}\n--- \n? a\n: b\n")
	f.Fuzz(func(t *testing.T, content string) {
		set, err := declare.Parse("f", []byte(content))
		if err != nil {
			var invalid *declare.Error
			if !errors.As(err, &invalid) || len(invalid.Problems) == 0 {
				t.Fatalf("untyped error %T: %v", err, err)
			}
			for _, problem := range invalid.Problems {
				if problem.Line < 1 || problem.Text == "" {
					t.Fatalf("problem without a line or text: %+v", problem)
				}
			}
			return
		}
		snapshot, err := config.Build(set.Objects, 1)
		if err != nil {
			t.Fatal(err)
		}
		want, got := make(map[string]string), make(map[string]string)
		for _, object := range set.Objects {
			want[string(object.Key)] = string(object.Value)
		}
		for _, object := range snapshot.Objects() {
			got[string(object.Key)] = string(object.Value)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatal(diff)
		}
	})
}
