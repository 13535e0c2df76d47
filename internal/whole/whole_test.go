package whole

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ragwortstile/internal/id"
	"ragwortstile/internal/record"
)

// fresh makes rapid tests draw new seeds. Without it they run the same cases each time.
var fresh = flag.Bool("fresh", false, "run rapid tests with fresh seeds")

var lines = flag.Int("lines", traceLines, "events that a failure shows")

func TestMain(m *testing.M) {
	flag.Parse()
	traceLines = *lines
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "40", "rapid.nofailfile": "true"} {
		if !set[name] && !*fresh {
			flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// machine draws programs and faults.
type machine struct {
	t       *rapid.T
	w       *world
	opSeq   uint64
	deathAt time.Duration // of the last process that died
}

func (m *machine) draw(n int, what string) int { return rapid.IntRange(0, n-1).Draw(m.t, what) }

func (m *machine) program() {
	w := m.w
	limits := []record.Limits{{}, {Tokens: 4000, ChargeCents: 60}, {Tokens: 900, ChargeCents: 30}}
	c := &caller{w: w, pid: id.NewProgram(id.Slot(m.draw(slots, "slot")), fmt.Sprint(len(w.callers))), limits: limits[m.draw(3, "limits")]}
	for b := range 1 + m.draw(3, "sub-agents") {
		l := &line{name: id.MainBranch, opened: b == 0, next: time.Duration(b) * time.Second}
		if b > 0 {
			l.name = fmt.Sprintf("b%d", b)
		}
		for n := range 1 + m.draw(5, "calls") {
			l.calls = append(l.calls, &call{
				c: c, branch: l.name, key: fmt.Sprintf("%s-k%d", l.name, n),
				kind:  []string{"model", "stream", "charge", "reserve", "look"}[m.draw(5, "kind")],
				pause: []time.Duration{0, 300 * time.Millisecond, 3 * time.Second}[m.draw(3, "pause")],
			})
		}
		c.lines = append(c.lines, l)
	}
	w.callers = append(w.callers, c)
}

// publishOne lets one operator publish the first version.
func publishOne(w *world) {
	data, err := record.Encode(record.Batch{Session: "op.1", Seq: 1, At: w.wall(), Records: []record.Record{record.Publish{Digest: "v1"}}})
	if err != nil {
		w.fail("encode: %v", err)
	}
	w.appendTo(streamConfig, data, func() {})
}

// publish lets two operators publish against the same version. Each tries until it sees an outcome.
func (m *machine) publish() {
	w := m.w
	expected := w.refConfig.Current().Version
	for n := range 2 {
		m.opSeq++
		s := id.Session(fmt.Sprintf("op%d.%d", n, m.opSeq))
		digest := fmt.Sprintf("%s v%d", s, expected+1)
		data, err := record.Encode(record.Batch{Session: s, Seq: 1, At: w.wall(), Records: []record.Record{record.Publish{Expected: expected, Digest: digest}}})
		if err != nil {
			w.fail("encode: %v", err)
		}
		for range 1 + m.draw(2, "repeats of an append") {
			w.appendTo(streamConfig, data, func() {})
		}
	}
}

func (m *machine) instance() {
	w := m.w
	n := w.nodes[m.draw(len(w.nodes), "instance")]
	switch m.draw(5, "instance fault") {
	case 0, 1:
		if n.paused {
			n.resume()
		} else {
			w.note("%s pauses", n.session)
			n.paused = true
		}
	case 2:
		// Copies are in the memory of two instances, so one of three may die during an outage.
		if w.now-m.deathAt > 15*time.Second && len(w.nodes) > 2 && !n.draining {
			m.deathAt = w.now
			w.kill(n)
			w.after(time.Duration(5+m.draw(20, "restart after"))*time.Second, func() { w.start(n.name) })
		}
	case 3:
		if w.now-m.deathAt > 15*time.Second && !n.paused && !w.log.down && len(w.nodes) > 2 {
			m.deathAt = w.now
			n.drain()
		}
	case 4:
		if name := fmt.Sprintf("i%d", w.runs); len(w.listed()) < 4 {
			w.setList(append(w.listed(), name))
			w.start(name)
		}
	}
}

func (m *machine) platform() {
	w := m.w
	switch m.draw(6, "platform fault") {
	case 0:
		if w.now-w.log.upAt > 20*time.Second {
			w.setLogDown(true)
			w.after(time.Duration(1+m.draw(14, "outage"))*time.Second, func() { w.setLogDown(false) })
		}
	case 1:
		w.log.lose = float64(m.draw(4, "lost answers")) / 5
	case 2:
		w.loss = float64(m.draw(4, "lost messages")) / 25
	case 3:
		names := sortedKeys(w.engines)
		w.engines[names[m.draw(len(names), "engine")]].restart()
	case 4, 5:
		name := []string{"m0", "m1", "s0"}[m.draw(3, "endpoint")]
		_, leaving := w.leaving[name]
		w.setLeaving(name, !leaving)
	}
}

// ownerFault strikes the holder of a slot at a bad moment: an outage begins while calls are under way, and
// the holder dies or is paused before the log is back; or a hand-over or stop comes among its calls.
func (m *machine) ownerFault() {
	w := m.w
	n := w.node(w.ref.Slot(id.Slot(m.draw(slots, "slot"))).Holder)
	if n == nil || n.paused || n.draining || w.now-m.deathAt < 15*time.Second || w.log.down || len(w.nodes) < 3 {
		return
	}
	kind := m.draw(4, "owner fault")
	w.advance(time.Duration(m.draw(20, "moment")) * stepTime)
	switch {
	case n.dead || n.paused || w.log.down:
	case kind < 2:
		w.setLogDown(true)
		w.advance(time.Duration(m.draw(40, "moment in the outage")) * stepTime)
		w.after(time.Duration(m.draw(8, "outage"))*time.Second, func() { w.setLogDown(false) })
		m.deathAt = w.now
		if kind == 0 && !n.dead {
			w.kill(n)
			w.after(12*time.Second, func() { w.start(n.name) })
		} else {
			n.paused = true
			w.note("%s pauses", n.session)
			w.after(9*time.Second, func() {
				if n.paused && !n.dead {
					n.resume()
				}
			})
		}
	default:
		m.deathAt = w.now
		n.drain()
	}
}

func (m *machine) step() {
	switch k := m.draw(14, "action"); {
	case k > 11:
		m.ownerFault()
	case k < 2:
		m.program()
	case k < 4:
		m.instance()
	case k < 6:
		m.platform()
	case k == 6:
		m.publish()
	default:
		m.w.advance([]time.Duration{100 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second, 7 * time.Second}[m.draw(4, "advance")])
	}
}

// rest ends all faults and lets every program finish.
func (m *machine) rest() {
	w := m.w
	w.note("faults end")
	w.setLogDown(false)
	w.loss, w.log.lose = 0, 0
	for _, n := range w.nodes {
		if n.paused {
			n.resume()
		}
	}
	for _, name := range sortedKeys(w.leaving) {
		w.setLeaving(name, false)
	}
	for end := w.now + 4*time.Minute; w.now < end; {
		w.advance(2 * time.Second)
		if m.finished() {
			break
		}
	}
	w.advance(70 * time.Second) // release orders are repeated at most a minute apart
	w.oracle.atRest()
}

func (m *machine) finished() bool {
	for _, c := range m.w.callers {
		if !c.ended {
			return false
		}
	}
	return true
}

// Guards P1 to P10 against combinations of faults over several instances that run the real cores.
func TestInstancesUnderFaults(t *testing.T) {
	total := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.Uint64().Draw(t, "seed"), 3)
		m := &machine{t: t, w: w, deathAt: -time.Minute}
		m.publish()
		w.advance(12 * time.Second)
		m.program()
		for range rapid.IntRange(10, 50).Draw(t, "steps") {
			m.step()
		}
		m.rest()
		for what, n := range w.oracle.counts {
			total[what] += n
		}
	})
	t.Logf("checked: %v", total)
	for _, what := range []string{"answer", "charge", "claim", "drain", "end", "handover", "not run", "publish", "run", "turn"} {
		if total[what] == 0 {
			t.Errorf("the runs had no %s, so its checks are vacuous", what)
		}
	}
}

// Guards P8 against an instance that was paused while endpoints began to leave: when it resumes, it must
// not send work to them on what it knew before. TestInstancesUnderFaults found it with seed 20261210.
func TestResumedInstanceAvoidsLeavingEndpoint(t *testing.T) {
	w := newWorld(t, 1, 1)
	publishOne(w)
	w.advance(12 * time.Second)
	c := &caller{w: w, pid: id.NewProgram(0, "x")}
	l := &line{name: id.MainBranch, opened: true}
	for n := range 2 {
		l.calls = append(l.calls, &call{c: c, branch: l.name, key: fmt.Sprintf("k%d", n), kind: "model", pause: 2 * time.Second})
	}
	c.lines = []*line{l}
	w.callers = []*caller{c}
	for len(l.calls) > 1 && w.now < time.Minute {
		w.advance(stepTime)
	}
	w.nodes[0].paused = true
	for _, name := range sortedKeys(w.engines) {
		w.setLeaving(name, true)
	}
	w.advance(5 * time.Second)
	w.nodes[0].resume()
	w.advance(5 * time.Second)
	for _, name := range sortedKeys(w.engines) {
		w.setLeaving(name, false)
	}
	w.advance(20 * time.Second)
	w.oracle.atRest()
}
