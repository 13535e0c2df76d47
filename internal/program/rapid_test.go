package program

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ragwortstile/internal/fsm"
	"ragwortstile/internal/id"
	"ragwortstile/internal/record"
)

// freshSeeds makes rapid tests use a new seed for each run. Without it they run the same cases each time.
var freshSeeds = flag.Bool("fresh", false, "run rapid tests with fresh seeds")

func TestMain(m *testing.M) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if !set[name] && !*freshSeeds {
			flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// machine draws the events of a simulated world.
type machine struct {
	t        *rapid.T
	w        *world
	programs []id.Program
	keys     map[id.Program][]string
	kinds    map[callKey]string // "model", "stream" or the operation of a service
	branch   map[callKey]string
	branches map[id.Program][]string
	configs  []*fsm.Configs
	offset   uint64
	batchSeq map[id.Session]uint64
}

func (m *machine) draw(n int, what string) int { return rapid.IntRange(0, n-1).Draw(m.t, what) }

func (m *machine) live() []*owner {
	var out []*owner
	for _, o := range m.w.owners {
		if !o.dead {
			out = append(out, o)
		}
	}
	return out
}

func (m *machine) anyOwner() *owner {
	if h := m.w.holder(testSlot); h != nil && m.draw(4, "at holder") > 0 {
		return h
	}
	live := m.live()
	return live[m.draw(len(live), "owner")]
}

func (m *machine) open() {
	o := m.anyOwner()
	m.w.nextID++
	pid := id.NewProgram(testSlot, fmt.Sprintf("%d", m.w.nextID))
	limits := []record.Limits{{}, {Tokens: 2500, ChargeCents: 60, Calls: 12}, {Tokens: 20000, ChargeCents: 300, WallTime: 2 * time.Minute}}
	req := m.w.oracle.addRequest(request{owner: o, program: pid, kind: "open"})
	m.w.sendRequest(o, OpenProgram{Req: req, Program: pid, Team: "t", Duty: "d", Limits: limits[m.draw(3, "limits")], Now: m.w.wall()})
	m.programs = append(m.programs, pid)
	m.branches[pid] = []string{"main"}
}

func (m *machine) call() {
	if len(m.programs) == 0 {
		return
	}
	o := m.anyOwner()
	pid := m.programs[m.draw(len(m.programs), "program")]
	keys := m.keys[pid]
	if len(keys) > 0 && m.draw(3, "repeat") == 0 {
		k := callKey{pid, keys[m.draw(len(keys), "key")]}
		m.send(o, k)
		return
	}
	k := callKey{pid, fmt.Sprintf("k%d", len(keys)+1)}
	m.keys[pid] = append(keys, k.key)
	m.kinds[k] = []string{"model", "stream", "charge", "reserve", "look"}[m.draw(5, "kind")]
	m.branch[k] = m.branches[pid][m.draw(len(m.branches[pid]), "branch")]
	m.send(o, k)
}

func (m *machine) send(o *owner, k callKey) {
	switch kind := m.kinds[k]; kind {
	case "model", "stream":
		m.w.modelCall(o, k.program, m.branch[k], k.key, kind == "stream")
	default:
		m.w.serviceCall(o, k.program, m.branch[k], k.key, kind)
	}
}

func (m *machine) openBranch() {
	if len(m.programs) == 0 {
		return
	}
	pid := m.programs[m.draw(len(m.programs), "program")]
	name := fmt.Sprintf("b%d", len(m.branches[pid]))
	o := m.anyOwner()
	req := m.w.oracle.addRequest(request{owner: o, program: pid, kind: "other", key: "branch " + name})
	m.w.sendRequest(o, OpenBranch{Req: req, Team: "t", Program: pid, Name: name, Key: name})
	m.branches[pid] = append(m.branches[pid], name)
}

func (m *machine) endProgram() {
	if len(m.programs) > 0 {
		m.w.endProgram(m.anyOwner(), m.programs[m.draw(len(m.programs), "program")])
	}
}

// settle settles every unknown outcome with what the service has executed. Their dispatches can no longer
// arrive.
func (m *machine) settle(o *owner) {
	for _, pid := range m.programs {
		st := m.w.ref.Program(pid)
		if st == nil {
			continue
		}
		for _, name := range sortedKeys(st.Branches) {
			key := st.Branches[name].UnknownOutcome
			if key == "" {
				continue
			}
			x := record.ExecutedNo
			if m.w.execCounts[callKey{pid, key}] > 0 {
				x = record.ExecutedYes
			}
			req := m.w.oracle.addRequest(request{owner: o, program: pid, kind: "other", key: "settle " + key})
			o.step(SettleCall{Req: req, Team: "t", Program: pid, Key: key, Executed: x, Body: fmt.Appendf(nil, `{"done":%q}`, key)})
		}
	}
}

func (m *machine) membershipEvent() {
	live := m.live()
	o := live[m.draw(len(live), "owner")]
	switch m.draw(5, "membership") {
	case 0:
		o.paused = !o.paused
	case 1:
		if len(live) > 2 {
			m.w.kill(o)
		}
	case 2:
		if len(live) < 4 && !m.w.log.down {
			m.w.join()
		}
	case 3:
		if !o.paused {
			m.w.claim(o, testSlot)
		}
	case 4:
		if h := m.w.holder(testSlot); h != nil && !h.paused {
			h.step(Handover{Slot: testSlot, To: o.session})
		}
	}
}

func (m *machine) logFault() {
	switch m.draw(4, "log") {
	case 0:
		m.w.log.down = true
	case 1, 2:
		m.w.log.down = false
	case 3:
		m.w.log.lostAnswers = m.draw(3, "lose")
	}
}

// deliverSome delivers one message, or everything that needs no time.
func (m *machine) deliverSome() {
	if n := len(m.w.messages); n > 0 && m.draw(3, "net") > 0 {
		m.w.deliver(m.draw(n, "message"))
		return
	}
	m.w.pump()
}

// publish lets two operators publish against the same version, and every reader must accept exactly one of
// the publications, the same one as the other readers.
func (m *machine) publish() {
	expected := m.configs[0].Current().Version
	for _, op := range []id.Session{"op1", "op2"} {
		m.batchSeq[op]++
		digest := fmt.Sprintf("%s %d", op, m.batchSeq[op])
		b := record.Batch{Session: op, Seq: m.batchSeq[op], At: m.w.wall(), Records: []record.Record{
			record.Publish{Expected: expected, Digest: digest},
			record.ManifestRefresh{Version: expected, Digest: "old"},
		}}
		for _, c := range m.configs {
			c.Apply(m.offset, b)
		}
		m.offset++
	}
	for _, c := range m.configs {
		got := c.Current()
		if got.Version != expected+1 || got.Digest != m.configs[0].Current().Digest {
			m.t.Fatalf("publication against %d: a reader is at %d %s", expected, got.Version, got.Digest)
		}
	}
}

func (m *machine) step() {
	switch k := m.draw(20, "action"); {
	case k < 6:
		m.call()
	case k < 10:
		m.deliverSome()
	case k < 13:
		m.w.advance([]time.Duration{100 * time.Millisecond, time.Second, 4 * time.Second, 12 * time.Second}[m.draw(4, "advance")])
	case k == 13:
		m.open()
	case k == 14:
		m.openBranch()
	case k < 17:
		m.membershipEvent()
	case k == 17:
		m.logFault()
	case k == 18 && m.draw(4, "end") == 0:
		m.endProgram()
	case k == 18 && m.draw(8, "long") == 0:
		m.w.advanceBy(testRetention/2, 2*time.Second)
	case k == 19:
		if o := m.anyOwner(); !o.paused && m.draw(2, "settle") == 0 {
			m.settle(o)
		} else {
			m.publish()
		}
	}
}

// quiesce ends all faults, settles all unknown outcomes, ends all programs and checks the final state.
func (m *machine) quiesce() {
	w := m.w
	w.pick = func(int, string) int { return 0 }
	w.log.down = false
	w.log.lostAnswers = 0
	for _, o := range w.owners {
		o.paused = false
	}
	w.advance(testClaimDelay + time.Second)
	if w.holder(testSlot) == nil {
		w.claim(m.live()[0], testSlot)
	}
	w.advance(90 * time.Second)
	w.oracle.checkDurable()
	h := w.holder(testSlot)
	if h == nil {
		m.t.Fatalf("the slot has no holder after the faults have ended")
	}
	m.checkLateReader(h)
	m.settle(h)
	w.advance(time.Second)
	for _, pid := range m.programs {
		w.endProgram(h, pid)
	}
	w.advance(2 * time.Minute)
	w.reconcile(h)
	w.advance(time.Second)
	w.oracle.checkDurable()
	w.oracle.checkReleased()
	for _, pid := range m.programs {
		if st := w.ref.Program(pid); st != nil && !st.Ended() {
			m.t.Fatalf("program %s did not end", pid)
		}
	}
}

// checkLateReader compares a reader that starts at the earliest retained offset with one that has read the
// whole log.
func (m *machine) checkLateReader(h *owner) {
	late := fsm.NewPrograms(testRetention, uint64(m.w.log.earliest))
	for i := m.w.log.earliest; i < len(m.w.log.batches); i++ {
		b, err := record.Decode(m.w.log.batches[i])
		if err != nil {
			m.t.Fatalf("decode: %v", err)
		}
		late.Apply(uint64(i), b)
	}
	if late.Slot(testSlot) != m.w.ref.Slot(testSlot) {
		m.t.Fatalf("late reader: slot %+v, want %+v", late.Slot(testSlot), m.w.ref.Slot(testSlot))
	}
	if n := len(m.w.ref.DueRefreshes(h.session, m.w.wall(), 1).Programs); n > 0 {
		m.t.Fatalf("the holder has not rewritten the state that is due")
	}
	for _, pid := range m.programs {
		want, got := m.w.ref.Program(pid), late.Program(pid)
		if (want == nil || want.Ended()) && (got == nil || got.Ended()) {
			continue
		}
		if want == nil || got == nil || want.Rev != got.Rev || want.Counted() != got.Counted() || want.HighWater != got.HighWater {
			m.t.Fatalf("late reader: program %s is %+v, want %+v", pid, got, want)
		}
		for name, b := range want.Branches {
			if g := got.Branches[name]; g == nil || g.LastSeq != b.LastSeq || g.Digest != b.Digest || g.UnknownOutcome != b.UnknownOutcome {
				m.t.Fatalf("late reader: branch %s of %s is %+v, want %+v", name, pid, g, b)
			}
		}
	}
}

// P1 to P7 hold under random combinations of crashes, pauses, lost answers, log outages and reordered
// messages.
func TestGuaranteesUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 3)
		m := &machine{
			t: t, w: w, keys: map[id.Program][]string{}, kinds: map[callKey]string{}, branch: map[callKey]string{},
			branches: map[id.Program][]string{}, batchSeq: map[id.Session]uint64{},
			configs: []*fsm.Configs{fsm.NewConfigs(testRetention, 0), fsm.NewConfigs(testRetention, 0)},
		}
		w.pick = func(n int, what string) int { return rapid.IntRange(0, n-1).Draw(t, what) }
		w.claim(w.owners[0], testSlot)
		w.pump()
		m.open()
		w.pump()
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			m.step()
		}
		m.quiesce()
	})
}
