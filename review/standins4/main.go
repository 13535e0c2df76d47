// Command standins4 runs the scripted cases of the third review. It starts the gateway's processes with the command of the
// deploy file, against stand-ins of the platform's store, servers and clients on loopback addresses.
//
// Exit status: 0 if the rule of the case held, 1 if it was broken, 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const (
	held   = 0
	broken = 1
	failed = 2
)

// cases are the scripted cases by name. trouble is false for the same run without its disruption.
var cases = map[string]func(r *rig, trouble bool) bool{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins4 CASE RECORD")
		os.Exit(failed)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// run runs a case, writes what was sent, answered and run into the file record, and returns the exit status.
func run(name, record string, trouble bool) (status int) {
	r, err := newRig(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer r.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		r.close()
		os.Exit(failed)
	}()
	defer func() {
		if reason := recover(); reason != nil {
			r.note("the case could not run: %v", reason)
			fmt.Fprintln(os.Stderr, reason)
			status = failed
		}
	}()
	r.note("case %s, disruption: %t", name, trouble)
	if cases[name](r, trouble) {
		r.note("the rule held")
		return held
	}
	r.note("the rule was broken")
	return broken
}
