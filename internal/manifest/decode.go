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

// decoder fills a manifest from a tree and collects findings. It keeps the line of every place for
// the findings of Check.
type decoder struct {
	manifest *Manifest
	findings Findings
	lines    map[string]int
}

func (d *decoder) decodeRoot(root *yaml.Node) {
	d.value("", root, reflect.ValueOf(d.manifest).Elem())
}

func (d *decoder) add(place string, n *yaml.Node, format string, args ...any) {
	d.findings = append(d.findings, Finding{Path: place, Line: n.Line, Problem: fmt.Sprintf(format, args...)})
}

// located sets the lines of findings. A place that is not in the text gets the line of the nearest
// place around it. A finding for a place that could not be decoded is dropped, as it follows from
// the finding that is already there.
func (d *decoder) located(found Findings) Findings {
	failed := make(map[string]bool)
	for _, f := range d.findings {
		failed[f.Path] = true
	}
	var kept Findings
	for _, f := range found {
		if failed[f.Path] {
			continue
		}
		for place := f.Path; f.Line == 0; place = parentPlace(place) {
			f.Line = d.lines[place]
			if place == "" {
				break
			}
		}
		kept = append(kept, f)
	}
	return kept
}

func parentPlace(place string) string {
	return place[:max(strings.LastIndexAny(place, ".["), 0)]
}

var durationType = reflect.TypeFor[time.Duration]()

func (d *decoder) value(place string, n *yaml.Node, into reflect.Value) {
	d.lines[place] = n.Line
	if n.Kind == yaml.AliasNode || n.Anchor != "" {
		d.add(place, n, "anchors and aliases are not allowed")
		return
	}
	if into.Type() == durationType {
		d.duration(place, n, into)
		return
	}
	switch into.Kind() {
	case reflect.Struct:
		d.structure(place, n, into)
	case reflect.Slice:
		d.list(place, n, into)
	case reflect.String:
		if d.wants(place, n, "text", "!!str", "!!timestamp") { // a version such as 2026-10-1 is text
			into.SetString(n.Value)
		}
	case reflect.Bool:
		if d.wants(place, n, "true or false", "!!bool") {
			into.SetBool(n.Value == "true")
		}
	case reflect.Int, reflect.Int64:
		d.integer(place, n, into)
	case reflect.Float64:
		d.float(place, n, into)
	default:
		panic("manifest: no decoder for " + into.Type().String())
	}
}

// wants tells whether a scalar has one of the tags, and adds a finding if not.
func (d *decoder) wants(place string, n *yaml.Node, what string, tags ...string) bool {
	for _, tag := range tags {
		if n.Kind == yaml.ScalarNode && n.ShortTag() == tag {
			return true
		}
	}
	d.add(place, n, "want %s, got %s", what, describe(n))
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

func (d *decoder) structure(place string, n *yaml.Node, into reflect.Value) {
	if n.Kind != yaml.MappingNode {
		d.add(place, n, "want a mapping, got %s", describe(n))
		return
	}
	fields := fieldsOf(into.Type())
	seen := make(map[string]int)
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i]
		at := join(place, key.Value)
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
		d.lines[at] = key.Line // a block starts a line below its key
	}
}

func join(place, field string) string {
	if place == "" {
		return field
	}
	return place + "." + field
}

// fieldsOf returns the index of each field by its name in JSON, which is also its name in YAML.
func fieldsOf(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		fields[name] = i
	}
	return fields
}

func (d *decoder) list(place string, n *yaml.Node, into reflect.Value) {
	if n.Kind != yaml.SequenceNode {
		d.add(place, n, "want a list, got %s", describe(n))
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(n.Content), len(n.Content)))
	for i, child := range n.Content {
		d.value(fmt.Sprintf("%s[%d]", place, i), child, into.Index(i))
	}
}

func (d *decoder) integer(place string, n *yaml.Node, into reflect.Value) {
	if !d.wants(place, n, "a whole number", "!!int") {
		return
	}
	v, err := strconv.ParseInt(n.Value, 10, 64)
	if err != nil {
		d.add(place, n, "want a decimal whole number of 64 bits, got %s", n.Value)
		return
	}
	into.SetInt(v)
}

func (d *decoder) float(place string, n *yaml.Node, into reflect.Value) {
	if !d.wants(place, n, "a number", "!!float", "!!int") {
		return
	}
	v, err := strconv.ParseFloat(n.Value, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		d.add(place, n, "want a finite number, got %s", n.Value)
		return
	}
	into.SetFloat(v)
}

func (d *decoder) duration(place string, n *yaml.Node, into reflect.Value) {
	if !d.wants(place, n, `a duration such as "30s"`, "!!str") {
		return
	}
	v, err := time.ParseDuration(n.Value)
	if err != nil {
		d.add(place, n, `want a duration such as "30s", got %q`, n.Value)
		return
	}
	into.SetInt(int64(v))
}
