package ledger

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestIsolation(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1_700_000_000, 0).Add(time.Duration(ms) * time.Millisecond) }
	var i isolation
	must.False(t, i.update(0, 8, at(0), at(0)))
	must.False(t, i.update(0, 8, at(500), at(1200))) // the members may have died and not left the group yet
	must.True(t, i.update(1, 8, at(1300), at(1400)))
	must.True(t, i.isolated)
	must.False(t, i.update(2, 8, at(1500), at(1600)))
	must.True(t, i.update(3, 8, at(1500), at(1700)))
	must.False(t, i.isolated)

	// Half of the members are out of reach, or there are too few members to tell.
	must.False(t, i.update(4, 8, at(9000), at(3000)))
	must.False(t, i.update(0, 2, at(9000), at(3000)))
	must.True(t, i.since.IsZero())
}
