package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// testTimeout limits one run of go test. Some mutations make a test wait for an event that never occurs.
const testTimeout = 90 * time.Second

// mutation is one deliberate fault in the code: it replaces the text old by new in one file. The output
// of the command calls it a break.
type mutation struct {
	guarantee string // the guarantee that the fault violates
	name      string
	file      string // relative to the module root
	old       string // must occur exactly once in file
	new       string
	test      test
}

// test selects the tests of one run of go test. At least one of them must fail with the mutation.
type test struct {
	pkg  string // directory relative to the module root
	run  string // regular expression for go test -run
	args string // flags of the test binary, separated by spaces
}

func (t test) String() string { return t.pkg + " " + t.run }

// copyTree copies all regular files of the module to a temporary directory, except for those in hidden
// directories. It returns the path of the copy.
func copyTree(root string) (string, error) {
	if _, err := os.Stat(filepath.Join(root, "go.mod")); err != nil {
		return "", err
	}
	tree, err := os.MkdirTemp("", "breaks-")
	if err != nil {
		return "", err
	}
	err = filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		if d.IsDir() {
			if strings.HasPrefix(d.Name(), ".") && rel != "." {
				return filepath.SkipDir
			}
			return os.MkdirAll(filepath.Join(tree, rel), 0o755)
		}
		if !d.Type().IsRegular() {
			return nil
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(tree, rel), data, 0o644)
	})
	if err != nil {
		_ = os.RemoveAll(tree)
		return "", fmt.Errorf("copy %s: %w", root, err)
	}
	return tree, nil
}

// runUnmodified runs a test on the unmodified code. The detail of the outcome is empty if it passes.
func (t test) runUnmodified(tree string) outcome {
	r := t.execute(tree, "")
	switch {
	case r.noTestRan:
		return outcome{detail: "no test ran"}
	case r.failed:
		return outcome{detail: r.describe()}
	}
	return outcome{}
}

// runTest runs the test with the mutation applied.
func (m mutation) runTest(tree string) outcome {
	start := time.Now()
	overlay, err := m.writeOverlay(tree)
	if err != nil {
		return outcome{detail: err.Error(), duration: time.Since(start)}
	}
	defer os.RemoveAll(filepath.Dir(overlay))
	r := m.test.execute(tree, overlay)
	o := outcome{duration: time.Since(start), detail: r.describe()}
	o.caught = r.failed && !r.buildFailed && r.firstFailure != ""
	if !r.failed {
		o.detail = m.test.String() + " passes"
	}
	return o
}

// writeOverlay writes the mutated file and the JSON file for the -overlay flag of the go command to a new
// temporary directory. It returns the path of the JSON file; the caller removes the directory.
func (m mutation) writeOverlay(tree string) (string, error) {
	path := filepath.Join(tree, m.file)
	data, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	if n := bytes.Count(data, []byte(m.old)); n != 1 {
		return "", fmt.Errorf("the text to replace occurs %d times in %s", n, m.file)
	}
	dir, err := os.MkdirTemp("", "break-")
	if err != nil {
		return "", err
	}
	mutatedPath := filepath.Join(dir, filepath.Base(m.file))
	mutated := bytes.Replace(data, []byte(m.old), []byte(m.new), 1)
	if err := os.WriteFile(mutatedPath, mutated, 0o644); err != nil {
		return "", err
	}
	overlayJSON, err := json.Marshal(map[string]map[string]string{"Replace": {path: mutatedPath}})
	if err != nil {
		return "", err
	}
	overlay := filepath.Join(dir, "overlay.json")
	return overlay, os.WriteFile(overlay, overlayJSON, 0o644)
}

// testResult is the result of one run of go test.
type testResult struct {
	failed       bool // the go command exited with an error
	buildFailed  bool
	noTestRan    bool
	firstFailure string // name of the first failed test
	lastOutput   string // last line of the build output or of output that is not JSON
}

// describe returns the first failed test, or why the run failed without one.
func (r testResult) describe() string {
	switch {
	case r.buildFailed:
		return "does not build: " + r.lastOutput
	case r.firstFailure != "":
		return r.firstFailure
	default:
		return "failed outside of a test: " + r.lastOutput
	}
}

// execute runs go test in the copied tree, with an overlay if one is given.
func (t test) execute(tree, overlay string) testResult {
	args := []string{"test", "-json", "-trimpath", "-count=1", "-failfast", "-timeout", testTimeout.String(), "-run", t.run}
	if overlay != "" {
		args = append(args, "-overlay", overlay)
	}
	args = append(args, "./"+t.pkg)
	if t.args != "" {
		args = append(append(args, "-args"), strings.Fields(t.args)...)
	}
	cmd := exec.Command("go", args...)
	cmd.Dir = tree
	out, err := cmd.CombinedOutput()
	r := parseTestOutput(out)
	r.failed = err != nil
	return r
}

// parseTestOutput evaluates the output of go test -json. The field failed is left to the caller.
func parseTestOutput(out []byte) testResult {
	r := testResult{noTestRan: true}
	scanner := bufio.NewScanner(bytes.NewReader(out))
	scanner.Buffer(nil, 16<<20)
	for scanner.Scan() {
		var e struct{ Action, Test, Output string }
		if json.Unmarshal(scanner.Bytes(), &e) != nil {
			r.lastOutput = scanner.Text()
			continue
		}
		switch e.Action {
		case "run":
			r.noTestRan = false
		case "build-fail":
			r.buildFailed = true
		case "build-output":
			r.lastOutput = strings.TrimSpace(e.Output)
		case "fail":
			if r.firstFailure == "" {
				r.firstFailure = e.Test
			}
		}
	}
	return r
}
