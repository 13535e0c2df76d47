package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against an outdated list: an old text that the code no longer contains, or a guarantee without a
// mutation. This check runs with the other tests; the mutations are run by .ci/breaks.
func TestMutationsMatchCode(t *testing.T) {
	covered := map[string]bool{}
	names := map[string]bool{}
	for _, m := range mutations {
		covered[m.guarantee] = true
		must.False(t, names[m.name], must.Sprint(m.name))
		names[m.name] = true
		must.NotEq(t, m.old, m.new, must.Sprint(m.name))
		data, err := os.ReadFile(filepath.Join("..", "..", m.file))
		must.NoError(t, err)
		must.Eq(t, 1, bytes.Count(data, []byte(m.old)), must.Sprintf("%s: occurrences in %s", m.name, m.file))
	}
	for n := 1; n <= 10; n++ {
		must.True(t, covered[fmt.Sprintf("P%d", n)], must.Sprintf("P%d has no break", n))
	}
}

// Guards against a mutation that counts as caught because it does not build or because no test ran.
func TestParseTestOutput(t *testing.T) {
	r := parseTestOutput([]byte(`{"Action":"build-output","Output":"x.go:1: undefined\n"}
{"Action":"build-fail"}
{"Action":"fail","FailedBuild":"x"}
`))
	must.True(t, r.buildFailed)
	must.True(t, r.noTestRan)
	must.Eq(t, "", r.firstFailure)
	r = parseTestOutput([]byte(`{"Action":"run","Test":"TestA"}
{"Action":"run","Test":"TestA/one"}
{"Action":"fail","Test":"TestA/one"}
{"Action":"fail","Test":"TestA"}
{"Action":"fail"}
`))
	must.False(t, r.buildFailed)
	must.False(t, r.noTestRan)
	must.Eq(t, "TestA/one", r.firstFailure)
}

// Guards against a mutation of the wrong place, which is possible if the text occurs more than once.
func TestOverlayNeedsOneOccurrence(t *testing.T) {
	tree := t.TempDir()
	must.NoError(t, os.WriteFile(filepath.Join(tree, "a.go"), []byte("package a // x x"), 0o600))
	_, err := mutation{file: "a.go", old: "x", new: "y"}.writeOverlay(tree)
	must.ErrorContains(t, err, "occurs 2 times")
	overlay, err := mutation{file: "a.go", old: "package a", new: "package b"}.writeOverlay(tree)
	must.NoError(t, err)
	data, err := os.ReadFile(filepath.Join(filepath.Dir(overlay), "a.go"))
	must.NoError(t, err)
	must.Eq(t, "package b // x x", string(data))
	must.NoError(t, os.RemoveAll(filepath.Dir(overlay)))
}
