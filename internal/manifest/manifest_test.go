package manifest

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func example(t testing.TB, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "..", "examples", name))
	must.NoError(t, err)
	return data
}

func parsed(t testing.TB, name string) *Manifest {
	t.Helper()
	m, err := Parse(example(t, name))
	must.NoError(t, err)
	return m
}

var examples = []string{"bindery.yaml", "raintank.yaml"}

// Guards against a digest that changes when a manifest is written to the log and read back, because
// durations or empty lists are encoded differently.
func TestCanonicalRoundTrip(t *testing.T) {
	for _, name := range examples {
		m := parsed(t, name)
		canonical := m.Canonical()
		must.True(t, json.Valid(canonical))
		again, err := Parse(canonical)
		must.NoError(t, err)
		must.Eq(t, string(canonical), string(again.Canonical()))
		must.Eq(t, m.Duties, again.Duties)
		must.Eq(t, m.Orders, again.Orders)
		fromLog, err := FromLog(canonical, m.Digest())
		must.NoError(t, err)
		must.Eq(t, m.Digest(), fromLog.Digest())
		_, err = FromLog(append(canonical, ' '), m.Digest())
		must.ErrorContains(t, err, "digest")
		text, err := json.MarshalIndent(m, "", "  ")
		must.NoError(t, err)
		var fromJSON Manifest
		must.NoError(t, json.Unmarshal(text, &fromJSON))
		must.Eq(t, m.Digest(), fromJSON.Digest())
	}
	m := parsed(t, "bindery.yaml")
	must.Eq(t, 2*time.Hour, m.Duties[0].Limits.WallTime)
	must.StrContains(t, string(m.Canonical()), `"wall_time":"2h0m0s"`)
	m.Endpoints = nil
	withNil := m.Digest()
	m.Endpoints = []Endpoint{}
	must.Eq(t, withNil, m.Digest())
}

// Guards against a parser that stops at the first error, and against findings without path or line.
func TestTwentyMistakesAreAllReported(t *testing.T) {
	data, err := os.ReadFile(filepath.Join("testdata", "mistakes.yaml"))
	must.NoError(t, err)
	_, err = Parse(data)
	findings, ok := err.(Findings)
	must.True(t, ok)
	var want []string
	for i, line := range strings.Split(string(data), "\n") {
		if _, path, found := strings.Cut(line, "# wrong: "); found {
			want = append(want, Finding{Line: i + 1, Path: path}.String())
		}
	}
	must.Len(t, 20, want)
	var got []string
	for _, f := range findings {
		must.NotEq(t, "", f.Problem)
		got = append(got, Finding{Line: f.Line, Path: f.Path}.String())
	}
	must.Eq(t, want, got, must.Sprint(err.Error()))
}

// Guards against accepting text that is malformed or whose structure differs from that of a manifest.
func TestStructureFindings(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"empty", "", "is empty"},
		{"YAML syntax", "deployment: [", "line 1: not YAML"},
		{"JSON syntax", "{\n\"deployment\": ]", "line 2: not JSON"},
		{"JSON ends", "{\n\"deployment\": \"x\"", "line 2: not JSON: ends too early"},
		{"two documents", "deployment: a\n---\ndeployment: b\n", "more than one document"},
		{"text after JSON", "{}\n{}", "text after the manifest"},
		{"list at the top", "- a\n", "want a mapping, got a list"},
		{"repeated in YAML", "deployment: a\ndeployment: b\n", "line 2: deployment: repeated, first in line 1"},
		{"repeated in JSON", "{\"deployment\": \"a\",\n\"deployment\": \"b\"}", "line 2: deployment: repeated, first in line 1"},
		{"anchor", "source: &a {revision: x}\nweights: *a\n", "line 2: weights: anchors and aliases"},
		{"merge key", "source:\n  <<: {revision: x}\n", "line 2: source.<<: unknown field"},
		{"number as name", "deployment: 12\n", "deployment: want text, got 12"},
		{"number as duration", "orders: {timeout: 30}\n", "orders.timeout: want a duration"},
		{"infinite share", "weights: {wasted_cache: .inf}\n", "weights.wasted_cache: want a finite number"},
		{"too large a number", "{\"tenants\": [{\"max_programs\": 9223372036854775808}]}", "tenants[0].max_programs: want a decimal whole number"},
		{"float as count", "{\"tenants\": [{\"max_programs\": 1.5}]}", "tenants[0].max_programs: want a whole number, got 1.5"},
		{"null", "{\"tenants\": null}", "tenants: want a list, got nothing"},
		{"case of a field", "{\"Deployment\": \"x\"}", "Deployment: unknown field"},
	}
	for _, c := range cases {
		_, err := Parse([]byte(c.text))
		must.ErrorContains(t, err, c.want, must.Sprint(c.name))
	}
}

// Guards against accepting a manifest that cannot work at run time. Each case changes one thing in a
// valid manifest and must yield exactly the listed findings.
func TestCheckFindings(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Manifest)
		want   []string
	}{
		{"none", func(*Manifest) {}, nil},
		{"name with space", func(m *Manifest) { m.Deployment = "a b" }, []string{"deployment"}},
		{"duplicate tenant", func(m *Manifest) { m.Teams[3].Name = "drafting"; m.Duties[4].Teams = []string{"drafting"} }, []string{"tenants[3].name"}},
		{"key of two tenants", func(m *Manifest) { m.Teams[1].KeyDigests[0] = m.Teams[0].KeyDigests[0] }, []string{"tenants[1].key_digests[0]"}},
		{"foreign default duty", func(m *Manifest) { m.Teams[0].DefaultDuty = "orders" }, []string{"tenants[0].default_duty"}},
		{"share sum", func(m *Manifest) { m.Duties[0].Share = 0.5 }, []string{"pools[0]"}},
		{"share sum at the limit", func(m *Manifest) { m.Duties[0].Share = 0.4 }, nil},
		{"pool without endpoint", func(m *Manifest) { m.Endpoints = m.Endpoints[:16] }, []string{"pools[3]"}},
		{"service undeclared", func(m *Manifest) { m.Services = m.Services[:1] }, []string{"pools[3]"}},
		{"host name", func(m *Manifest) { m.Endpoints[0].URL = "http://engine:8000" }, []string{"endpoints[0].url"}},
		{"no port", func(m *Manifest) { m.Endpoints[0].URL = "http://10.0.0.1" }, []string{"endpoints[0].url"}},
		{"IPv6", func(m *Manifest) { m.Endpoints[0].URL = "https://[fd00::1]:8000" }, nil},
		{"path", func(m *Manifest) { m.Endpoints[0].URL = "http://10.0.0.1:80/v1" }, []string{"endpoints[0].url"}},
		{"engine on a service", func(m *Manifest) { m.Endpoints[9].Engine = m.Endpoints[0].Engine }, []string{"endpoints[9].engine"}},
		{"engine without model", func(m *Manifest) { m.Endpoints[0].Engine.Model = "" }, []string{"endpoints[0].engine.model"}},
		{"no order limits", func(m *Manifest) { m.Orders = Orders{} }, []string{"orders.fetch_interval", "orders.timeout"}},
		{"negative limit", func(m *Manifest) { m.Duties[0].Limits.WallTime = -time.Second }, []string{"duties[0].limits.wall_time"}},
		{"too large", func(m *Manifest) { m.Source.Generator = strings.Repeat("x", MaxBytes) }, []string{""}},
	}
	for _, c := range cases {
		m := parsed(t, "bindery.yaml")
		c.change(m)
		var got []string
		for _, f := range m.Check() {
			got = append(got, f.Path)
		}
		must.Eq(t, c.want, got, must.Sprint(c.name))
	}
}

// Guards against a diff that omits a change or reports the reordering of a list as one.
func TestDiff(t *testing.T) {
	from, to := parsed(t, "bindery.yaml"), parsed(t, "bindery.yaml")
	must.SliceEmpty(t, Diff(from, to))
	to.Duties[0], to.Duties[1] = to.Duties[1], to.Duties[0]
	must.SliceEmpty(t, Diff(from, to))
	to.Duties[0].Share = 0.3
	to.Endpoints = to.Endpoints[1:]
	to.Duties[4].Pools = []string{"layout-9b"}
	to.Pools[0].Timeout = time.Minute
	want := `~ duties[funeral-drafts].share: 0.2 -> 0.3
+ duties[proofreading].pools[layout-9b]: "layout-9b"
- duties[proofreading].pools[quill-32b]: "quill-32b"
~ pools[quill-32b].timeout: "3m0s" -> "1m0s"
- endpoints[quill-1]: `
	must.StrHasPrefix(t, want, Diff(from, to).String())
	must.Len(t, 5, Diff(from, to))
}

// Guards against lookups that let a team use a duty that does not list the team, or a pool or service
// that the duty does not list.
func TestIndex(t *testing.T) {
	x := NewIndex(parsed(t, "bindery.yaml"))
	layout := x.TeamByKey("bindery-layout-example-key-next")
	must.Eq(t, x.Team("layout"), layout)
	must.Nil(t, x.TeamByKey("bindery-layout-example-key-other"))
	must.Nil(t, x.TeamByKey(""))
	must.Eq(t, "family-talks", x.DutyOf(layout, "").Name)
	must.Eq(t, "orders", x.DutyOf(layout, "orders").Name)
	must.Nil(t, x.DutyOf(layout, "drafts"))
	d := x.Duty("drafts")
	must.NotNil(t, x.PoolOf(d, "quill-32b", PoolModel))
	must.Nil(t, x.PoolOf(d, "quill-32b", PoolService))
	must.Nil(t, x.PoolOf(d, "orders", PoolService))
	must.Len(t, 6, x.EndpointsOf("quill-32b"))
	must.Len(t, 4, x.DutiesOf("quill-32b"))
	must.False(t, x.Operation("orders", "charge").Idempotent)
	must.Nil(t, x.Operation("press", "charge"))
	must.Eq(t, KeyDigest("bindery-layout-example-key"), layout.KeyDigests[0])
}

// Guards against panics on arbitrary input, and against accepted manifests whose canonical form does
// not decode to the same canonical form.
func FuzzParse(f *testing.F) {
	for _, name := range examples {
		f.Add(example(f, name))
		f.Add(parsed(f, name).Canonical())
	}
	mistakes, err := os.ReadFile(filepath.Join("testdata", "mistakes.yaml"))
	must.NoError(f, err)
	f.Add(mistakes)
	f.Add([]byte("a: &a [*a, *a]\n"))
	f.Add([]byte("{\"tenants\": [[[[{}]]]], \"duties\": [{\"share\": 1e400}]}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Decode(data)
		if err != nil {
			if findings, ok := err.(Findings); !ok || len(findings) == 0 {
				t.Fatalf("error %#v is not a list of findings", err)
			}
			return
		}
		m.Check()
		again, err := Decode(m.Canonical())
		must.NoError(t, err)
		must.Eq(t, string(m.Canonical()), string(again.Canonical()))
	})
}

func BenchmarkTeamByKey(b *testing.B) {
	m := &Manifest{}
	for range 2500 {
		m.Teams = append(m.Teams, Team{KeyDigests: []string{KeyDigest(strings.Repeat("k", len(m.Teams)+1))}})
	}
	x := NewIndex(m)
	for b.Loop() {
		x.TeamByKey("kkkkkk")
	}
}
