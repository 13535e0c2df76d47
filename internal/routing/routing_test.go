package routing

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestLongestPrefixOfTheHost(t *testing.T) {
	table := NewTable(Config{Routes: []Route{
		{Name: "short", Host: "H.example", Prefix: "/a/"}, {Name: "long", Host: "h.example", Prefix: "/a/b/"},
		{Name: "other", Host: "o.example", Prefix: "/"},
	}})
	for path, want := range map[string]string{"/a/": "short", "/a/c": "short", "/a/b/c": "long", "/a/b": "short"} {
		must.Eq(t, want, table.Match("h.example:80", path).Name)
	}
	must.Nil(t, table.Match("h.example", "/a"))
	must.Nil(t, table.Match("n.example", "/a/"))
	must.Eq(t, "other", table.Match("O.EXAMPLE", "/x").Name)
}

func TestSplitFollowsWeights(t *testing.T) {
	r := Route{Targets: []Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	counts := make(map[string]int)
	for hash := range uint64(1000) {
		counts[r.Pick(hash)]++
	}
	must.Eq(t, map[string]int{"a": 900, "b": 100}, counts)
	none := Route{Targets: []Target{{Service: "a"}}}
	must.Eq(t, "a", none.Pick(7))
}
