package manifest

import (
	"fmt"
	"reflect"
	"strings"
)

// ChangeKind tells whether a part of a manifest was added, removed or changed.
type ChangeKind uint8

// Kinds of changes.
const (
	Added ChangeKind = iota + 1
	Removed
	Changed
)

// Change is one difference between two manifests. Its path names list elements by their key, as in
// "duties[clerks].share", so reordering a list is not a change.
type Change struct {
	Kind ChangeKind
	Path string
	Old  string // JSON; empty if added
	New  string // JSON; empty if removed
}

// String returns the change as one line.
func (c Change) String() string {
	switch c.Kind {
	case Added:
		return fmt.Sprintf("+ %s: %s", c.Path, c.New)
	case Removed:
		return fmt.Sprintf("- %s: %s", c.Path, c.Old)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Old, c.New)
	}
}

// Changes is the difference between two manifests.
type Changes []Change

// String returns one line per change.
func (c Changes) String() string {
	var b strings.Builder
	for _, change := range c {
		b.WriteString(change.String() + "\n")
	}
	return b.String()
}

// Diff returns the changes from one manifest to another, in the order of the struct fields.
func Diff(from, to *Manifest) Changes {
	var c Changes
	c.compare("", reflect.ValueOf(from).Elem(), reflect.ValueOf(to).Elem())
	return c
}

func (c *Changes) compare(path string, from, to reflect.Value) {
	switch {
	case from.Kind() == reflect.Struct:
		for i := range from.NumField() {
			name, _, _ := strings.Cut(from.Type().Field(i).Tag.Get("json"), ",")
			c.compare(joinPath(path, name), from.Field(i), to.Field(i))
		}
	case from.Kind() == reflect.Slice:
		c.compareLists(path, from, to)
	case !from.Equal(to):
		*c = append(*c, Change{Kind: Changed, Path: path, Old: jsonText(from), New: jsonText(to)})
	}
}

// compareLists pairs list elements by key. Elements with equal keys, which Check reports as an error,
// are paired in their order.
func (c *Changes) compareLists(path string, from, to reflect.Value) {
	old := byKey(from)
	for i := range to.Len() {
		key := elementKey(to.Index(i))
		at := fmt.Sprintf("%s[%s]", path, key)
		if len(old[key]) == 0 {
			*c = append(*c, Change{Kind: Added, Path: at, New: jsonText(to.Index(i))})
			continue
		}
		c.compare(at, old[key][0], to.Index(i))
		old[key] = old[key][1:]
	}
	for i := range from.Len() {
		key := elementKey(from.Index(i))
		if len(old[key]) == 0 {
			continue
		}
		*c = append(*c, Change{Kind: Removed, Path: fmt.Sprintf("%s[%s]", path, key), Old: jsonText(old[key][0])})
		old[key] = old[key][1:]
	}
}

func byKey(list reflect.Value) map[string][]reflect.Value {
	m := make(map[string][]reflect.Value, list.Len())
	for i := range list.Len() {
		key := elementKey(list.Index(i))
		m[key] = append(m[key], list.Index(i))
	}
	return m
}

func elementKey(v reflect.Value) string {
	switch e := v.Interface().(type) {
	case Team:
		return e.Name
	case Duty:
		return e.Name
	case Pool:
		return e.Name
	case Endpoint:
		return e.Name
	case Service:
		return e.Pool
	case Operation:
		return e.Name
	default:
		return fmt.Sprint(e)
	}
}

func jsonText(v reflect.Value) string { return string(appendCanonical(nil, v)) }
