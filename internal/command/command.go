// Package command implements the command line of ragwortstile, one file per command.
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

// envPrefix starts the environment variable of every setting.
const envPrefix = "RAGWORTSTILE"

// usageError is a fault in the command line or the settings.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }
func (e *usageError) Unwrap() error { return e.err }

func usagef(format string, args ...any) error {
	return &usageError{err: fmt.Errorf(format, args...)}
}

// environment is what commands read and write.
type environment struct {
	stdout io.Writer
	stderr io.Writer
}

// Run executes the command line and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	env := environment{stdout: stdout, stderr: stderr}
	// The bench parses its own flags, which a flag set of this package would refuse.
	if len(args) > 0 && args[0] == "bench" {
		return bench.Run(args[1:], stdout, stderr)
	}
	root := newRoot(env)
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
	case errors.As(err, &usage) || !started(err):
		fmt.Fprintln(stderr, "ragwortstile:", err)
		return ExitUsage
	default:
		fmt.Fprintln(stderr, "ragwortstile:", err)
		return ExitFailed
	}
}

// runError marks an error of a command that was started, as opposed to one of its flags.
type runError struct{ err error }

func (e *runError) Error() string { return e.err.Error() }
func (e *runError) Unwrap() error { return e.err }

func started(err error) bool {
	var e *runError
	return errors.As(err, &e)
}

func newRoot(env environment) *ffcli.Command {
	root := &ffcli.Command{
		Name:       "ragwortstile",
		ShortUsage: "ragwortstile <command> [flags]",
		ShortHelp:  "A scheduler for agent programs between callers and endpoints.",
		FlagSet:    newFlagSet(env, "ragwortstile"),
		Subcommands: []*ffcli.Command{
			serveCommand(env),
			gatewayCommand(env),
			demoCommand(env),
			manifestCommand(env),
			statusCommand(env),
			explainCommand(env),
			benchCommand(env),
			capacityCommand(env),
			standinCommand(env),
			versionCommand(env),
		},
		Exec: showHelp,
	}
	return root
}

// showHelp is the action of a command that only groups others.
func showHelp(_ context.Context, args []string) error {
	if len(args) > 0 {
		return usagef("unknown command %q; see --help", args[0])
	}
	return flag.ErrHelp
}

func newFlagSet(env environment, name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(env.stderr)
	return fs
}

// newCommand returns a command whose flags can be set by environment variables too.
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

// noArgs refuses arguments of a command that takes none.
func noArgs(args []string) error {
	if len(args) > 0 {
		return usagef("unexpected argument %q", args[0])
	}
	return nil
}

// oneArg returns the only argument.
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
