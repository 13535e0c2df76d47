// Package command implements the command line of ragwortstile: Run parses the arguments and executes one of the
// subcommands. Subcommands that run or query the system have a file each; show.go formats the answers that query.go
// reads, and credentials.go reloads keys and certificates while serve runs.
package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"ragwortstile/internal/bench"
)

// Exit codes of the binary.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// envPrefix is the prefix of the environment variables that set flags.
const envPrefix = "RAGWORTSTILE"

// usageError is an error in the command line or the settings. The binary exits with ExitUsage.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }
func (e *usageError) Unwrap() error { return e.err }

func usagef(format string, args ...any) error {
	return &usageError{err: fmt.Errorf(format, args...)}
}

// standardStreams are the streams that commands write to.
type standardStreams struct {
	stdout io.Writer
	stderr io.Writer
}

// Run executes the command line and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	stdio := standardStreams{stdout: stdout, stderr: stderr}
	// Package bench parses its own flags, which a flag set of this package would reject as unknown.
	if len(args) > 0 && args[0] == "bench" {
		return bench.Run(args[1:], stdout, stderr)
	}
	root := newRoot(stdio)
	err := root.ParseAndRun(ctx, args)
	var usage *usageError
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, flag.ErrHelp):
		if len(args) == 0 {
			return ExitUsage
		}
		return ExitOK
	case errors.As(err, &usage) || !isRunError(err):
		fmt.Fprintln(stderr, "ragwortstile:", err)
		return ExitUsage
	default:
		fmt.Fprintln(stderr, "ragwortstile:", err)
		return ExitFailed
	}
}

// runError wraps an error of a command that ran, as opposed to an error of the flag parser. The binary exits with
// ExitFailed.
type runError struct{ err error }

func (e *runError) Error() string { return e.err.Error() }
func (e *runError) Unwrap() error { return e.err }

func isRunError(err error) bool {
	var e *runError
	return errors.As(err, &e)
}

func newRoot(stdio standardStreams) *ffcli.Command {
	root := &ffcli.Command{
		Name:       "ragwortstile",
		ShortUsage: "ragwortstile <command> [flags]",
		ShortHelp:  "A scheduler for agent programs between callers and endpoints.",
		FlagSet:    newFlagSet(stdio, "ragwortstile"),
		Subcommands: []*ffcli.Command{
			serveCommand(stdio),
			gatewayCommand(stdio),
			demoCommand(stdio),
			manifestCommand(stdio),
			configCommand(stdio),
			statusCommand(stdio),
			explainCommand(stdio),
			benchCommand(stdio),
			capacityCommand(stdio),
			replayCommand(stdio),
			evenLoadCommand(stdio),
			standinCommand(stdio),
			versionCommand(stdio),
		},
		Exec: showHelp,
	}
	return root
}

// showHelp is the action of a command that only groups subcommands.
func showHelp(_ context.Context, args []string) error {
	if len(args) > 0 {
		return usagef("unknown command %q; see --help", args[0])
	}
	return flag.ErrHelp
}

func newFlagSet(stdio standardStreams, name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(stdio.stderr)
	return fs
}

// newCommand returns a command whose flags can also be set by environment variables. It wraps errors of exec that
// are neither usage errors nor requests for help in runError.
func newCommand(name, usage, help string, fs *flag.FlagSet, exec func(ctx context.Context, args []string) error) *ffcli.Command {
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "ragwortstile " + usage,
		ShortHelp:  help,
		LongHelp:   help + "\nEach flag can be set by an environment variable: --log-url by " + envPrefix + "_LOG_URL.",
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			err := exec(ctx, args)
			var usage *usageError
			if err == nil || errors.Is(err, flag.ErrHelp) || errors.As(err, &usage) {
				return err
			}
			return &runError{err: err}
		},
	}
}

// noArgs returns a usage error if a command that takes no arguments got one.
func noArgs(args []string) error {
	if len(args) > 0 {
		return usagef("unexpected argument %q", args[0])
	}
	return nil
}

// oneArg returns the only argument. Its usage error names the argument by what.
func oneArg(args []string, what string) (string, error) {
	if len(args) != 1 {
		return "", usagef("want one argument: %s", what)
	}
	return args[0], nil
}

// readInput reads a file, or standard input for "-".
func readInput(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}
