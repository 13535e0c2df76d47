package ledger

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

// An instance is isolated if it reaches the store but hardly any other member of the group. No other instance
// could reach the partitions that it holds, so it gives them up and callers are sent to other instances.
const (
	// isolationShare is the largest share of the other members that an isolated instance reaches. It is far
	// below one half, so that neither side of an even split gives up its partitions.
	isolationShare = 0.25
	// minIsolationMembers is the minimum number of other members for which the share is meaningful.
	minIsolationMembers = 3
	// isolationDelay is how long the condition has to last. It allows for instances that died to leave the
	// group, which takes the TTL of a membership, and for the group to be read again.
	isolationDelay = 1100 * time.Millisecond
)

// isolation tracks whether an instance is isolated.
type isolation struct {
	since    time.Time // when too few members were reached for the first time; zero while enough are
	isolated bool
}

// update takes the number of other members that are reached, and the time when the members were last read. It
// reports whether isolated changed.
func (i *isolation) update(reached, members int, read, now time.Time) bool {
	if members < minIsolationMembers || float64(reached) > isolationShare*float64(members) {
		changed := i.isolated
		*i = isolation{}
		return changed
	}
	if i.since.IsZero() {
		i.since = now
	}
	if i.isolated || now.Sub(i.since) < isolationDelay || read.Sub(i.since) < isolationDelay {
		return false
	}
	i.isolated = true
	return true
}

// Isolated reports whether the instance is isolated from the other members.
func (l *Ledger) Isolated() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isolation.isolated
}

// MetPeers reports whether the instance is connected to another member of the group, or has found that there is none.
func (l *Ledger) MetPeers() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.cfg.Node.Connected()) > 0 {
		return true
	}
	for _, member := range l.holders {
		if p, ok := splitMember(member); ok && p.Instance != l.cfg.Instance {
			return false
		}
	}
	return !l.holdersReadAt.IsZero()
}

// checkIsolation updates the isolation, and gives up the partitions if the instance has become isolated.
func (l *Ledger) checkIsolation(ctx context.Context) {
	l.mu.Lock()
	members := make(map[string]bool)
	for _, member := range l.holders {
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
	changed := l.isolation.update(reached, len(members), l.holdersReadAt, time.Now())
	isolated, suspected := l.isolation.isolated, !l.isolation.since.IsZero()
	l.mu.Unlock()
	if changed {
		l.cfg.Log.WithFields(logrus.Fields{"reached": reached, "members": len(members), "status": isolationStatus(isolated)}).
			Warn("reach of the other instances changed")
	}
	if changed && isolated {
		l.leaveGroup(ctx)
	}
	if suspected {
		l.notify(l.refreshHolders)
	}
}

func isolationStatus(isolated bool) string {
	if isolated {
		return "isolated"
	}
	return "connected"
}
