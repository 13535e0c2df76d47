// Command ragwortstile-soak runs instances as processes, injects random faults and checks the system's guarantees
// from what callers and endpoints observe.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"ragwortstile/platform/soak"
)

func main() { os.Exit(run()) }

func run() int {
	self, err := os.Executable()
	if err != nil {
		fmt.Fprintln(os.Stderr, "ragwortstile-soak:", err)
		return 1
	}
	seed := flag.Uint64("seed", uint64(time.Now().UnixNano()), "seed of the first run")
	runs := flag.Int("runs", 1, "number of runs, each with the next seed")
	duration := flag.Duration("for", 30*time.Second, "time of faults in each run")
	binary := flag.String("binary", filepath.Join(filepath.Dir(self), "ragwortstile"), "program under test")
	earlier := flag.String("earlier", "", "earlier build, which runs at first and is replaced instance by instance, back and forth")
	stopAll := flag.Bool("stop-all", false, "stop all instances within seconds of each other now and then")
	instances := flag.Int("instances", 5, "number of instances")
	endpoints := flag.Int("endpoints", 4, "number of endpoints")
	callers := flag.Int("callers", 12, "number of programs at once")
	dir := flag.String("dir", "", "directory for settings and logs; by default a temporary one, kept after a finding")
	quiet := flag.Bool("quiet", false, "no line for each fault")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	status := 0
	for n := range *runs {
		o := soak.Options{
			Seed: *seed + uint64(n), Duration: *duration, Binary: *binary, Earlier: *earlier, StopAll: *stopAll, Instances: *instances, Endpoints: *endpoints, Callers: *callers,
			Dir: *dir, Progress: os.Stdout,
		}
		if *quiet {
			o.Progress = io.Discard
		}
		if !runOnce(ctx, o) {
			status = 1
		}
	}
	return status
}

// runOnce makes one run and prints its report. It returns false if the run failed or found a violation.
func runOnce(ctx context.Context, o soak.Options) bool {
	temporary := o.Dir == ""
	if temporary {
		dir, err := os.MkdirTemp("", "ragwortstile-soak-")
		if err != nil {
			fmt.Fprintln(os.Stderr, "ragwortstile-soak:", err)
			return false
		}
		o.Dir = dir
	}
	report, err := soak.Run(ctx, o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "ragwortstile-soak:", err, "- logs in", o.Dir)
		return false
	}
	fmt.Print(report)
	if len(report.Findings) > 0 {
		fmt.Println("logs in", o.Dir)
		return false
	}
	if temporary {
		_ = os.RemoveAll(o.Dir) // an error only leaves a temporary directory behind
	}
	return true
}
