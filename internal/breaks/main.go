// Command breaks checks that the tests guard the guarantees P1 to P10 of docs/design.md. It breaks the
// code in one deliberate way at a time and runs the test that must notice it.
//
// The tree is copied once, so that edits during a run have no effect. A break is applied with the
// -overlay flag of the go command, so that breaks run in parallel in one copy.
//
// The exit code is 1 when a break was not caught, when its text was not found exactly once, when the
// broken code does not build, or when a test fails without a break.
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
	root := flag.String("root", ".", "root of the module")
	workers := flag.Int("workers", 3, "tests that run at the same time")
	only := flag.String("only", "", "regular expression that selects breaks by guarantee and name")
	pkg := flag.String("pkg", "", "package whose tests run in place of those in the list, to see what they notice")
	tests := flag.String("run", ".", "tests that run with -pkg")
	args := flag.String("args", "", "flags of the test binary with -pkg")
	flag.Parse()
	var instead *test
	if *pkg != "" {
		instead = &test{pkg: *pkg, run: *tests, args: *args}
	}
	ok, err := run(*root, *workers, *only, instead, os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "breaks:", err)
		os.Exit(2)
	}
	if !ok {
		os.Exit(1)
	}
}

// outcome is what became of a break or of a test without a break.
type outcome struct {
	caught bool
	detail string // first failing test, or why the break does not count as caught
	took   time.Duration
}

func run(root string, workers int, only string, instead *test, out io.Writer) (bool, error) {
	pattern, err := regexp.Compile(only)
	if err != nil {
		return false, err
	}
	var selected []brk
	for _, b := range breaks {
		if pattern.MatchString(b.guarantee + " " + b.name) {
			if instead != nil {
				b.test = *instead
			}
			selected = append(selected, b)
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
	if !baseline(tree, selected, workers, out) {
		return false, nil
	}
	results := make([]outcome, len(selected))
	inParallel(workers, len(selected), func(n int) { results[n] = selected[n].try(tree) })
	return report(out, selected, results), nil
}

// baseline runs the tests on the copy without a break. A test that fails then proves nothing.
func baseline(tree string, selected []brk, workers int, out io.Writer) bool {
	var tests []test
	seen := map[test]bool{}
	for _, b := range selected {
		if !seen[b.test] {
			seen[b.test] = true
			tests = append(tests, b.test)
		}
	}
	results := make([]outcome, len(tests))
	inParallel(workers, len(tests), func(n int) { results[n] = tests[n].passes(tree) })
	ok := true
	for n, r := range results {
		if r.detail != "" {
			ok = false
			fmt.Fprintf(out, "fails without a break: %s: %s\n", tests[n], r.detail)
		}
	}
	return ok
}

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

func report(out io.Writer, selected []brk, results []outcome) bool {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "guarantee\tbreak\tcaught\tfirst failing test or cause\tseconds")
	caught := 0
	for n, b := range selected {
		r := results[n]
		answer := "NO"
		if r.caught {
			answer = "yes"
			caught++
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.1f\n", b.guarantee, b.name, answer, r.detail, r.took.Seconds())
	}
	_ = w.Flush()
	fmt.Fprintf(out, "%d of %d breaks were caught\n", caught, len(selected))
	return caught == len(selected)
}
