package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a list that has gone stale: a text that the code no longer has, or a guarantee without
// a break. This runs with the other tests; the breaks themselves run in .ci/breaks.
func TestListFitsTheCode(t *testing.T) {
	guarded := map[string]bool{}
	names := map[string]bool{}
	for _, b := range breaks {
		guarded[b.guarantee] = true
		must.False(t, names[b.name], must.Sprint(b.name))
		names[b.name] = true
		must.NotEq(t, b.old, b.new, must.Sprint(b.name))
		data, err := os.ReadFile(filepath.Join("..", "..", b.file))
		must.NoError(t, err)
		must.Eq(t, 1, bytes.Count(data, []byte(b.old)), must.Sprintf("%s: occurrences in %s", b.name, b.file))
	}
	for n := 1; n <= 10; n++ {
		must.True(t, guarded[fmt.Sprintf("P%d", n)], must.Sprintf("P%d has no break", n))
	}
}

// Guards against a break that counts as caught because it does not build or because no test ran.
func TestReadEvents(t *testing.T) {
	r := readEvents([]byte(`{"Action":"build-output","Output":"x.go:1: undefined\n"}
{"Action":"build-fail"}
{"Action":"fail","FailedBuild":"x"}
`))
	must.True(t, r.noBuild)
	must.True(t, r.noTest)
	must.Eq(t, "", r.first)
	r = readEvents([]byte(`{"Action":"run","Test":"TestA"}
{"Action":"run","Test":"TestA/one"}
{"Action":"fail","Test":"TestA/one"}
{"Action":"fail","Test":"TestA"}
{"Action":"fail"}
`))
	must.False(t, r.noBuild)
	must.False(t, r.noTest)
	must.Eq(t, "TestA/one", r.first)
}

// Guards against a text that occurs more than once, where the wrong place could be broken.
func TestOverlayNeedsOneOccurrence(t *testing.T) {
	tree := t.TempDir()
	must.NoError(t, os.WriteFile(filepath.Join(tree, "a.go"), []byte("package a // x x"), 0o600))
	_, err := brk{file: "a.go", old: "x", new: "y"}.overlay(tree)
	must.ErrorContains(t, err, "occurs 2 times")
	overlay, err := brk{file: "a.go", old: "package a", new: "package b"}.overlay(tree)
	must.NoError(t, err)
	data, err := os.ReadFile(filepath.Join(filepath.Dir(overlay), "a.go"))
	must.NoError(t, err)
	must.Eq(t, "package b // x x", string(data))
	must.NoError(t, os.RemoveAll(filepath.Dir(overlay)))
}
