package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"ragwortstile/internal/replay"
)

// replayOptions are the flags of the command.
type replayOptions struct {
	load    float64
	compare bool
	json    bool
}

func replayCommand(stdio standardStreams) *ffcli.Command {
	fs := newFlagSet(stdio, "ragwortstile replay")
	var o replayOptions
	fs.Float64Var(&o.load, "load", 1, "factor of the arrivals of the pattern")
	fs.BoolVar(&o.compare, "compare", false, "also play the pattern without admission queues")
	fs.BoolVar(&o.json, "json", false, "print JSON")
	return newCommand("replay", "replay [flags] FILE", "Play a load pattern through the admission queues, in simulated time.", fs,
		func(_ context.Context, args []string) error {
			name, err := oneArg(args, "a file with a load pattern")
			if err != nil {
				return err
			}
			data, err := readInput(name)
			if err != nil {
				return err
			}
			p, err := replay.Decode(data)
			if err != nil {
				return usagef("%s: %w", name, err)
			}
			if o.load <= 0 {
				return usagef("--load: %v is not positive", o.load)
			}
			return runReplay(stdio.stdout, p.WithLoad(o.load), o)
		})
}

func runReplay(out io.Writer, p replay.Pattern, o replayOptions) error {
	results := []replay.Result{replay.Run(p, replay.Queues)}
	if o.compare {
		results = append(results, replay.Run(p, replay.Direct))
	}
	if o.json {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		return e.Encode(results)
	}
	for _, r := range results {
		fmt.Fprintf(out, "%s, policy %s: %.3f of the worth\n", r.Pattern, r.Policy, r.Share(0, len(r.Seconds)))
		err := table(out, "SECOND BEGUN IN-AIM LATE FAILED REJECTED WAITING RUNNING ENDED-IN-AIM", func(row func(...any)) {
			for n, s := range r.Seconds {
				row(n, s.Begun, s.InAim, s.Late, s.Failed, s.Rejected, s.Waiting, s.Running, s.Ended)
			}
		})
		if err != nil {
			return err
		}
		fmt.Fprintln(out)
	}
	return nil
}
