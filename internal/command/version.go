package command

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func versionCommand(stdio standardStreams) *ffcli.Command {
	fs := newFlagSet(stdio, "ragwortstile version")
	return newCommand("version", "version", "Print the version of the binary.", fs, func(_ context.Context, args []string) error {
		if err := noArgs(args); err != nil {
			return err
		}
		fmt.Fprintln(stdio.stdout, versionText())
		return nil
	})
}

// versionText returns the module version, VCS revision and Go version that the Go tool recorded in the binary.
func versionText() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "ragwortstile (no build information)"
	}
	revision, modified := "unknown revision", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			modified = ", modified"
		}
	}
	return fmt.Sprintf("ragwortstile %s (%s%s, %s)", info.Main.Version, revision, modified, info.GoVersion)
}
