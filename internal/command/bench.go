package command

import "github.com/peterbourgon/ff/v3/ffcli"

// benchCommand lists the bench in the help. Run hands its arguments to package bench, which has its
// own flags.
func benchCommand(env environment) *ffcli.Command {
	return &ffcli.Command{
		Name:       "bench",
		ShortUsage: "ragwortstile bench [flags]",
		ShortHelp:  "Measure the decision core in virtual time against simple policies.",
		FlagSet:    newFlagSet(env, "ragwortstile bench"),
		Exec:       showHelp,
	}
}
