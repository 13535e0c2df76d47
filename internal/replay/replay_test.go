package replay

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
)

// goodputBound is the stated target: under load, the programs that end in their aim per second stay at 0.9 or more
// of what the same endpoints reach under any lower load.
const goodputBound = 0.9

func load(t *testing.T, name string) Pattern {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name+".yaml"))
	must.NoError(t, err)
	p, err := Decode(data)
	must.NoError(t, err)
	return p
}

// Load pattern: the load stays at a multiple of the usual one, up to twice of what the endpoints can serve. Without
// queues the goodput collapses.
func TestGoodputDoesNotFallWithLoad(t *testing.T) {
	best, bestWorth := 0.0, 0.0
	for _, factor := range []float64{1, 1.5, 2, 3, 4, 6} {
		r := Run(load(t, "usual").WithLoad(factor), Queues)
		goodput, worth := r.Goodput(8, 30), r.Worth(8, 30)
		floor, worthFloor := goodputBound*best, goodputBound*bestWorth
		t.Run(fmt.Sprint("worth_", factor), func(t *testing.T) { must.GreaterEq(t, worthFloor, worth) })
		t.Run(fmt.Sprint("programs_", factor), func(t *testing.T) { must.GreaterEq(t, floor, goodput) })
		best, bestWorth = max(best, goodput), max(bestWorth, worth)
	}
	direct := Run(load(t, "usual").WithLoad(4), Direct)
	must.Less(t, goodputBound*best/2, direct.Goodput(8, 30)) // the pattern overloads the endpoints
}

// Load patterns: bursts, endpoints that turn slow or leave under load, a burst of one kind. In the burst, programs
// end in their aim at 0.9 of the rate before it or more, and two seconds after it no program is late.
func TestBursts(t *testing.T) {
	for _, name := range []string{"burst", "burst-slow", "slow", "burst-of-one-kind", "withdrawn"} {
		t.Run(name, func(t *testing.T) {
			r := Run(load(t, name), Queues)
			before := r.Goodput(3, 8)
			must.GreaterEq(t, goodputBound*before, r.Goodput(10, 18))
			must.GreaterEq(t, goodputBound*before, r.Goodput(20, 28))
			must.GreaterEq(t, goodputBound, r.Share(20, 30))
		})
	}
	// The same burst without queues: programs that began in it earn less, since most are late.
	slow := load(t, "burst-slow")
	queues, direct := Run(slow, Queues), Run(slow, Direct)
	must.Greater(t, direct.Share(8, 18), queues.Share(8, 18))
	must.Greater(t, queues.ByKind["long"].Late, direct.ByKind["long"].Late)
}

// Load pattern: urgent programs alone would fill the endpoints. Others are served at least a quarter as often as all
// programs, the least share that the users accept.
func TestNoKindIsStarved(t *testing.T) {
	r := Run(load(t, "burst-of-one-kind").WithLoad(3), Queues)
	served, begun := 0, 0
	for _, kind := range r.ByKind {
		served, begun = served+kind.InAim+kind.Late, begun+kind.Begun
	}
	all := float64(served) / float64(begun)
	for name, kind := range r.ByKind {
		must.GreaterEq(t, all/4, float64(kind.InAim+kind.Late)/float64(kind.Begun), must.Sprint(name))
	}
	long, short := r.ByKind["long"], r.ByKind["short"]
	must.Greater(t, short.Earned/short.Owed, long.Earned/long.Owed) // urgent ones go first
}

// Under a usual load nothing waits and nothing is rejected.
func TestUsualLoadIsNotHeldUp(t *testing.T) {
	for _, s := range Run(load(t, "usual"), Queues).Seconds {
		must.Eq(t, 0, s.Rejected)
		must.Eq(t, s.Begun, s.InAim)
	}
}

func TestRunsRepeat(t *testing.T) {
	must.Eq(t, Run(load(t, "burst-slow"), Queues), Run(load(t, "burst-slow"), Queues))
	teams := load(t, "teams-surge")
	teams.Seconds, teams.Instances = 8, 20
	must.Eq(t, Run(teams, Queues), Run(teams, Queues))
}

// All that is wrong with a pattern is reported at once.
func TestBadPattern(t *testing.T) {
	_, err := Decode([]byte("name: x\nseconds: 0\nendpoints: [{count: 0}]\nprograms: [{name: p}]\n"))
	must.Error(t, err)
	for _, part := range []string{"seconds", "instances", "report_ms", "endpoints[0]", "programs[0] p"} {
		must.StrContains(t, err.Error(), part)
	}
	_, err = Decode([]byte("unknown: 1"))
	must.ErrorContains(t, err, "unknown")
}
