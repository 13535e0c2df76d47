package command

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"ragwortstile/internal/evenload"
)

func evenLoadCommand(stdio standardStreams) *ffcli.Command {
	fs := newFlagSet(stdio, "ragwortstile evenload")
	s := evenload.Usual(59)
	policies := fs.String("policies", strings.Join(slices.Sorted(maps.Keys(evenload.Policies)), ","), "policies to compare, separated by commas")
	fs.IntVar(&s.Instances, "instances", s.Instances, "number of instances")
	fs.IntVar(&s.Endpoints, "endpoints", s.Endpoints, "number of endpoints")
	fs.IntVar(&s.Slots, "slots", s.Slots, "slots of an endpoint")
	mixed := fs.Bool("mixed", false, "let the endpoints take 0.7, 0.7 and 1.7 times the mean time")
	fs.DurationVar(&s.MeanTime, "time", s.MeanTime, "mean time of a request at an idle endpoint")
	fs.Float64Var(&s.Load, "load", s.Load, "share of the requests that the endpoints can serve")
	fs.DurationVar(&s.Age, "age", s.Age, "mean age of load reports")
	fs.Float64Var(&s.Lost, "lost", 0, "share of the reports that are lost")
	fs.Float64Var(&s.OneWay, "one-way", 0, "share of the pairs of instances with reports in one direction only or in none")
	fs.Float64Var(&s.Slow, "slow", 0, "share of the endpoints that are slow at any moment")
	fs.DurationVar(&s.Measured, "for", s.Measured, "simulated time")
	fs.Uint64Var(&s.Seed, "seed", s.Seed, "seed")
	return newCommand("evenload", "evenload [flags]", "Compare policies that choose endpoints from outdated load reports, in simulated time.", fs,
		func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return usagef("unexpected argument %q", args[0])
			}
			if *mixed {
				s.Scales = evenload.MixedScales
			}
			if err := s.Validate(); err != nil {
				return usagef("%w", err)
			}
			return runEvenLoad(stdio.stdout, s, strings.Split(*policies, ","))
		})
}

func runEvenLoad(out io.Writer, s evenload.Scenario, policies []string) error {
	for _, name := range policies {
		if evenload.Policies[name] == nil {
			return usagef("--policies: there is no policy %q", name)
		}
	}
	ms := func(d time.Duration) int64 { return d.Milliseconds() }
	return table(out, "POLICY REQUESTS OVERLOAD WAIT-MEAN-MS WAIT-P99-MS TIME-MEAN-MS AGE-P50-MS AGE-P99-MS", func(row func(...any)) {
		for _, name := range policies {
			r := evenload.Run(s, evenload.Policies[name])
			row(name, r.Requests, fmt.Sprintf("%.3f", r.Overload), ms(r.MeanWait), ms(r.Wait), ms(r.MeanTime), ms(r.AgeP50), ms(r.AgeP99))
		}
	})
}
