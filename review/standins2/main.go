// Command standins2 runs the cases of the second review against the programs of the project. It starts instances as
// processes with the command of the deploy file, plays their store, endpoints and callers itself, and writes what was
// sent, answered and run to record.txt.
//
// Usage: standins2 CASE DIRECTORY. The exit status is 0 if the rule held, 1 if it was broken and 2 if the case could
// not run. With TROUBLE=0 in the environment a case runs without its disruption.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxDuration bounds a case, with a margin below the 120 seconds that it may take.
const maxDuration = 115 * time.Second

// trial is one run of a case.
type trial struct {
	*record
	trouble bool
}

// cases are the cases by name. A case returns the ways in which its rule was broken.
var cases = map[string]func(t *trial) (broken []string, err error){
	"rounding": roundingCase,
	"outage":   outageCase,
	"return":   returnCase,
	"shared":   sharedPathCase,
	"input":    sameInputCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins2 CASE DIRECTORY")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, dir string) int {
	rec, err := newRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	t := &trial{record: rec, trouble: os.Getenv("TROUBLE") != "0"}
	t.printf("case %s, trouble %t", name, t.trouble)
	time.AfterFunc(maxDuration, func() {
		t.printf("the case takes too long")
		killAll()
		os.Exit(exitNotRun)
	})
	broken, err := cases[name](t)
	switch {
	case err != nil:
		t.printf("the case could not run: %v", err)
		return exitNotRun
	case len(broken) > 0:
		for _, b := range broken {
			t.printf("BROKEN: %s", b)
		}
		return exitBroken
	default:
		t.printf("held")
		return exitHeld
	}
}
