package ratelimit

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func limit(perSecond float64) Statement { return Statement{Limited: true, PerSecond: perSecond} }

func TestLimitEndsOnlyByALaterRequest(t *testing.T) {
	l := NewLimits()
	must.False(t, l.Observe("e", Statement{}, at(0), at(5)))
	must.True(t, l.Observe("e", limit(8), at(0), at(10)))
	must.False(t, l.Observe("e", limit(8), at(0), at(20)))
	must.False(t, l.Observe("e", Statement{}, at(15), at(90)))
	must.True(t, l.Get("e").Limited)
	must.True(t, l.Observe("e", Statement{}, at(21), at(30)))
	must.False(t, l.Get("e").Limited)
}

func TestOlderObservationOfAPeerIsIgnored(t *testing.T) {
	l := NewLimits()
	must.True(t, l.Learn("e", Observation{limit(8), at(10)}))
	must.False(t, l.Learn("e", Observation{limit(80), at(9)}))
	must.True(t, l.Learn("e", Observation{limit(4), at(11)}))
	must.Eq(t, 4, l.Get("e").PerSecond)
	l.Prune(map[string]bool{})
	must.False(t, l.Get("e").Limited)
}
