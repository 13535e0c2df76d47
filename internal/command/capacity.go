package command

import (
	"context"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"ragwortstile/internal/capacity"
)

// capacityCommand measures, for each role of an instance, the slope of cost over load. docs/CAPACITY.md uses the
// slopes for sizing.
func capacityCommand(stdio standardStreams) *ffcli.Command {
	fs := newFlagSet(stdio, "ragwortstile capacity")
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
			return measure(stdio, *filter, *repeats, *jsonFile)
		})
}

func measure(stdio standardStreams, filter string, repeats int, jsonFile string) error {
	if err := capacity.WriteHeader(stdio.stdout); err != nil {
		return err
	}
	slopes := capacity.Measure(filter, repeats, func(s capacity.Slope) {
		_ = capacity.WriteRow(stdio.stdout, s) // a failed write loses a printed row, not the measurement
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
