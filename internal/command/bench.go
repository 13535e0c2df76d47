package command

import "github.com/peterbourgon/ff/v3/ffcli"

// benchCommand makes the help list the bench. Run passes the arguments of the bench to package bench, which
// parses its own flags.
func benchCommand(stdio standardStreams) *ffcli.Command {
	return &ffcli.Command{
		Name:       "bench",
		ShortUsage: "ragwortstile bench [flags]",
		ShortHelp:  "Measure the decision core in virtual time against simple policies.",
		FlagSet:    newFlagSet(stdio, "ragwortstile bench"),
		Exec:       showHelp,
	}
}
