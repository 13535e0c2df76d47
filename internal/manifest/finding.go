package manifest

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Finding is one error in a manifest.
type Finding struct {
	Path    string // path of the field, such as "duties[2].share"; empty for the whole document
	Line    int    // from 1; 0 if unknown
	Problem string
}

// String returns "line 12: duties[2].share: problem" and omits the line and the path if unknown.
func (f Finding) String() string {
	var b strings.Builder
	if f.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", f.Line)
	}
	if f.Path != "" {
		b.WriteString(f.Path + ": ")
	}
	b.WriteString(f.Problem)
	return b.String()
}

// Findings holds all errors of a manifest, sorted by line. A Findings that is returned as an error is
// never empty.
type Findings []Finding

// Error returns one line per finding.
func (f Findings) Error() string {
	lines := make([]string, 0, len(f))
	for _, one := range f {
		lines = append(lines, one.String())
	}
	return strings.Join(lines, "\n")
}

func (f Findings) sort() {
	slices.SortStableFunc(f, func(a, b Finding) int { return cmp.Compare(a.Line, b.Line) })
}

// err returns the findings as an error, or nil if there are none.
func (f Findings) err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
