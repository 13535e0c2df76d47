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

// testTimeout bounds one test. Some breaks make a test wait for something that never comes.
const testTimeout = 90 * time.Second

// brk is one deliberate break of the code.
type brk struct {
	guarantee string
	name      string
	file      string // from the module's root
	old       string // must occur exactly once
	new       string
	test      test
}

// test selects the test that must fail.
type test struct {
	pkg  string // from the module's root
	run  string // pattern of test names
	args string // flags of the test binary, separated by spaces
}

func (t test) String() string { return t.pkg + " " + t.run }

// copyTree copies the Go files, the module files and the test data to a temporary directory.
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

// passes runs a test without a break. The detail is empty when it passes.
func (t test) passes(tree string) outcome {
	r := t.execute(tree, "")
	switch {
	case r.noTest:
		return outcome{detail: "no test ran"}
	case r.failed:
		return outcome{detail: r.describe()}
	}
	return outcome{}
}

// try applies the break and runs its test.
func (b brk) try(tree string) outcome {
	start := time.Now()
	overlay, err := b.overlay(tree)
	if err != nil {
		return outcome{detail: err.Error(), took: time.Since(start)}
	}
	defer os.RemoveAll(filepath.Dir(overlay))
	r := b.test.execute(tree, overlay)
	o := outcome{took: time.Since(start), detail: r.describe()}
	o.caught = r.failed && !r.noBuild && r.first != ""
	if !r.failed {
		o.detail = b.test.String() + " passes"
	}
	return o
}

// overlay writes the broken file and the file that the go command replaces it by.
func (b brk) overlay(tree string) (string, error) {
	path := filepath.Join(tree, b.file)
	data, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	if n := bytes.Count(data, []byte(b.old)); n != 1 {
		return "", fmt.Errorf("the text to replace occurs %d times in %s", n, b.file)
	}
	dir, err := os.MkdirTemp("", "break-")
	if err != nil {
		return "", err
	}
	broken := filepath.Join(dir, filepath.Base(b.file))
	changed := bytes.Replace(data, []byte(b.old), []byte(b.new), 1)
	if err := os.WriteFile(broken, changed, 0o644); err != nil {
		return "", err
	}
	list, err := json.Marshal(map[string]map[string]string{"Replace": {path: broken}})
	if err != nil {
		return "", err
	}
	overlay := filepath.Join(dir, "overlay.json")
	return overlay, os.WriteFile(overlay, list, 0o644)
}

// result is how a run of the go command ended.
type result struct {
	failed  bool
	noBuild bool
	noTest  bool
	first   string // first test that failed
	output  string // last line of output
}

func (r result) describe() string {
	switch {
	case r.noBuild:
		return "does not build: " + r.output
	case r.first != "":
		return r.first
	default:
		return "failed outside of a test: " + r.output
	}
}

func (t test) execute(tree, overlay string) result {
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
	r := readEvents(out)
	r.failed = err != nil
	return r
}

// readEvents evaluates the output of go test -json.
func readEvents(out []byte) result {
	r := result{noTest: true}
	lines := bufio.NewScanner(bytes.NewReader(out))
	lines.Buffer(nil, 16<<20)
	for lines.Scan() {
		var e struct{ Action, Test, Output string }
		if json.Unmarshal(lines.Bytes(), &e) != nil {
			r.output = lines.Text()
			continue
		}
		switch e.Action {
		case "run":
			r.noTest = false
		case "build-fail":
			r.noBuild = true
		case "build-output":
			r.output = strings.TrimSpace(e.Output)
		case "fail":
			if r.first == "" {
				r.first = e.Test
			}
		}
	}
	return r
}
