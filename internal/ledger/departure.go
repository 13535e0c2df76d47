package ledger

import (
	"context"
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"ragwortstile/internal/id"
	"ragwortstile/internal/peer"
	"ragwortstile/internal/wire"
)

// An instance that stops gives its partitions up at once if another member of the group can take them over. All
// instances may stop within seconds of each other, before the first is back. The last one then keeps the partitions until
// no request needs them, and an instance that has left takes part again if no other does.

const (
	// departurePoll is the time between checks whether an instance whose requests have ended may give its partitions up.
	departurePoll = 50 * time.Millisecond
	// finishTimeout bounds the last hand-over of an instance that stops.
	finishTimeout = 400 * time.Millisecond
)

// departure is the state of an instance that stops.
type departure struct {
	stopping bool
	left     bool // the instance takes no part in the group
	finished bool // the requests of the instance have ended
	overdue  bool // the time to stop is over
	assigned bool // the group assigns partitions to other members
	// successor tells that one of these goes on. The others stop as well, and keep their partitions only until their
	// requests have ended.
	successor bool
	peersStop bool // a connected peer stops, whose requests may need the partitions
}

// departureStep is what an instance that stops does next.
type departureStep uint8

const (
	stepWait departureStep = iota
	stepLeave
	stepRejoin
)

// next decides the next step of an instance that stops.
func (d departure) next() departureStep {
	switch {
	case d.left && !d.assigned && !d.finished:
		return stepRejoin
	case d.left:
		return stepWait
	case d.successor, d.overdue, d.finished && (d.assigned || !d.peersStop):
		return stepLeave
	default:
		return stepWait
	}
}

// Leave begins a planned stop: the partitions are handed over to other members of the group if there are any. It returns
// once that is decided and done.
func (l *Ledger) Leave(ctx context.Context) {
	l.notify(l.stop)
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	if err := await(ctx, l.stopDecided); err != nil {
		l.cfg.Log.WithField("reason", err.Error()).Warn("hand-over of the partitions takes long")
	}
}

// Finish ends a planned stop once all requests of the instance have ended. It gives up partitions that the instance still
// holds, but not before the requests of peers that stop as well have ended, or ctx is done.
func (l *Ledger) Finish(ctx context.Context) {
	if !l.awaitLeft(ctx, func(d *departure) { d.finished = true }) {
		late, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
		defer cancel()
		l.awaitLeft(late, func(d *departure) { d.overdue = true })
	}
}

// awaitLeft changes the state of the departure and waits until the instance has left the group. It returns false if it has
// not when ctx is done.
func (l *Ledger) awaitLeft(ctx context.Context, change func(*departure)) bool {
	for {
		l.mu.Lock()
		change(&l.departure)
		left := l.departure.left
		l.mu.Unlock()
		if left {
			return true
		}
		l.notify(l.stop)
		select {
		case <-ctx.Done():
			return false
		case <-time.After(departurePoll):
		}
	}
}

// nextDeparture returns the next step of an instance that stops. The caller holds the lock.
func (l *Ledger) nextDeparture() departureStep {
	d := &l.departure
	d.assigned, d.successor, d.peersStop = false, false, false
	for _, member := range l.members {
		if member == l.cfg.Instance {
			continue
		}
		d.assigned = true
		d.successor = d.successor || !l.peerStops(member)
	}
	for instance := range l.stoppingPeers {
		d.peersStop = d.peersStop || l.peerStops(instance)
	}
	return d.next()
}

// peerStops reports whether a connected peer has said that it stops. The caller holds the lock.
func (l *Ledger) peerStops(instance string) bool {
	session, ok := l.cfg.Node.Session(instance)
	return ok && l.stoppingPeers[instance] == session
}

// beginDeparture makes the first decision of an instance that stops, unless that is done. If the assignments cannot be read,
// the store is out of reach and the partitions are of no use here: they are given up.
func (l *Ledger) beginDeparture(ctx context.Context) {
	l.mu.Lock()
	begun := l.departure.stopping
	l.departure.stopping = true
	l.mu.Unlock()
	if begun {
		return
	}
	if l.readHolders(ctx, 0) {
		l.continueDeparture(ctx)
	} else {
		l.depart(ctx)
	}
	l.mu.Lock()
	left, members := l.departure.left, len(l.members)
	l.mu.Unlock()
	if !left {
		l.cfg.Log.WithField("members", members).Info("no instance that goes on can take the partitions over, they are kept")
		l.announceChange()
	}
	close(l.stopDecided)
}

// continueDeparture does the next step of an instance that stops.
func (l *Ledger) continueDeparture(ctx context.Context) {
	step := stepWait
	l.mu.Lock()
	if l.departure.stopping {
		step = l.nextDeparture()
	}
	l.mu.Unlock()
	switch step {
	case stepLeave:
		l.depart(ctx)
	case stepRejoin:
		l.mu.Lock()
		l.departure.left = false
		l.mu.Unlock()
		l.cfg.Log.Info("no instance holds partitions, the stopping instance takes part again")
		l.join(ctx)
	case stepWait:
	}
}

// depart hands the partitions over and leaves the group.
func (l *Ledger) depart(ctx context.Context) {
	l.mu.Lock()
	l.departure.left = true
	l.mu.Unlock()
	l.leaveGroup(ctx)
}

// HandleGroupChanged handles the message that a peer has joined or left the group, or stops.
func (l *Ledger) HandleGroupChanged(r peer.Remote, m wire.GroupChanged) {
	if m.Stopping {
		l.mu.Lock()
		maps.DeleteFunc(l.stoppingPeers, func(instance string, _ id.Session) bool { return !l.peerStops(instance) })
		l.stoppingPeers[r.Session.Instance()] = r.Session
		l.mu.Unlock()
	}
	l.notify(l.rejoin)
}

// announceChange tells peers to renew their membership now, because the group changed.
func (l *Ledger) announceChange() {
	l.mu.Lock()
	m := wire.GroupChanged{Stopping: l.departure.stopping}
	l.mu.Unlock()
	if _, err := l.cfg.Node.Broadcast(m); err != nil {
		l.cfg.Log.WithField("reason", err.Error()).Warn("group change not sent to peers")
	}
}

// tellStopping tells a new peer that this instance stops.
func (l *Ledger) tellStopping(to id.Session) {
	l.mu.Lock()
	stopping := l.departure.stopping
	l.mu.Unlock()
	if !stopping {
		return
	}
	if err := l.cfg.Node.Send(to, wire.GroupChanged{Stopping: true}); err != nil {
		l.cfg.Log.WithFields(logrus.Fields{"peer": string(to), "reason": err.Error()}).Debug("stop not told to peer")
	}
}
