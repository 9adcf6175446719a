// Package command implements the command line of filbertusher. There is one
// subcommand for each type of process and for each operation of operators.
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

// Version is the version of the program; the build may set it.
var Version = "0.1.0-dev"

// Exit statuses of the process. ExitFailure stands for all errors that have no
// status of their own, ExitInvalidSettings for an invalid command line or setting.
const (
	ExitOK              = 0
	ExitFailure         = 1
	ExitInvalidSettings = 2
	// ExitInvalidDeclarations means that declarations are invalid; nothing was written.
	ExitInvalidDeclarations = 3
	// ExitConflict means that somebody else changed the same objects; nothing was
	// written.
	ExitConflict = 4
	// ExitUnknownOutcome means that the change may have been accepted.
	ExitUnknownOutcome = 5
	// ExitDiffers means that the declarations differ from the current version.
	ExitDiffers = 6
)

// Command is one subcommand. Run gets a context that is cancelled by SIGTERM and
// SIGINT, and writes its result to out and its log to errOut.
type Command struct {
	Subcommand *flaggy.Subcommand
	Settings   *settings.Set
	Run        func(ctx context.Context, out, errOut io.Writer) error
	// Children are the nested subcommands, such as use in "preset use".
	Children []*Command
}

// New returns a command without settings. The caller declares them in Settings and
// sets Run.
func New(name, description string) *Command {
	subcommand := flaggy.NewSubcommand(name)
	subcommand.Description = description
	return &Command{Subcommand: subcommand, Settings: settings.New(subcommand)}
}

// allCommands returns the subcommands in the order of the help text.
func allCommands() []*Command {
	return []*Command{
		newEntryCommand(), newCompanionCommand(), newGatewayCommand(), newDumpCommand(), newExplainCommand(),
		newCheckCommand(), newDiffCommand(), newGetCommand(), newHistoryCommand(),
		newApplyCommand(), newRollbackCommand(), newPruneCommand(), newPresetCommand(), newLeaveCommand(), newStopCommand(),
		newRecordCommand(), newSuspectsCommand(), newRolloutsCommand(),
	}
}

// ExitError makes the process exit with Status instead of ExitFailure.
type ExitError struct {
	Status int
	Cause  error
}

// Error implements error.
func (e *ExitError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Cause }

// MissingCommandError is returned when the command line names no subcommand.
type MissingCommandError struct{}

// Error implements error.
func (*MissingCommandError) Error() string { return "a subcommand is needed, see --help" }

// Main runs the command line and returns the exit status.
func Main(args []string, out, errOut io.Writer) int {
	return MainWith("filbertusher", "a request scheduler for heterogeneous engines", allCommands(), args, out, errOut)
}

// MainWith runs a command line with the given commands and returns the exit status.
func MainWith(name, description string, commands []*Command, args []string, out, errOut io.Writer) int {
	// The signals are caught until the process has exited. Otherwise, one that comes while
	// it exits would replace its status.
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := run(ctx, name, description, commands, args, out, errOut)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(errOut, "error:", err)
	var settingError *settings.Error
	var exitError *ExitError
	switch {
	case errors.As(err, &settingError):
		return ExitInvalidSettings
	case errors.As(err, &exitError):
		return exitError.Status
	default:
		return ExitFailure
	}
}

func run(ctx context.Context, name, description string, commands []*Command, args []string, out, errOut io.Writer) error {
	parser := flaggy.NewParser(name)
	parser.Description = description
	parser.Version = Version
	parser.ShowHelpOnUnexpected = false
	for _, command := range commands {
		attachCommand(&parser.Subcommand, command)
	}
	if err := parser.ParseArgs(args); err != nil {
		return &settings.Error{Setting: "command line", Value: err.Error(), Allowed: "flags as --help lists them"}
	}
	selected, path := findUsed(commands)
	if selected == nil || selected.Run == nil {
		return &ExitError{Status: ExitInvalidSettings, Cause: &MissingCommandError{}}
	}
	if len(parser.TrailingArguments) > 0 {
		return &settings.Error{Setting: "argument", Value: parser.TrailingArguments[0], Allowed: "arguments as --help lists them"}
	}
	if err := settings.CheckFlags(args, path...); err != nil {
		return err
	}
	if err := selected.Settings.Check(); err != nil {
		return err
	}
	return oops.In(selected.Subcommand.Name).Wrap(selected.Run(ctx, out, errOut))
}

func attachCommand(parent *flaggy.Subcommand, command *Command) {
	parent.AttachSubcommand(command.Subcommand, 1)
	for _, child := range command.Children {
		attachCommand(command.Subcommand, child)
	}
}

// findUsed returns the innermost command that the command line names, and the
// subcommands on the path to it, the innermost first.
func findUsed(commands []*Command) (*Command, []*flaggy.Subcommand) {
	for _, command := range commands {
		if !command.Subcommand.Used {
			continue
		}
		child, path := findUsed(command.Children)
		if child == nil {
			child = command
		}
		return child, append(path, command.Subcommand)
	}
	return nil, nil
}
