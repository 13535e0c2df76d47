package team

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func places(findings []Finding) []string {
	var out []string
	for _, f := range findings {
		out = append(out, f.Place)
	}
	return out
}

// placed sets the places of teams in a configuration.
func placed(teams []Team) []Team {
	for i := range teams {
		teams[i].Place = fmt.Sprintf("teams[%d]", i)
		teams[i].KeyPlace = teams[i].Place + ".keys"
	}
	return teams
}

// Guards against a fault in one team that takes effect on another one, or that is reported without its place.
func TestFindings(t *testing.T) {
	x, findings := NewIndex(placed([]Team{
		{Name: "a", Keys: []string{"k1", "shared", "k1"}}, {Name: "", Keys: []string{"nameless"}},
		{Name: "b", Keys: []string{"", "k2", "shared"}}, {Name: "c\r\nX: y", Keys: []string{"k3"}}, {Name: "d ", Keys: []string{"k4"}},
		{Name: strings.Repeat("n", MaxNameBytes+1), Keys: []string{"k5"}}, {Name: "a", Keys: []string{"k6", "shared"}},
	}))
	must.Eq(t, []string{
		"teams[0].keys[2]", "teams[1].name", "teams[2].keys[0]", "teams[2].keys[2]", "teams[3].name", "teams[4].name",
		"teams[5].name", "teams[6].name", "teams[6].keys[1]",
	}, places(findings))
	for key, want := range map[string]string{"k1": "a", "k2": "b", "k6": "a"} {
		must.Eq(t, want, x.Owner(key).Name)
	}
	for _, key := range []string{"", "shared", "nameless", "k3", "k4", "k5", "K1", "k"} {
		must.Nil(t, x.Owner(key), must.Sprint(key))
	}
	for _, f := range findings {
		for _, key := range []string{"k1", "shared", "nameless", "k3"} {
			must.StrNotContains(t, f.Text, key)
		}
	}
}

// Guards against a configuration with too many teams that is rejected as a whole.
func TestTeamsBeyondTheBound(t *testing.T) {
	teams := manyTeams(MaxTeams+2, 1)
	x, findings := NewIndex(teams)
	must.Eq(t, []string{"teams[10000]"}, places(findings))
	must.NotNil(t, x.Owner(teams[MaxTeams-1].Keys[0]))
	must.Nil(t, x.Owner(teams[MaxTeams].Keys[0]))
}

// Keys whose hashes begin with the same bytes are told apart. Guards against the second one replacing the first.
func TestHashesWithTheSameBeginning(t *testing.T) {
	x, _ := NewIndex(nil)
	hashes := [...]KeyHash{{1, 9: 1}, {1, 9: 2}, {1, 9: 3}}
	for i, h := range hashes {
		_, found := x.add(h, place{team: int32(i)})
		must.False(t, found)
	}
	earlier, found := x.add(hashes[1], place{team: 7})
	must.True(t, found)
	must.Eq(t, place{team: 1}, earlier)
	owners := map[KeyHash]int32{}
	head := x.owners[hashes[0].prefix()]
	for o := &head; o != nil; o = o.next {
		owners[o.hash] = o.team
	}
	must.Eq(t, map[KeyHash]int32{hashes[0]: 0, hashes[1]: ambiguous, hashes[2]: 2}, owners)
}

// Guards against an index that differs where the keys came from a peer, as hashes.
func TestKeysKnownByTheirHashes(t *testing.T) {
	x, findings := NewIndex(placed([]Team{{Name: "a", Hashes: []KeyHash{HashKey("k"), HashKey("")}}, {Name: "b", Keys: []string{"j"}}}))
	must.Eq(t, []string{"teams[0].keys[1]"}, places(findings))
	must.Eq(t, "a", x.Owner("k").Name)
	must.Eq(t, "b", x.Owner("j").Name)
	must.SliceEmpty(t, x.Teams()[1].Keys)
}

// Guards against data of one team that another one, or a caller without a team, can name.
func TestScopesDiffer(t *testing.T) {
	a, b := &Team{Name: "a"}, &Team{Name: "a b"}
	var none *Team
	must.Eq(t, "id", none.Scope("id"))
	must.Eq(t, "", a.Scope(""))
	must.NotEq(t, a.Scope("id"), b.Scope("id"))
	must.NotEq(t, a.Scope("id"), none.Scope("aid"))
}

func manyTeams(teams, keys int) []Team {
	out := make([]Team, teams)
	for i := range out {
		out[i].Name = fmt.Sprint("team-", i)
		for k := range keys {
			out[i].Keys = append(out[i].Keys, fmt.Sprintf("key-%08d-%d-0123456789abcdef", i, k))
		}
	}
	return placed(out)
}

// Target: 20 ms for 2,500 teams with several keys.
func BenchmarkNewIndex(b *testing.B) {
	teams := manyTeams(2500, 5)
	for b.Loop() {
		if _, findings := NewIndex(teams); len(findings) > 0 {
			b.Fatal(findings)
		}
	}
}

// Target: 1 us.
func BenchmarkOwner(b *testing.B) {
	teams := manyTeams(2500, 5)
	x, _ := NewIndex(teams)
	for i := 0; b.Loop(); i++ {
		if x.Owner(teams[i%len(teams)].Keys[i%5]) == nil {
			b.Fatal("key not found")
		}
	}
}
