// Command standins3 plays the cases of the review that need processes: it starts the store and the endpoints as
// stand-ins, the gateways as processes, and callers, and judges what these have seen.
//
//	standins3 CASE FOLDER
//
// FOLDER is that of the case; record.txt is written there. The exit status is 1 if the rule was broken, 0 if it held and
// 2 if the case could not run. TROUBLE=0 leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	cases := map[string]func(*record, string, bool) (bool, error){"reload": reload, "survivors": survivors}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins3 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(rec *record, dir string, trouble bool) (broken bool, err error), folder string) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "ragwortstile-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir) // not in the record, which names no path of a machine
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.say("case with the disruption: %v", trouble)
	go endOnSignal()
	broken, err := run(rec, dir, trouble)
	switch {
	case err != nil:
		rec.say("not run: %v", err)
		return exitNotRun
	case broken:
		rec.say("the rule is broken")
		return exitBroken
	default:
		rec.say("the rule holds")
		return exitHeld
	}
}

// endOnSignal ends all processes that were started when this one is told to end.
func endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	started.Range(func(key, _ any) bool {
		_ = key.(*os.Process).Kill()
		return true
	})
	os.Exit(exitNotRun)
}

// binary is the program as the deploy file builds it.
func binary() string {
	if path := os.Getenv("BINARY"); path != "" {
		return path
	}
	return "target/ragwortstile"
}
