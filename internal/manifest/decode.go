package manifest

import (
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
	"time"

	"gopkg.in/yaml.v3"
)

// decoder fills a manifest from a YAML node tree and collects findings. It records the line of every
// field path, because the findings of Check have no lines.
type decoder struct {
	manifest *Manifest
	findings Findings
	lines    map[string]int
}

func (d *decoder) decodeRoot(root *yaml.Node) {
	d.value("", root, reflect.ValueOf(d.manifest).Elem())
}

func (d *decoder) add(path string, n *yaml.Node, format string, args ...any) {
	d.findings = append(d.findings, Finding{Path: path, Line: n.Line, Problem: fmt.Sprintf(format, args...)})
}

// withLines sets the lines of the findings of Check. A path that is not in the text gets the line of
// its nearest ancestor. A finding for a path that failed to decode is dropped, because it only follows
// from the decoding error that is already reported.
func (d *decoder) withLines(found Findings) Findings {
	failed := make(map[string]bool)
	for _, f := range d.findings {
		failed[f.Path] = true
	}
	var kept Findings
	for _, f := range found {
		if failed[f.Path] {
			continue
		}
		for path := f.Path; f.Line == 0; path = parentPath(path) {
			f.Line = d.lines[path]
			if path == "" {
				break
			}
		}
		kept = append(kept, f)
	}
	return kept
}

func parentPath(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}

var durationType = reflect.TypeFor[time.Duration]()

func (d *decoder) value(path string, n *yaml.Node, into reflect.Value) {
	d.lines[path] = n.Line
	if n.Kind == yaml.AliasNode || n.Anchor != "" {
		d.add(path, n, "anchors and aliases are not allowed")
		return
	}
	if into.Type() == durationType {
		d.duration(path, n, into)
		return
	}
	switch into.Kind() {
	case reflect.Struct:
		d.mapping(path, n, into)
	case reflect.Slice:
		d.list(path, n, into)
	case reflect.String:
		// YAML tags an unquoted version such as 2026-10-1 as a timestamp, but it is text here.
		if d.expectScalar(path, n, "text", "!!str", "!!timestamp") {
			into.SetString(n.Value)
		}
	case reflect.Bool:
		if d.expectScalar(path, n, "true or false", "!!bool") {
			into.SetBool(n.Value == "true")
		}
	case reflect.Int, reflect.Int64:
		d.integer(path, n, into)
	case reflect.Float64:
		d.float(path, n, into)
	default:
		panic("manifest: no decoder for " + into.Type().String())
	}
}

// expectScalar reports whether the node is a scalar with one of the tags, and adds a finding if not.
func (d *decoder) expectScalar(path string, n *yaml.Node, what string, tags ...string) bool {
	for _, tag := range tags {
		if n.Kind == yaml.ScalarNode && n.ShortTag() == tag {
			return true
		}
	}
	d.add(path, n, "want %s, got %s", what, describe(n))
	return false
}

func describe(n *yaml.Node) string {
	switch n.Kind {
	case yaml.MappingNode:
		return "a mapping"
	case yaml.SequenceNode:
		return "a list"
	}
	switch n.ShortTag() {
	case "!!null":
		return "nothing"
	case "!!str":
		return fmt.Sprintf("text %q", n.Value)
	default:
		return n.Value
	}
}

func (d *decoder) mapping(path string, n *yaml.Node, into reflect.Value) {
	if n.Kind != yaml.MappingNode {
		d.add(path, n, "want a mapping, got %s", describe(n))
		return
	}
	fields := fieldIndexes(into.Type())
	seen := make(map[string]int)
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i]
		at := joinPath(path, key.Value)
		index, known := fields[key.Value]
		if key.Kind != yaml.ScalarNode || !known {
			d.add(at, key, "unknown field")
			continue
		}
		if line, repeated := seen[key.Value]; repeated {
			d.add(at, key, "repeated, first in line %d", line)
			continue
		}
		seen[key.Value] = key.Line
		d.value(at, n.Content[i+1], into.Field(index))
		d.lines[at] = key.Line // a nested block starts one line below its key
	}
}

func joinPath(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}

// fieldIndexes maps the JSON name of each struct field, which is also its YAML name, to its index.
func fieldIndexes(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		fields[name] = i
	}
	return fields
}

func (d *decoder) list(path string, n *yaml.Node, into reflect.Value) {
	if n.Kind != yaml.SequenceNode {
		d.add(path, n, "want a list, got %s", describe(n))
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(n.Content), len(n.Content)))
	for i, child := range n.Content {
		d.value(fmt.Sprintf("%s[%d]", path, i), child, into.Index(i))
	}
}

func (d *decoder) integer(path string, n *yaml.Node, into reflect.Value) {
	if !d.expectScalar(path, n, "a whole number", "!!int") {
		return
	}
	v, err := strconv.ParseInt(n.Value, 10, 64)
	if err != nil {
		d.add(path, n, "want a decimal whole number of 64 bits, got %s", n.Value)
		return
	}
	into.SetInt(v)
}

func (d *decoder) float(path string, n *yaml.Node, into reflect.Value) {
	if !d.expectScalar(path, n, "a number", "!!float", "!!int") {
		return
	}
	v, err := strconv.ParseFloat(n.Value, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		d.add(path, n, "want a finite number, got %s", n.Value)
		return
	}
	into.SetFloat(v)
}

func (d *decoder) duration(path string, n *yaml.Node, into reflect.Value) {
	if !d.expectScalar(path, n, `a duration such as "30s"`, "!!str") {
		return
	}
	v, err := time.ParseDuration(n.Value)
	if err != nil {
		d.add(path, n, `want a duration such as "30s", got %q`, n.Value)
		return
	}
	into.SetInt(int64(v))
}
