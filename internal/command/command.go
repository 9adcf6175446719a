// Package command is the command line of filbertusher: one subcommand for each
// process and for each thing that operators do.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
	"github.com/samber/oops"

	"filbertusher/internal/settings"
)

// Version is the release; the build may set it.
var Version = "0.1.0-dev"

// Exit statuses, fit for scripts.
const (
	ExitDone     = 0
	ExitFailed   = 1
	ExitSettings = 2
	// ExitInvalid says that declarations are wrong; nothing was written.
	ExitInvalid = 3
	// ExitConflict says that somebody else changed the same; nothing was written.
	ExitConflict = 4
	// ExitUnknown says that a change may have been accepted.
	ExitUnknown = 5
	// ExitDiffers says that the declarations are not what is in force.
	ExitDiffers = 6
)

// Command is one subcommand. Run gets a context that ends on SIGTERM and
// SIGINT, and writes its result to out and its log to errOut.
type Command struct {
	Subcommand *flaggy.Subcommand
	Settings   *settings.Set
	Run        func(ctx context.Context, out, errOut io.Writer) error
	// Children are subcommands of this one, such as "preset use".
	Children []*Command
}

// New returns a command whose settings can be declared.
func New(name, description string) *Command {
	subcommand := flaggy.NewSubcommand(name)
	subcommand.Description = description
	return &Command{Subcommand: subcommand, Settings: settings.New(subcommand)}
}

// all lists the subcommands in the order in which the help shows them.
func all() []*Command {
	return []*Command{
		newEntryCommand(), newCompanionCommand(), newGatewayCommand(), newDumpCommand(),
		newCheckCommand(), newDiffCommand(), newGetCommand(), newHistoryCommand(),
		newApplyCommand(), newRollbackCommand(), newPruneCommand(), newPresetCommand(), newLeaveCommand(), newStopCommand(),
		newRecordCommand(), newSuspectsCommand(),
	}
}

// ExitError ends the process with a status other than ExitFailed.
type ExitError struct {
	Status int
	Cause  error
}

// Error implements error.
func (e *ExitError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Cause }

// MissingCommandError is returned when no subcommand was named.
type MissingCommandError struct{}

// Error implements error.
func (*MissingCommandError) Error() string { return "a subcommand is needed, see --help" }

// Main runs the command line and returns the exit status.
func Main(args []string, out, errOut io.Writer) int {
	return MainWith("filbertusher", "a request scheduler for unlike engines", all(), args, out, errOut)
}

// MainWith runs a command line of the given commands.
func MainWith(name, description string, commands []*Command, args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err := run(ctx, name, description, commands, args, out, errOut)
	if err == nil {
		return ExitDone
	}
	fmt.Fprintln(errOut, "error:", err)
	var setting *settings.Error
	var exit *ExitError
	switch {
	case errors.As(err, &setting):
		return ExitSettings
	case errors.As(err, &exit):
		return exit.Status
	default:
		return ExitFailed
	}
}

func run(ctx context.Context, name, description string, commands []*Command, args []string, out, errOut io.Writer) error {
	parser := flaggy.NewParser(name)
	parser.Description = description
	parser.Version = Version
	parser.ShowHelpOnUnexpected = false
	for _, command := range commands {
		attach(&parser.Subcommand, command)
	}
	if err := parser.ParseArgs(args); err != nil {
		return &settings.Error{Setting: "command line", Value: err.Error(), Allowed: "flags as --help lists them"}
	}
	used, path := find(commands)
	if used == nil || used.Run == nil {
		return &ExitError{Status: ExitSettings, Cause: &MissingCommandError{}}
	}
	if len(parser.TrailingArguments) > 0 {
		return &settings.Error{Setting: "argument", Value: parser.TrailingArguments[0], Allowed: "arguments as --help lists them"}
	}
	if err := settings.CheckFlags(args, path...); err != nil {
		return err
	}
	if err := used.Settings.Check(); err != nil {
		return err
	}
	return oops.In(used.Subcommand.Name).Wrap(used.Run(ctx, out, errOut))
}

func attach(parent *flaggy.Subcommand, command *Command) {
	parent.AttachSubcommand(command.Subcommand, 1)
	for _, child := range command.Children {
		attach(command.Subcommand, child)
	}
}

// find returns the innermost command that was named, and all on the way to it.
func find(commands []*Command) (*Command, []*flaggy.Subcommand) {
	for _, command := range commands {
		if !command.Subcommand.Used {
			continue
		}
		child, path := find(command.Children)
		if child == nil {
			child = command
		}
		return child, append(path, command.Subcommand)
	}
	return nil, nil
}
