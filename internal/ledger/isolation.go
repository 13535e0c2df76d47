package ledger

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

// An instance that the store serves and that reaches hardly any other member is cut off. The partitions that
// it holds would be out of everyone's reach, so it gives them up, and callers are sent elsewhere.
const (
	// isolatedShare is the part of the other members of which an isolated instance reaches no more. It is far
	// below a half, so that of two halves neither gives up.
	isolatedShare = 0.25
	// isolatedMembers is the least number of other members for which that says anything.
	isolatedMembers = 3
	// isolatedAge is how long it must last: until instances that died have left the group, a time of the
	// membership's lifetime, and the group was read again.
	isolatedAge = 1100 * time.Millisecond
)

// isolation is what an instance knows of its being cut off.
type isolation struct {
	since    time.Time // when few members were reached first; zero while enough are
	isolated bool
}

// check takes how many of the other members are reached, and when the members were last read. It tells
// whether the belief changed.
func (i *isolation) check(reached, members int, read, now time.Time) bool {
	if members < isolatedMembers || float64(reached) > isolatedShare*float64(members) {
		changed := i.isolated
		*i = isolation{}
		return changed
	}
	if i.since.IsZero() {
		i.since = now
	}
	if i.isolated || now.Sub(i.since) < isolatedAge || read.Sub(i.since) < isolatedAge {
		return false
	}
	i.isolated = true
	return true
}

// Isolated tells whether the instance is cut off from the others.
func (l *Ledger) Isolated() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isolation.isolated
}

// checkIsolation follows whether the instance is cut off.
func (l *Ledger) checkIsolation(ctx context.Context) {
	l.mu.Lock()
	members := make(map[string]bool)
	for _, member := range l.owners {
		if p, ok := splitMember(member); ok && p.Instance != l.cfg.Instance {
			members[p.Instance] = true
		}
	}
	reached := 0
	for instance := range members {
		if _, ok := l.cfg.Node.Session(instance); ok {
			reached++
		}
	}
	changed := l.isolation.check(reached, len(members), l.ownersRead, time.Now())
	isolated, doubtful := l.isolation.isolated, !l.isolation.since.IsZero()
	l.mu.Unlock()
	if changed {
		l.cfg.Log.WithFields(logrus.Fields{"reached": reached, "members": len(members), "status": isolatedWord(isolated)}).
			Warn("reach of the other instances changed")
	}
	if changed && isolated {
		l.giveUp(ctx)
	}
	if doubtful {
		l.poke(l.refresh)
	}
}

func isolatedWord(isolated bool) string {
	if isolated {
		return "isolated"
	}
	return "connected"
}
