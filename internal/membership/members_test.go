package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"ragwortstile/internal/id"
)

// fault is one fault injected into a simulation.
type fault struct {
	At    int // step at which it begins
	Kind  string
	A, B  int
	Steps int // duration in steps
}

func drawFaults(t *rapid.T, nodes, steps int) []fault {
	kinds := []string{"cut", "cut both", "isolate in", "isolate out", "pause", "restart", "replace in list", "remove from list"}
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
		return fault{
			At:    rapid.IntRange(0, steps-1).Draw(t, "at"),
			Kind:  rapid.SampledFrom(kinds).Draw(t, "kind"),
			A:     rapid.IntRange(0, nodes-1).Draw(t, "a"),
			B:     rapid.IntRange(0, nodes-1).Draw(t, "b"),
			Steps: rapid.IntRange(1, 150).Draw(t, "steps"),
		}
	}), 0, 30).Draw(t, "faults")
}

func (s *sim) apply(f fault) {
	until := s.now + time.Duration(f.Steps)*simStep
	a := s.nodes[f.A]
	switch f.Kind {
	case "cut":
		s.cut[[2]int{f.A, f.B}] = until
	case "cut both":
		s.cut[[2]int{f.A, f.B}], s.cut[[2]int{f.B, f.A}] = until, until
	case "isolate in":
		for j := range s.nodes {
			s.cut[[2]int{j, f.A}] = until
		}
	case "isolate out":
		for j := range s.nodes {
			s.cut[[2]int{f.A, j}] = until
		}
	case "pause":
		a.pausedUntil = until
	case "restart":
		s.start(a)
	case "remove from list", "replace in list":
		s.changeList(f)
	}
}

// changeList removes an instance from the list, or replaces it by one that does not answer.
func (s *sim) changeList(f fault) {
	last := s.lists[len(s.lists)-1].instances
	var next []Instance
	for _, i := range last {
		if i.Name != s.nodes[f.A].name {
			next = append(next, i)
		}
	}
	if f.Kind == "replace in list" {
		next = append(next, Instance{Name: fmt.Sprintf("silent%d", f.Steps%3)})
	}
	if len(next) > 0 {
		s.setList(next, nil)
	}
}

// Guards against a claim from a holder whose lease holds, when messages are lost, delayed or blocked in
// one direction, instances are paused or restarted, and the list changes and lags.
func TestNoClaimWhileTheLeaseHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(2, 7).Draw(t, "nodes")
		const steps = 450
		loss := rapid.SampledFrom([]float64{0, 0.1, 0.4, 0.7}).Draw(t, "loss")
		delay := rapid.SampledFrom([]time.Duration{0, 50, 700, 3000, 9000}).Draw(t, "delay ms") * time.Millisecond
		s := newSim(rapid.Uint64().Draw(t, "seed"), nodes, loss, delay)
		faults := drawFaults(t, nodes, steps)
		for step := range steps {
			for _, f := range faults {
				if f.At == step {
					s.apply(f)
				}
			}
			s.step()
			if c, h, found := s.conflict(); found {
				t.Fatalf("at %s %s may claim from %s, whose lease holds", s.now, c, h)
			}
		}
	})
}

// Guards against a claim from a holder whose heartbeats get lost while its acknowledgements arrive. With
// three instances, the claimant's majority can consist of itself and that holder.
func TestAnswerOfTheHolderCountsAsHeard(t *testing.T) {
	s := newSim(9, 3, 0.7, 0)
	for s.now < 45*time.Second {
		s.step()
		c, h, found := s.conflict()
		must.False(t, found, must.Sprintf("at %s %s may claim from %s", s.now, c, h))
	}
}

// Guards against a lease that lapses without a fault, and against a dead holder that is detected late or
// never. The bound is DeadAfter plus a round, its acknowledgement and one step each.
func TestDeadHolderIsFound(t *testing.T) {
	s := newSim(1, 5, 0, 100*time.Millisecond)
	for s.now < 20*time.Second {
		s.step()
	}
	for _, n := range s.nodes {
		must.True(t, n.members.Lease(s.local(n)).Holds(s.local(n)))
		must.Zero(t, n.members.Lease(s.local(n)).Lapses)
		must.Len(t, 5, n.members.Live(s.local(n)))
	}
	dead := s.nodes[2]
	dead.down = true
	diedAt := s.now
	for s.now < diedAt+DeadAfter+HeartbeatInterval+500*time.Millisecond {
		s.step()
	}
	for _, n := range s.nodes {
		if n != dead {
			must.True(t, n.members.Dead(s.local(n), dead.session()))
			must.Len(t, 4, n.members.Live(s.local(n)))
			must.False(t, n.members.Dead(s.local(n), s.nodes[0].session()) && n != s.nodes[0])
		}
	}
}

// Guards against a minority that claims slots, and against a lapse during a pause that goes unnoticed.
func TestMinorityAndPausedHolder(t *testing.T) {
	s := newSim(2, 5, 0, 100*time.Millisecond)
	for s.now < 10*time.Second {
		s.step()
	}
	for _, f := range []fault{{Kind: "isolate in", A: 0, Steps: 200}, {Kind: "isolate out", A: 0, Steps: 200}} {
		s.apply(f)
	}
	for s.now < 20*time.Second {
		s.step()
	}
	alone, other := s.nodes[0], s.nodes[1]
	must.False(t, alone.members.Dead(s.local(alone), other.session()))
	must.False(t, alone.members.Lease(s.local(alone)).Holds(s.local(alone)))
	must.True(t, other.members.Dead(s.local(other), alone.session()))
	lease := other.members.Lease(s.local(other))
	must.True(t, lease.Holds(s.local(other)))
	after := s.local(other) + 4*time.Second // a pause without any event
	must.False(t, lease.Holds(after))
	must.Eq(t, lease.Lapses+1, other.members.Lease(after).Lapses)
}

// Guards against a dispatch by a holder whose lease holds while its log reader lags: the log may contain
// another session's claim that the holder has not read.
func TestDispatchNeedsFreshTail(t *testing.T) {
	m := New(Config{Self: "a.1"})
	second := func(n int) time.Duration { return time.Duration(n) * time.Second }
	m.Step(0, ListAnswer{Instances: []Instance{{Name: "a"}}})
	for n := range 10 {
		m.StartRound(second(n), 1, nil)
		if n == 5 {
			m.Step(second(n), TailRead{Sent: second(5)})
			m.Step(second(n), TailRead{Sent: second(3)}) // a read that was sent earlier but ended later
		}
		lease := m.Lease(second(n))
		must.Eq(t, n >= 2, lease.Holds(second(n))) // RegainWait after the start
		must.Eq(t, n == 5 || n == 6, lease.MayDispatch(second(n)))
	}
}

// Guards against a leaving mark that does not reach all instances within 3 s, that a lagging list
// removes, or that remains after the endpoint has returned.
func TestLeavingMarkSpreads(t *testing.T) {
	s := newSim(3, 7, 0.2, 200*time.Millisecond)
	live := []Endpoint{{Name: "e1"}, {Name: "e2"}}
	s.setList(s.lists[0].instances, live)
	for s.now < 40*time.Second {
		s.step()
	}
	s.apply(fault{Kind: "cut both", A: 0, B: 1, Steps: 1000})
	first := s.nodes[0]
	first.members.Step(s.local(first), EndpointLeaving{Endpoint: "e1"})
	marked := s.now
	for s.now < marked+10*time.Second {
		s.step()
	}
	for _, n := range s.nodes {
		must.LessEq(t, 3*time.Second, n.leaving["e1"]-marked)
		must.True(t, n.members.EndpointIsLeaving("e1"))
		must.False(t, n.members.EndpointIsLeaving("e2"))
	}
	s.setList(s.lists[0].instances, []Endpoint{{Name: "e1", Leaving: true}, {Name: "e2"}})
	for s.now < 80*time.Second {
		s.step()
	}
	s.setList(s.lists[0].instances, live)
	for s.now < 120*time.Second {
		s.step()
	}
	for _, n := range s.nodes {
		must.False(t, n.members.EndpointIsLeaving("e1"))
	}
}

// Guards against an answer from a lagging replica of the list service that overwrites a newer one.
func TestOlderListAnswerIsIgnored(t *testing.T) {
	m := New(Config{Self: "a.1"})
	m.Step(10*time.Second, ListAnswer{Endpoints: []Endpoint{{Name: "e", Leaving: true}}})
	m.Step(11*time.Second, ListAnswer{Age: 5 * time.Second, Endpoints: []Endpoint{{Name: "e"}}})
	must.True(t, m.EndpointIsLeaving("e"))
	m.Step(12*time.Second, ListAnswer{Age: time.Second, Endpoints: []Endpoint{{Name: "e"}}})
	must.False(t, m.EndpointIsLeaving("e"))
}

// Guards against copies in the owner's availability zone, on draining peers, or on the same peers for
// every owner.
func TestCopyPeersAndDraining(t *testing.T) {
	first := make(map[id.Session]bool)
	for owner := range 30 {
		m := New(Config{Self: id.Session(fmt.Sprintf("own%d.1", owner)), Zone: "z0"})
		for i := range 9 {
			beat := HeartbeatReceived{From: id.Session(fmt.Sprintf("p%d.1", i)), Zone: fmt.Sprintf("z%d", i%3)}
			beat.Heartbeat.Draining = i == 1
			beat.Heartbeat.ManifestVersion = uint64(i)
			m.Step(time.Second, beat)
		}
		peers := m.CopyPeers(2*time.Second, 2)
		must.Len(t, 2, peers)
		for _, p := range peers {
			must.SliceNotContains(t, []id.Session{"p0.1", "p1.1", "p3.1", "p6.1"}, p)
		}
		first[peers[0]] = true
		must.Len(t, 9, m.CopyPeers(2*time.Second, 20))
		must.Eq(t, PeerVersion{Session: "p8.1", Version: 8}, m.ManifestVersions(2 * time.Second)[0])
		for slot := range id.Slot(id.Slots) {
			must.NotEq(t, "p1.1", m.SlotHolder(2*time.Second, slot))
		}
		must.Len(t, 1, m.Live(time.Second+DeadAfter))
	}
	must.Greater(t, 2, len(first))
}

// Guards against a restarted instance that counts twice, or whose old session counts as dead too early.
func TestRestartedPeer(t *testing.T) {
	m := New(Config{Self: "a.1"})
	m.Step(time.Second, HeartbeatReceived{From: "b.1"})
	m.Step(2*time.Second, HeartbeatReceived{From: "b.2"})
	must.Eq(t, []id.Session{"a.1", "b.2"}, m.Live(3*time.Second))
	must.Eq(t, 2*time.Second, m.lastHeard("b.2"))
	must.Eq(t, time.Second, m.lastHeard("b.1"))
}
