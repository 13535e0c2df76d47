package configcheck

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"

	"ragwortstile/internal/manifest"
	"ragwortstile/internal/routing"
	"ragwortstile/internal/team"
)

// Diff returns what a configuration changes against the one in force. Routes, services and teams are paired by name, so
// their order is no change. Of keys only the numbers are told.
func Diff(inForce, next routing.Config) manifest.Changes {
	var d differ
	d.fields("limits", inForce.Limits, next.Limits)
	compareLists(&d, "routes", byName(inForce.Routes, routeName), byName(next.Routes, routeName))
	compareLists(&d, "services", inForce.Services, next.Services)
	compareLists(&d, "teams", byName(withoutKeys(inForce.Teams), teamName), byName(withoutKeys(next.Teams), teamName))
	d.compareKeys(byName(inForce.Teams, teamName), byName(next.Teams, teamName))
	return d.changes
}

// CheckVersion finds a version that does not replace the one in force.
func CheckVersion(inForce, next routing.Config) []Finding {
	if next.Version > inForce.Version {
		return nil
	}
	k := &checker{}
	k.add(Error, "version", "%d is not above version %d, which is in force: instances keep that one", next.Version, inForce.Version)
	return k.findings
}

type differ struct{ changes manifest.Changes }

func (d *differ) add(kind manifest.ChangeKind, path string, from, to any) {
	c := manifest.Change{Kind: kind, Path: path}
	if kind != manifest.Added {
		c.Old = fmt.Sprint(from)
	}
	if kind != manifest.Removed {
		c.New = fmt.Sprint(to)
	}
	d.changes = append(d.changes, c)
}

// fields compares the fields of two structs of one type.
func (d *differ) fields(path string, from, to any) {
	a, b := reflect.ValueOf(from), reflect.ValueOf(to)
	for i := range a.NumField() {
		name, x, y := path+"."+a.Type().Field(i).Name, a.Field(i), b.Field(i)
		if x.Kind() == reflect.Pointer {
			if x.IsNil() != y.IsNil() {
				d.add(manifest.Changed, name, !x.IsNil(), !y.IsNil())
				continue
			}
			if x.IsNil() {
				continue
			}
			x, y = x.Elem(), y.Elem()
		}
		if !reflect.DeepEqual(x.Interface(), y.Interface()) {
			d.add(manifest.Changed, name, x.Interface(), y.Interface())
		}
	}
}

func compareLists[T any](d *differ, path string, from, to map[string]T) {
	for _, name := range sortedKeys(to) {
		at := fmt.Sprintf("%s[%s]", path, name)
		if old, ok := from[name]; ok {
			d.fields(at, old, to[name])
		} else {
			d.add(manifest.Added, at, nil, describe(to[name]))
		}
	}
	for _, name := range sortedKeys(from) {
		if _, ok := to[name]; !ok {
			d.add(manifest.Removed, fmt.Sprintf("%s[%s]", path, name), describe(from[name]), nil)
		}
	}
}

// compareKeys tells how many keys teams get and lose.
func (d *differ) compareKeys(from, to map[string]team.Team) {
	for _, name := range sortedKeys(to) {
		old, ok := from[name]
		if !ok {
			continue
		}
		added, removed := missingFrom(old.Keys, to[name].Keys), missingFrom(to[name].Keys, old.Keys)
		if added > 0 || removed > 0 {
			d.changes = append(d.changes, manifest.Change{
				Kind: manifest.Changed, Path: fmt.Sprintf("teams[%s].Keys", name),
				Old: fmt.Sprintf("%d removed", removed), New: fmt.Sprintf("%d added", added),
			})
		}
	}
}

// missingFrom returns how many of the wanted strings a list lacks.
func missingFrom(list, wanted []string) int {
	n := 0
	for _, s := range wanted {
		if !slices.Contains(list, s) {
			n++
		}
	}
	return n
}

func withoutKeys(teams []team.Team) []team.Team {
	out := slices.Clone(teams)
	for i := range out {
		out[i].Keys = nil
	}
	return out
}

func routeName(r routing.Route) string { return r.Name }
func teamName(t team.Team) string      { return t.Name }

// describe returns the fields of an entry that were added or removed as one text.
func describe(v any) string { return fmt.Sprintf("%+v", v) }

func byName[T any](list []T, name func(T) string) map[string]T {
	m := make(map[string]T, len(list))
	for _, e := range list {
		m[name(e)] = e
	}
	return m
}

func sortedKeys[T any](m map[string]T) []string {
	return slices.SortedFunc(maps.Keys(m), cmp.Compare[string])
}
