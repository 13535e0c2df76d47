// Package command implements the command line of ragwortstile, one file per command.
package command

import (
	"fmt"
	"io"
)

// Exit codes of the binary.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Run executes the command line and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	fmt.Fprintln(stderr, "ragwortstile: no command given")
	return ExitUsage
}
