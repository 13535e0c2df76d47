package sched

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the seed and the number of cases of rapid unless the command line does.
func TestMain(m *testing.M) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	if !set["rapid.seed"] {
		flag.Set("rapid.seed", "20261204")
	}
	if !set["rapid.checks"] {
		flag.Set("rapid.checks", "300")
	}
	os.Exit(m.Run())
}
