package settings

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/integrii/flaggy"
)

func TestCheckFlagsReportsSettingAndValue(t *testing.T) {
	command := flaggy.NewSubcommand("run")
	var known int
	New(command).Int(&known, "known", 1, 0, 9, "a number")
	cases := map[string]struct {
		args []string
		want error
	}{
		"known":    {[]string{"run", "--known", "3"}, nil},
		"number":   {[]string{"run", "-3"}, nil},
		"after --": {[]string{"run", "--", "--other"}, nil},
		"separate": {[]string{"run", "--other", "3"}, &Error{"--other", "3", "only flags listed by --help"}},
		"inline":   {[]string{"run", "--other=3"}, &Error{"--other", "3", "only flags listed by --help"}},
		"alone":    {[]string{"run", "--other", "--known"}, &Error{"--other", "", "only flags listed by --help"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, CheckFlags(c.args, command)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// FuzzValues checks that Check accepts no value outside the bounds of its setting.
func FuzzValues(f *testing.F) {
	for _, seed := range []string{"", "5", "-1", "1e9", "5s", "NaN", "127.0.0.1:1", "[::1]:2,x", "true"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		var whole int
		var fraction float64
		var wait time.Duration
		var address string
		declared := map[string]func(*Set){
			"whole":    func(s *Set) { s.Int(&whole, "whole", 0, 1, 9, "") },
			"fraction": func(s *Set) { s.Float(&fraction, "fraction", 0, 1, 9, "") },
			"wait":     func(s *Set) { s.Duration(&wait, "wait", 0, 1, 9*time.Second, "") },
			"address":  func(s *Set) { s.Address(&address, "address", "", true, "") },
		}
		for name, declare := range declared {
			set := New(flaggy.NewSubcommand("run"))
			declare(set)
			set.settings[0].value = text
			if set.Check() != nil {
				continue
			}
			withinBounds := map[string]bool{
				"whole": whole >= 1 && whole <= 9, "fraction": fraction >= 1 && fraction <= 9,
				"wait": wait >= 1 && wait <= 9*time.Second, "address": address != "",
			}
			if !withinBounds[name] {
				t.Fatalf("%s accepted %q", name, text)
			}
		}
	})
}
