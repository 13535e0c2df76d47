package command

import (
	"context"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"ragwortstile/internal/capacity"
)

// capacityCommand measures the slopes that docs/CAPACITY.md works with.
func capacityCommand(env environment) *ffcli.Command {
	fs := newFlagSet(env, "ragwortstile capacity")
	filter := fs.String("probe", "", "run only the probes whose name contains this text")
	repeats := fs.Int("repeats", capacity.DefaultRepeats, "runs of each probe, at least 1")
	jsonFile := fs.String("json", "", "file for the slopes with all their points")
	return newCommand("capacity", "capacity [flags]", "Measure how the cost of each role grows with its load.", fs,
		func(_ context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			if *repeats < 1 {
				return usagef("--repeats: %d is not at least 1", *repeats)
			}
			return measure(env, *filter, *repeats, *jsonFile)
		})
}

func measure(env environment, filter string, repeats int, jsonFile string) error {
	if err := capacity.WriteHeader(env.stdout); err != nil {
		return err
	}
	slopes := capacity.Measure(filter, repeats, func(s capacity.Slope) {
		_ = capacity.WriteRow(env.stdout, s) // a lost line does not invalidate the measurement
	})
	if len(slopes) == 0 {
		return usagef("--probe: no probe has %q in its name", filter)
	}
	if jsonFile == "" {
		return nil
	}
	f, err := os.Create(jsonFile)
	if err != nil {
		return fmt.Errorf("write slopes: %w", err)
	}
	if err := capacity.WriteJSON(f, slopes); err != nil {
		_ = f.Close() // the first error is reported
		return fmt.Errorf("write slopes: %w", err)
	}
	return f.Close()
}
