// Package settings reads the settings of a process from flags and environment
// variables and checks each one before the process does any work.
//
// A setting is declared once, with its default and what is allowed. The flag
// --max-body and the variable FILBERTUSHER_MAX_BODY are the same setting; the
// flag wins.
package settings

import (
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"
)

// EnvPrefix begins the name of every environment variable that is a setting.
const EnvPrefix = "FILBERTUSHER_"

// Error is returned for a setting that is unknown, missing or out of range.
type Error struct {
	Setting string
	Value   string
	Allowed string
}

// Error implements error.
func (e *Error) Error() string {
	return "setting " + e.Setting + ": value " + strconv.Quote(e.Value) + " is not allowed; allowed: " + e.Allowed
}

// entry is one declared setting. The flag is read as text, so that a bad value
// of any type gives the same kind of error.
type entry struct {
	name    string
	text    string
	allowed string
	parse   func(text string) bool
}

// Set is the declared settings of one subcommand.
type Set struct {
	command *flaggy.Subcommand
	entries []*entry
}

// New returns an empty set whose flags belong to command.
func New(command *flaggy.Subcommand) *Set { return &Set{command: command} }

func (s *Set) add(name, initial, help, allowed string, parse func(string) bool) {
	e := &entry{name: name, text: initial, allowed: allowed, parse: parse}
	if value, ok := os.LookupEnv(envName(name)); ok {
		e.text = value
	}
	s.entries = append(s.entries, e)
	s.command.String(&e.text, "", name, help+" ("+allowed+")")
}

func envName(flag string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// Text declares a setting that may be any text; required ones may not be empty.
func (s *Set) Text(target *string, name, initial string, required bool, help string) {
	allowed := "any text"
	if required {
		allowed = "any text that is not empty"
	}
	s.add(name, initial, help, allowed, func(text string) bool {
		*target = text
		return text != "" || !required
	})
}

// Choice declares a setting that is one of options.
func (s *Set) Choice(target *string, name, initial string, options []string, help string) {
	s.add(name, initial, help, "one of "+strings.Join(options, ", "), func(text string) bool {
		*target = text
		for _, option := range options {
			if text == option {
				return true
			}
		}
		return false
	})
}

// Address declares a setting that is an IP address and a port. An optional
// one may be empty.
func (s *Set) Address(target *string, name, initial string, required bool, help string) {
	allowed := "an IP address and port such as 127.0.0.1:8080"
	if !required {
		allowed += ", or empty"
	}
	s.add(name, initial, help, allowed, func(text string) bool {
		*target = text
		if text == "" {
			return !required
		}
		_, err := netip.ParseAddrPort(text)
		return err == nil
	})
}

// Addresses declares a comma-separated list of addresses, which may be empty.
func (s *Set) Addresses(target *[]string, name, initial, help string) {
	s.add(name, initial, help, "IP addresses and ports separated by commas, or empty", func(text string) bool {
		*target = nil
		if text == "" {
			return true
		}
		for _, one := range strings.Split(text, ",") {
			if _, err := netip.ParseAddrPort(one); err != nil {
				return false
			}
			*target = append(*target, one)
		}
		return true
	})
}

// Int declares a whole number from least to most.
func (s *Set) Int(target *int, name string, initial, least, most int, help string) {
	allowed := "a whole number from " + strconv.Itoa(least) + " to " + strconv.Itoa(most)
	s.add(name, strconv.Itoa(initial), help, allowed, func(text string) bool {
		value, err := strconv.Atoi(text)
		*target = value
		return err == nil && value >= least && value <= most
	})
}

// Float declares a number from least to most.
func (s *Set) Float(target *float64, name string, initial, least, most float64, help string) {
	show := func(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }
	allowed := "a number from " + show(least) + " to " + show(most)
	s.add(name, show(initial), help, allowed, func(text string) bool {
		value, err := strconv.ParseFloat(text, 64)
		*target = value
		return err == nil && value >= least && value <= most
	})
}

// Bool declares a setting that is true or false.
func (s *Set) Bool(target *bool, name string, initial bool, help string) {
	s.add(name, strconv.FormatBool(initial), help, "true or false", func(text string) bool {
		value, err := strconv.ParseBool(text)
		*target = value
		return err == nil
	})
}

// Duration declares a duration from least to most.
func (s *Set) Duration(target *time.Duration, name string, initial, least, most time.Duration, help string) {
	allowed := "a duration from " + least.String() + " to " + most.String()
	s.add(name, initial.String(), help, allowed, func(text string) bool {
		value, err := time.ParseDuration(text)
		*target = value
		return err == nil && value >= least && value <= most
	})
}

// Check parses every setting and returns the first that is not allowed as an
// *Error. It is called after the command line was parsed.
func (s *Set) Check() error {
	for _, e := range s.entries {
		if !e.parse(e.text) {
			return &Error{Setting: e.name, Value: e.text, Allowed: e.allowed}
		}
	}
	return s.checkEnvironment()
}

// checkEnvironment refuses variables with our prefix that are no setting of
// this subcommand: a misspelt one would otherwise be ignored in silence.
func (s *Set) checkEnvironment() error {
	known := make(map[string]bool, len(s.entries))
	for _, e := range s.entries {
		known[envName(e.name)] = true
	}
	for _, pair := range os.Environ() {
		name, value, _ := strings.Cut(pair, "=")
		if strings.HasPrefix(name, EnvPrefix) && !known[name] {
			return &Error{Setting: name, Value: value, Allowed: "only variables of this subcommand, see --help"}
		}
	}
	return nil
}

// CheckFlags refuses arguments that look like flags but belong to none of the
// commands in use, because the flag library passes over them.
func CheckFlags(args []string, commands ...*flaggy.Subcommand) error {
	for i, arg := range args {
		if arg == "--" {
			return nil
		}
		name := strings.TrimLeft(arg, "-")
		if !strings.HasPrefix(arg, "-") || isNumber(arg) {
			continue
		}
		name, value, joined := strings.Cut(name, "=")
		if flagExists(name, commands) {
			continue
		}
		if !joined && i+1 < len(args) && !strings.HasPrefix(args[i+1], "-") {
			value = args[i+1]
		}
		setting, _, _ := strings.Cut(arg, "=")
		return &Error{Setting: setting, Value: value, Allowed: "only flags listed by --help"}
	}
	return nil
}

func flagExists(name string, commands []*flaggy.Subcommand) bool {
	for _, command := range commands {
		if command.FlagExists(name) {
			return true
		}
	}
	return false
}

func isNumber(text string) bool {
	_, err := strconv.ParseFloat(text, 64)
	return err == nil
}
