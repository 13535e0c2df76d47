// Command standins plays the cases of the review. It serves the stand-ins of the platform's store and of the servers,
// runs instances of the gateway as processes, and acts as their clients. It exits with 1 if the rule of the case was
// broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// caseFunc plays a case. It returns the violations of the rule that clients, servers or the platform have seen.
type caseFunc func(ctx context.Context, c *cluster, trouble bool) (violations []string, err error)

var cases = map[string]struct {
	options options
	play    caseFunc
}{
	"old-chain":         {oldChainOptions, playOldChain},
	"budget-after-kill": {budgetOptions, playBudgetAfterKill},
	"budget-in-outage":  {budgetOptions, playBudgetInOutage},
	"deadly-request":    {deadlyOptions, playDeadlyRequest},
	"roll":              {rollOptions, playRoll},
}

// maxDuration bounds a case that is not played at full scale.
const maxDuration = 115 * time.Second

// Results of the process.
const (
	held   = 0
	broken = 1
	failed = 2
)

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	binary := flag.String("binary", "", "program under test")
	out := flag.String("record", "", "file that gets what was sent, answered and run")
	flag.Parse()
	chosen, ok := cases[*name]
	if !ok || *binary == "" || *out == "" {
		flag.Usage()
		return failed
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, scale()*maxDuration)
	defer cancel()
	file, err := os.Create(filepath.Clean(*out))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer file.Close()
	rec := newRecord(file)
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, disruption: %t", *name, trouble)
	violations, err := playCase(ctx, chosen.options, chosen.play, *binary, rec, trouble)
	for _, v := range violations {
		rec.add("BROKEN %s", v)
		fmt.Println("broken:", v)
	}
	switch {
	case len(violations) > 0:
		return broken
	case err != nil:
		rec.add("the case could not run: %s", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return failed
	}
	rec.add("the rule held")
	fmt.Println("the rule held")
	return held
}

func playCase(ctx context.Context, o options, play caseFunc, binary string, rec *record, trouble bool) (violations []string, err error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, fmt.Errorf("temporary folder: %w", err)
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	c, err := newCluster(o, binary, dir, rec)
	if err != nil {
		return nil, err
	}
	defer c.close()
	if err := c.startAll(ctx); err != nil {
		return nil, err
	}
	violations, err = play(ctx, c, trouble)
	if err == nil && ctx.Err() != nil && len(violations) == 0 {
		err = ctx.Err()
	}
	return violations, err
}
