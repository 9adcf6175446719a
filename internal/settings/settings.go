// Package settings reads the settings of a process from flags and environment
// variables and validates each one before the process does any work.
//
// A setting is declared once, with its default and its allowed values. The flag
// --max-body and the environment variable FILBERTUSHER_MAX_BODY are the same
// setting; the flag takes precedence.
package settings

import (
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"
)

// EnvPrefix is the prefix of every environment variable that is a setting.
const EnvPrefix = "FILBERTUSHER_"

// Error is returned for a setting that is unknown, missing or not allowed. Allowed
// describes the values that are.
type Error struct {
	Setting string
	Value   string
	Allowed string
}

// Error implements error.
func (e *Error) Error() string {
	return "setting " + e.Setting + ": value " + strconv.Quote(e.Value) + " is not allowed; allowed: " + e.Allowed
}

// setting is one declared setting. Flags of all types are read as strings, so that
// an invalid value of any type results in the same type of error. parse stores the
// value in the variable of the setting and reports whether it is allowed.
type setting struct {
	name    string
	value   string
	allowed string
	parse   func(text string) bool
}

// Set holds the settings that one subcommand declares. The methods that declare a
// setting take the variable that Check stores its value in.
type Set struct {
	command  *flaggy.Subcommand
	settings []*setting
}

// New returns an empty set that registers its flags with command.
func New(command *flaggy.Subcommand) *Set { return &Set{command: command} }

func (s *Set) add(name, defaultValue, help, allowed string, parse func(string) bool) {
	declared := &setting{name: name, value: defaultValue, allowed: allowed, parse: parse}
	if value, ok := os.LookupEnv(envName(name)); ok {
		declared.value = value
	}
	s.settings = append(s.settings, declared)
	s.command.String(&declared.value, "", name, help+" ("+allowed+")")
}

func envName(flag string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// String declares a string setting. If it is required, it must not be empty.
func (s *Set) String(target *string, name, defaultValue string, required bool, help string) {
	allowed := "any text"
	if required {
		allowed = "any text that is not empty"
	}
	s.add(name, defaultValue, help, allowed, func(text string) bool {
		*target = text
		return text != "" || !required
	})
}

// Choice declares a string setting that must be one of options.
func (s *Set) Choice(target *string, name, defaultValue string, options []string, help string) {
	s.add(name, defaultValue, help, "one of "+strings.Join(options, ", "), func(text string) bool {
		*target = text
		for _, option := range options {
			if text == option {
				return true
			}
		}
		return false
	})
}

// Address declares a setting that is an IP address with a port. It may be empty
// unless it is required.
func (s *Set) Address(target *string, name, defaultValue string, required bool, help string) {
	allowed := "an IP address and port such as 127.0.0.1:8080"
	if !required {
		allowed += ", or empty"
	}
	s.add(name, defaultValue, help, allowed, func(text string) bool {
		*target = text
		if text == "" {
			return !required
		}
		_, err := netip.ParseAddrPort(text)
		return err == nil
	})
}

// Addresses declares a list of addresses, separated by commas. It may be empty.
func (s *Set) Addresses(target *[]string, name, defaultValue, help string) {
	s.add(name, defaultValue, help, "IP addresses and ports separated by commas, or empty", func(text string) bool {
		*target = nil
		if text == "" {
			return true
		}
		for _, address := range strings.Split(text, ",") {
			if _, err := netip.ParseAddrPort(address); err != nil {
				return false
			}
			*target = append(*target, address)
		}
		return true
	})
}

// Int declares an integer setting from minimum to maximum.
func (s *Set) Int(target *int, name string, defaultValue, minimum, maximum int, help string) {
	allowed := "a whole number from " + strconv.Itoa(minimum) + " to " + strconv.Itoa(maximum)
	s.add(name, strconv.Itoa(defaultValue), help, allowed, func(text string) bool {
		value, err := strconv.Atoi(text)
		*target = value
		return err == nil && value >= minimum && value <= maximum
	})
}

// Float declares a floating-point setting from minimum to maximum.
func (s *Set) Float(target *float64, name string, defaultValue, minimum, maximum float64, help string) {
	formatFloat := func(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }
	allowed := "a number from " + formatFloat(minimum) + " to " + formatFloat(maximum)
	s.add(name, formatFloat(defaultValue), help, allowed, func(text string) bool {
		value, err := strconv.ParseFloat(text, 64)
		*target = value
		return err == nil && value >= minimum && value <= maximum
	})
}

// Bool declares a boolean setting.
func (s *Set) Bool(target *bool, name string, defaultValue bool, help string) {
	s.add(name, strconv.FormatBool(defaultValue), help, "true or false", func(text string) bool {
		value, err := strconv.ParseBool(text)
		*target = value
		return err == nil
	})
}

// Duration declares a duration setting from minimum to maximum.
func (s *Set) Duration(target *time.Duration, name string, defaultValue, minimum, maximum time.Duration, help string) {
	allowed := "a duration from " + minimum.String() + " to " + maximum.String()
	s.add(name, defaultValue.String(), help, allowed, func(text string) bool {
		value, err := time.ParseDuration(text)
		*target = value
		return err == nil && value >= minimum && value <= maximum
	})
}

// Check parses every setting and returns an *Error for the first one that is not
// allowed. It must be called after the command line was parsed.
func (s *Set) Check() error {
	for _, declared := range s.settings {
		if !declared.parse(declared.value) {
			return &Error{Setting: declared.name, Value: declared.value, Allowed: declared.allowed}
		}
	}
	return s.checkEnvironment()
}

// checkEnvironment rejects environment variables that have EnvPrefix but are no
// setting of this subcommand: a misspelled one would otherwise be ignored silently.
func (s *Set) checkEnvironment() error {
	known := make(map[string]bool, len(s.settings))
	for _, declared := range s.settings {
		known[envName(declared.name)] = true
	}
	for _, pair := range os.Environ() {
		name, value, _ := strings.Cut(pair, "=")
		if strings.HasPrefix(name, EnvPrefix) && !known[name] {
			return &Error{Setting: name, Value: value, Allowed: "only variables of this subcommand, see --help"}
		}
	}
	return nil
}

// CheckFlags rejects arguments that look like flags but belong to none of
// commands, because the flag library ignores them.
func CheckFlags(args []string, commands ...*flaggy.Subcommand) error {
	for i, arg := range args {
		if arg == "--" {
			return nil
		}
		name := strings.TrimLeft(arg, "-")
		if !strings.HasPrefix(arg, "-") || isNumber(arg) {
			continue
		}
		name, value, inline := strings.Cut(name, "=")
		if flagExists(name, commands) {
			continue
		}
		if !inline && i+1 < len(args) && !strings.HasPrefix(args[i+1], "-") {
			value = args[i+1]
		}
		flag, _, _ := strings.Cut(arg, "=")
		return &Error{Setting: flag, Value: value, Allowed: "only flags listed by --help"}
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
