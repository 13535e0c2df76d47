// Command breaks is a mutation test: it checks that the tests detect violations of the guarantees P1 to
// P10 of docs/design.md, which the type oracle of package whole lists in short, and of the requirements on
// the platform instances. It applies one deliberate fault (a mutation; the output calls it a break) to the
// code at a time and runs the test that must fail.
//
// The module is copied once, so that edits during a run have no effect. Mutations are applied with the
// -overlay flag of the go command, so that several can run in parallel in the same copy.
//
// The exit code is 1 if a mutation was not caught, if the text that it replaces does not occur exactly
// once, if the mutated code does not build, or if a test fails on the unmodified code. It is 2 if the
// arguments are not valid or the module cannot be copied.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"regexp"
	"sync"
	"text/tabwriter"
	"time"
)

func main() {
	root := flag.String("root", ".", "root directory of the module")
	workers := flag.Int("workers", 3, "number of tests to run in parallel")
	only := flag.String("only", "", "regular expression that selects breaks by guarantee and name")
	pkg := flag.String("pkg", "", "package whose tests run instead of those in the list, to see which breaks they catch")
	testPattern := flag.String("run", ".", "regular expression that selects tests of -pkg")
	args := flag.String("args", "", "flags of the test binary of -pkg, separated by spaces")
	flag.Parse()
	var override *test
	if *pkg != "" {
		override = &test{pkg: *pkg, run: *testPattern, args: *args}
	}
	ok, err := run(*root, *workers, *only, override, os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "breaks:", err)
		os.Exit(2)
	}
	if !ok {
		os.Exit(1)
	}
}

// outcome is the result of a test with a mutation or on the unmodified code.
type outcome struct {
	caught   bool
	detail   string // first failed test, or why the mutation does not count as caught
	duration time.Duration
}

// run tests the mutations that match only, with the test override in place of their own if it is not nil.
// It reports whether all of them were caught.
func run(root string, workers int, only string, override *test, out io.Writer) (bool, error) {
	pattern, err := regexp.Compile(only)
	if err != nil {
		return false, err
	}
	var selected []mutation
	for _, m := range mutations {
		if pattern.MatchString(m.guarantee + " " + m.name) {
			if override != nil {
				m.test = *override
			}
			selected = append(selected, m)
		}
	}
	if len(selected) == 0 {
		return false, fmt.Errorf("no break matches %q", only)
	}
	tree, err := copyTree(root)
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(tree)
	if !baselinePasses(tree, selected, workers, out) {
		return false, nil
	}
	results := make([]outcome, len(selected))
	inParallel(workers, len(selected), func(n int) { results[n] = selected[n].runTest(tree) })
	return report(out, selected, results), nil
}

// baselinePasses runs the tests on the unmodified copy and reports whether all pass. The failure of a test
// that fails there too would not show that it detects a mutation.
func baselinePasses(tree string, selected []mutation, workers int, out io.Writer) bool {
	var tests []test
	seen := map[test]bool{}
	for _, m := range selected {
		if !seen[m.test] {
			seen[m.test] = true
			tests = append(tests, m.test)
		}
	}
	results := make([]outcome, len(tests))
	inParallel(workers, len(tests), func(n int) { results[n] = tests[n].runUnmodified(tree) })
	ok := true
	for n, r := range results {
		if r.detail != "" {
			ok = false
			fmt.Fprintf(out, "fails without a break: %s: %s\n", tests[n], r.detail)
		}
	}
	return ok
}

// inParallel calls f with 0 to jobs-1 from the given number of goroutines and returns after the last call.
func inParallel(workers, jobs int, f func(n int)) {
	queue := make(chan int)
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for n := range queue {
				f(n)
			}
		})
	}
	for n := range jobs {
		queue <- n
	}
	close(queue)
	wg.Wait()
}

// report prints a table of the mutations and reports whether all were caught.
func report(out io.Writer, selected []mutation, results []outcome) bool {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "guarantee\tbreak\tcaught\tfirst failing test or cause\tseconds")
	caught := 0
	for n, m := range selected {
		r := results[n]
		caughtText := "NO"
		if r.caught {
			caughtText = "yes"
			caught++
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.1f\n", m.guarantee, m.name, caughtText, r.detail, r.duration.Seconds())
	}
	_ = w.Flush()
	fmt.Fprintf(out, "%d of %d breaks were caught\n", caught, len(selected))
	return caught == len(selected)
}
